#pragma once

#include <array>
#include <cstddef>

#include "toucanmux/core.h"

namespace toucanmux {

/// The usual time from the naming of a leader until it is known to lead, as
/// measured by this process. It depends on the databases and their log.
class promotion_time {
 public:
  void record(duration measured);
  /// The median of the last measurements.
  duration value() const;

 private:
  std::array<duration, 5> measured_{};
  std::size_t count_ = 0;  ///< Of all measurements.
};

}  // namespace toucanmux
