#include "toucanmux/proxy/admission/retry-schedule.h"

#include <algorithm>

namespace toucanmux {

// A statement returns after all more urgent ones that were refused before it.
duration retry_schedule::next(instant now, duration expected, unsigned priority,
                              duration spacing, duration statement_timeout) {
  auto index = std::min<std::size_t>(priority, priorities - 1);
  instant at = now + expected;
  for (std::size_t i = 0; i <= index; ++i)
    at = std::max(at, assigned_[i] + spacing);
  assigned_[index] = std::min(at, now + expected + statement_timeout);
  return assigned_[index] - now;
}

}  // namespace toucanmux
