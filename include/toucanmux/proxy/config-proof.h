#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// Until when the configuration in force is known to be the newest one. A
/// request with a key runs only while that is recent enough, since nothing
/// else proves that the key was not withdrawn.
class config_confirmation {
 public:
  /// Taken off the bound: the way to the upstream and a late timer.
  static constexpr duration margin = std::chrono::milliseconds(600);

  explicit config_confirmation(duration revoke_bound)
      : revoke_bound_(revoke_bound) {}

  /// @param asked when the read was sent, or an earlier moment that a peer's
  /// answer proves.
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
