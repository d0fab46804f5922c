#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// Whether the refusals of a database increase. Internal retries stop then,
/// since they would add to the load that causes the refusals.
class refusal_trend {
 public:
  void record(instant now) {
    advance(now);
    ++current_;
  }
  /// True if the present or the last complete interval has more refusals than
  /// the one before it, and at least `min_refusals`.
  bool increasing(instant now) {
    advance(now);
    bool rises_now = current_ >= min_refusals && current_ > last_;
    bool rose = last_ >= min_refusals && last_ > before_last_;
    return rises_now || rose;
  }

 private:
  static constexpr duration interval = std::chrono::milliseconds(500);
  /// Single refusals are no trend.
  static constexpr unsigned min_refusals = 3;

  void advance(instant now) {
    if (now - started_at_ < interval) return;
    bool adjacent = now - started_at_ < interval * 2;
    before_last_ = adjacent ? last_ : 0;
    last_ = adjacent ? current_ : 0;
    current_ = 0;
    started_at_ = now;
  }

  instant started_at_;
  unsigned current_ = 0;
  unsigned last_ = 0;
  unsigned before_last_ = 0;
};

}  // namespace toucanmux
