#pragma once

#include <cmath>

#include "toucanmux/core.h"

namespace toucanmux {

/// Smoothed rate of recent statement failures at one database. It is computed
/// from the outcomes of statements, not from the health that a database
/// reports.
class outcome_score {
 public:
  struct settings {
    /// Weight of one outcome: ten failures in a row give a rate of about 2/3.
    double weight = 0.1;
    /// The rate decays with time, so that a database that gets few statements
    /// because of its failures is tried again.
    duration half_life = std::chrono::seconds(3);
  };

  outcome_score() : outcome_score(settings()) {}
  explicit outcome_score(const settings& values) : settings_(values) {}

  void record(instant now, bool failed) {
    score_ = failure_rate(now) * (1 - settings_.weight) +
             (failed ? settings_.weight : 0);
    recorded_at_ = now;
  }
  /// Share of recent statements that failed, from 0 to 1.
  double failure_rate(instant now) const {
    if (score_ <= 0) return 0;
    std::chrono::duration<double> age = now - recorded_at_;
    std::chrono::duration<double> half_life = settings_.half_life;
    return score_ * std::exp2(-age.count() / half_life.count());
  }

 private:
  settings settings_;
  double score_ = 0;
  instant recorded_at_;
};

}  // namespace toucanmux
