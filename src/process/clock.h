#pragma once

#include <atomic>

#include "toucanmux/core.h"

namespace toucanmux {

/// The current time of the steady clock, which all decisions use.
instant now();

/// A hybrid logical clock: wall time in microseconds with a counter in the low
/// bits. Never behind a stamp that this process has received. Thread-safe.
class hybrid_clock {
 public:
  /// @return a stamp greater than every earlier one.
  std::uint64_t tick();
  /// Advances the clock to a stamp received with a message. Ignores stamps too
  /// far in the future.
  void update(std::uint64_t stamp);

 private:
  std::atomic<std::uint64_t> last_{0};
};

/// The hybrid clock shared by the whole process.
hybrid_clock& process_clock();

}  // namespace toucanmux
