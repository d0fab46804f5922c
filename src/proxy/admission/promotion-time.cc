#include "toucanmux/proxy/admission/promotion-time.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Until a promotion was measured.
constexpr duration first_estimate = std::chrono::milliseconds(400);

}  // namespace

void promotion_time::record(duration measured) {
  measured_[count_ % measured_.size()] = measured;
  ++count_;
}

// A promotion that took very long does not change the median.
duration promotion_time::value() const {
  auto known = std::min(count_, measured_.size());
  if (known == 0) return first_estimate;
  auto sorted = measured_;
  auto end = sorted.begin() + static_cast<std::ptrdiff_t>(known);
  auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(known / 2);
  std::nth_element(sorted.begin(), middle, end);
  return *middle;
}

}  // namespace toucanmux
