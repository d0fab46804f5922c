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
class idle_timeout {
 public:
  struct settings {
    /// A database counts connections of an instance that lost power for 3 s;
    /// more of them resting would delay the return.
    duration own_share = std::chrono::milliseconds(1500);
    /// Longer than the way to a database that a transaction's next statement
    /// takes, and short beside the time between two statements of a team.
    duration max_borrowed = std::chrono::milliseconds(300);
    duration min_borrowed = std::chrono::milliseconds(20);
    /// From the shortest to the longest in about ten seconds.
    double growth_per_tick = 1.06;
  };

  idle_timeout() : idle_timeout(settings()) {}
  explicit idle_timeout(const settings& values)
      : settings_(values), borrowed_(values.max_borrowed) {}

  /// The database had no room for a connection.
  void record_refusal() {
    borrowed_ = std::max<duration>(borrowed_ / 2, settings_.min_borrowed);
  }
  /// Called a few times a second.
  void tick() {
    auto grown = std::chrono::duration_cast<duration>(
        borrowed_ * settings_.growth_per_tick);
    borrowed_ = std::min<duration>(grown, settings_.max_borrowed);
  }
  duration value(bool borrows) const {
    return borrows ? borrowed_ : settings_.own_share;
  }

 private:
  settings settings_;
  duration borrowed_;
};

}  // namespace toucanmux
