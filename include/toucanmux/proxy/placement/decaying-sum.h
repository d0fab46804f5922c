#pragma once

#include <cmath>

#include "toucanmux/core.h"

namespace toucanmux {

/// A sum whose terms lose weight exponentially with their age.
class decaying_sum {
 public:
  explicit decaying_sum(duration time_constant)
      : time_constant_(time_constant) {}

  void add(instant now, double term) {
    sum_ = value(now) + term;
    updated_at_ = now;
  }
  double value(instant now) const {
    if (sum_ <= 0) return 0;
    std::chrono::duration<double> age = now - updated_at_;
    std::chrono::duration<double> time_constant = time_constant_;
    return sum_ * std::exp(-age.count() / time_constant.count());
  }

 private:
  duration time_constant_;
  double sum_ = 0;
  instant updated_at_;
};

}  // namespace toucanmux
