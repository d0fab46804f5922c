#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// Tracks whether this instance's own calls reach the store. Confirmations that
/// peers pass on don't count: they show that the store is up, but not that this
/// instance can read it for its failure domain.
class store_contact {
 public:
  /// Records the end of a call.
  void record(instant now, bool reached) {
    failures_ = reached ? 0 : failures_ + 1;
    if (reached) reached_at_ = now;
  }
  unsigned consecutive_failures() const { return failures_; }
  /// True if several calls in a row have failed over a longer time, so that
  /// neither a lost answer nor a slow one explains it.
  bool lost(instant now) const {
    return failures_ >= min_failures && now - reached_at_ > min_silence;
  }

 private:
  static constexpr unsigned min_failures = 2;
  static constexpr duration min_silence = std::chrono::milliseconds(2500);

  unsigned failures_ = 0;
  instant reached_at_;
};

}  // namespace toucanmux
