#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// Tracks until when the configuration in force is confirmed to be the newest
/// one. A request with a key runs only while the confirmation is recent,
/// because nothing else shows that the key was not withdrawn.
class config_confirmation {
 public:
  /// Subtracted from the revocation bound: covers the request's way to the
  /// upstream and a late timer.
  static constexpr duration margin = std::chrono::milliseconds(600);

  explicit config_confirmation(duration revoke_bound)
      : revoke_bound_(revoke_bound) {}

  /// @param sent_at when the linearizable read was sent, or an earlier moment
  /// that a peer's report confirms.
  void confirm(instant sent_at) {
    if (!confirmed_ || sent_at > confirmed_at_) confirmed_at_ = sent_at;
    confirmed_ = true;
  }
  bool holds(instant now) const {
    return confirmed_ && now - confirmed_at_ < revoke_bound_ - margin;
  }
  bool confirmed() const { return confirmed_; }
  duration age(instant now) const { return now - confirmed_at_; }

 private:
  duration revoke_bound_;
  instant confirmed_at_;
  bool confirmed_ = false;
};

}  // namespace toucanmux
