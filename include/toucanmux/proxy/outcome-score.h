#pragma once

#include <cmath>

#include "toucanmux/core.h"

namespace toucanmux {

/// How often statements have failed at one place lately, by their outcomes and
/// not by what the place says of its health.
class outcome_score {
 public:
  struct settings {
    /// Weight of one outcome: ten failures in a row are two thirds.
    double weight = 0.1;
    /// A place that gets little is tried again as the score falls.
    duration half_life = std::chrono::seconds(3);
  };

  outcome_score() : outcome_score(settings()) {}
  explicit outcome_score(const settings& values) : settings_(values) {}

  void record(instant now, bool failed) {
    score_ = failure_rate(now) * (1 - settings_.weight) +
             (failed ? settings_.weight : 0);
    recorded_at_ = now;
  }
  /// Share of the statements that fail, from 0 to 1.
  double failure_rate(instant now) const {
    if (score_ <= 0) return 0;
    std::chrono::duration<double> age = now - recorded_at_;
    std::chrono::duration<double> half = settings_.half_life;
    return score_ * std::exp2(-age.count() / half.count());
  }

 private:
  settings settings_;
  double score_ = 0;
  instant recorded_at_;
};

}  // namespace toucanmux
