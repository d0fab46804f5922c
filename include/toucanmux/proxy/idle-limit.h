#pragma once

#include <algorithm>

#include "toucanmux/core.h"

namespace toucanmux {

/// How long an unused connection is kept.
///
/// Connections of an instance's own share rest for a while, since the next
/// statement may need them. Borrowed ones go back soon, and sooner the more
/// often the database has no room: halved with each refusal, grown again
/// while there is none.
class idle_limit {
 public:
  struct settings {
    /// A database counts connections of an instance that lost power for 3 s;
    /// more of them resting would delay the return.
    duration own = std::chrono::milliseconds(1500);
    /// Longer than the way to a database that a transaction's next statement
    /// takes, and short beside the time between two statements of a team.
    duration longest_borrowed = std::chrono::milliseconds(300);
    duration shortest_borrowed = std::chrono::milliseconds(20);
    /// From the shortest to the longest in about ten seconds.
    double growth_each_tick = 1.06;
  };

  idle_limit() : idle_limit(settings()) {}
  explicit idle_limit(const settings& values)
      : settings_(values), borrowed_(values.longest_borrowed) {}

  /// The database had no room for a connection.
  void refused() {
    borrowed_ = std::max<duration>(borrowed_ / 2, settings_.shortest_borrowed);
  }
  /// Called a few times a second.
  void tick() {
    auto grown = std::chrono::duration_cast<duration>(
        borrowed_ * settings_.growth_each_tick);
    borrowed_ = std::min<duration>(grown, settings_.longest_borrowed);
  }
  duration value(bool borrows) const {
    return borrows ? borrowed_ : settings_.own;
  }

 private:
  settings settings_;
  duration borrowed_;
};

}  // namespace toucanmux
