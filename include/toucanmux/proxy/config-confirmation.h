#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// Tracks until when the active configuration is confirmed to be the newest
/// one. A request with a key runs only while the confirmation is recent,
/// because nothing else shows that the key was not withdrawn.
class config_confirmation {
 public:
  /// Subtracted from the revocation timeout, for the transmission of the
  /// request to the upstream and for a late timer.
  static constexpr duration margin = std::chrono::milliseconds(600);

  explicit config_confirmation(duration revocation_timeout)
      : revocation_timeout_(revocation_timeout) {}

  /// @param sent_at when the linearizable read was sent, or an earlier moment
  /// that a peer's report confirms.
  void confirm(instant sent_at) {
    if (!confirmed_ || sent_at > confirmed_at_) confirmed_at_ = sent_at;
    confirmed_ = true;
  }
  /// Whether requests with keys may run at `now`.
  bool valid(instant now) const {
    return confirmed_ && now - confirmed_at_ < revocation_timeout_ - margin;
  }
  bool confirmed() const { return confirmed_; }
  duration age(instant now) const { return now - confirmed_at_; }

 private:
  duration revocation_timeout_;
  instant confirmed_at_;
  bool confirmed_ = false;
};

}  // namespace toucanmux
