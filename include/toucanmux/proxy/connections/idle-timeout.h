#pragma once

#include <algorithm>

#include "toucanmux/core.h"

namespace toucanmux {

/// Decides how long an idle connection to one database is kept open.
///
/// A connection within the instance's share stays open for a fixed time, since
/// the next statement may need it. The timeout of borrowed connections is
/// halved each time the database refuses a connection for lack of room, and
/// grows again with each tick.
class idle_timeout {
 public:
  struct settings {
    /// Timeout within the instance's share. A database counts the connections
    /// of an instance that lost power for another 3 s, so more idle connections
    /// would delay the return of the instance.
    duration own_share = std::chrono::milliseconds(1500);
    /// Initial and longest timeout of borrowed connections. Longer than the
    /// round trip before a transaction's next statement, and short compared
    /// with the time between two statements of a team.
    duration max_borrowed = std::chrono::milliseconds(300);
    duration min_borrowed = std::chrono::milliseconds(20);
    /// Grows the timeout from the shortest to the longest in about 10 s.
    double growth_per_tick = 1.06;
  };

  idle_timeout() : idle_timeout(settings()) {}
  explicit idle_timeout(const settings& values)
      : settings_(values), borrowed_timeout_(values.max_borrowed) {}

  /// The database refused a connection because it has too many.
  void record_refusal() {
    borrowed_timeout_ =
        std::max<duration>(borrowed_timeout_ / 2, settings_.min_borrowed);
  }
  /// Called a few times a second; lengthens the timeout after refusals.
  void tick() {
    auto grown = std::chrono::duration_cast<duration>(
        borrowed_timeout_ * settings_.growth_per_tick);
    borrowed_timeout_ = std::min<duration>(grown, settings_.max_borrowed);
  }
  /// @param borrows whether the instance borrows connections to the database.
  duration value(bool borrows) const {
    return borrows ? borrowed_timeout_ : settings_.own_share;
  }

 private:
  settings settings_;
  duration borrowed_timeout_;
};

}  // namespace toucanmux
