#pragma once

#include <array>

#include "toucanmux/core.h"

namespace toucanmux {

/// Assigns the times at which refused statements are expected to be served, so
/// that they return no faster than they can be served.
class retry_schedule {
 public:
  /// Returns the time until the next statement of this priority may return.
  /// @param expected when the cause of the refusal is expected to end.
  /// @param spacing time in which one statement is served.
  /// @param statement_timeout turns are given no further ahead of `expected`
  /// than this, since most of those would be of callers that have given up.
  duration next(instant now, duration expected, unsigned priority,
                duration spacing, duration statement_timeout);

 private:
  /// Less urgent priorities share the last entry.
  static constexpr std::size_t priorities = 4;

  std::array<instant, priorities> assigned_{};
};

}  // namespace toucanmux
