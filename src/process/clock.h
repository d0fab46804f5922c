#pragma once

#include <atomic>

#include "toucanmux/core.h"

namespace toucanmux {

/// The process's steady time, for decisions.
instant now();

/// A hybrid logical clock: wall time in microseconds with a counter in the low
/// bits, never behind anything this process has heard of. Thread-safe.
class hybrid_clock {
 public:
  /// A stamp greater than every earlier one.
  std::uint64_t tick();
  /// Takes notice of a stamp that came with a message.
  void update(std::uint64_t stamp);

 private:
  std::atomic<std::uint64_t> last_{0};
};

/// The process's one hybrid clock.
hybrid_clock& process_clock();

}  // namespace toucanmux
