#pragma once

#include <chrono>
#include <cstddef>

#include "toucanmux/core.h"

namespace toucanmux {

/// Default for the time after which a peer that takes no byte is given up.
inline constexpr std::chrono::seconds default_send_timeout{10};

/// Measures how long a peer has taken none of the bytes that wait for it.
class delivery_watch {
 public:
  /// @return the time since the first check or since a check that found fewer
  /// bytes than the one before.
  duration check(instant current_time, std::size_t undelivered) {
    bool progress = !checked_ || undelivered < undelivered_;
    if (progress) progress_at_ = current_time;
    checked_ = true;
    undelivered_ = undelivered;
    return current_time - progress_at_;
  }

 private:
  instant progress_at_;
  std::size_t undelivered_ = 0;
  bool checked_ = false;
};

}  // namespace toucanmux
