#pragma once

#include <cstddef>

#include "toucanmux/core.h"

namespace toucanmux {

/// A statement that finds no free connection.
struct admission_request {
  instant arrived_at;
  instant deadline;          ///< Of the statement, by its route.
  duration latency_goal{0};  ///< The route's objective.
  bool is_retry = false;     ///< It has been elsewhere already.
};

/// The line that it would join.
struct queue_state {
  std::size_t statements_ahead = 0;  ///< Statements that go first.
  std::size_t connections = 0;       ///< That serve the line.
  duration response_time{0};         ///< What each takes, smoothed.
};

struct admission_decision {
  bool admitted = false;
  instant wait_deadline;    ///< It is refused then if nothing was free.
  duration retry_after{0};  ///< Without waiting: when the line is shorter.
};

/// Decides whether a statement waits for a connection or is refused at once.
///
/// Answers a burst of more statements than the connections carry: a line in
/// which everybody waits serves everybody late. Who can't be served in time is
/// told so at once, and the line stays short enough for those that it keeps.
class queue_admission {
 public:
  struct settings {
    /// Part of the objective that a statement may wait. The rest is for the
    /// answer itself.
    double first_wait_share = 0.6;
    /// The same for one that has used the first part elsewhere.
    double retry_wait_share = 0.3;
  };

  queue_admission() : queue_admission(settings()) {}
  explicit queue_admission(const settings& values) : settings_(values) {}

  admission_decision decide(instant now, const admission_request& what,
                            const queue_state& line) const;

 private:
  settings settings_;
};

/// How long a statement that joins the line is likely to wait.
duration expected_wait(const queue_state& line);

}  // namespace toucanmux
