#include "toucanmux/proxy/admission/retry-time.h"

#include <algorithm>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;

// Statements of one priority are spread over a quarter of the expected time
// within these limits.
constexpr duration min_spread = milliseconds(25);
constexpr duration max_spread = milliseconds(125);
constexpr int spread_divisor = 4;
// Less urgent priorities share the last interval.
constexpr unsigned last_priority = 3;
constexpr std::uint64_t seed_steps = 1024;

}  // namespace

duration retry_time(duration expected, unsigned priority, std::uint64_t seed) {
  duration spread =
      std::clamp(expected / spread_divisor, min_spread, max_spread);
  duration::rep interval = std::min(priority, last_priority);
  auto step = static_cast<duration::rep>(mix(seed) % seed_steps);
  return expected + spread * interval +
         spread * step / static_cast<duration::rep>(seed_steps);
}

}  // namespace toucanmux
