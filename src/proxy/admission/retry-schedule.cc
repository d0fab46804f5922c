#include "toucanmux/proxy/admission/retry-schedule.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Callers are never told to wait longer than this.
constexpr duration horizon = std::chrono::seconds(2);

}  // namespace

// A statement returns after all more urgent ones that were refused before it.
duration retry_schedule::next(instant now, duration expected, unsigned priority,
                              duration spacing) {
  auto index = std::min<std::size_t>(priority, priorities - 1);
  instant at = now + expected;
  for (std::size_t i = 0; i <= index; ++i)
    at = std::max(at, assigned_[i] + spacing);
  assigned_[index] = std::min(at, now + horizon);
  return assigned_[index] - now;
}

}  // namespace toucanmux
