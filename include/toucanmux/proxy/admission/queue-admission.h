#pragma once

#include <cstddef>

#include "toucanmux/core.h"

namespace toucanmux {

/// A statement that found no free connection.
struct admission_request {
  instant arrived_at;        ///< When the caller's statement was received.
  instant deadline;          ///< The end of the route's statement timeout.
  duration latency_goal{0};  ///< The route's latency objective.
  bool is_retry = false;     ///< The statement was sent to an upstream before.
};

/// The queue that the statement would join.
struct queue_state {
  std::size_t statements_ahead = 0;  ///< All statements in the queue.
  std::size_t connections = 0;       ///< Connections that serve the queue.
  duration response_time{0};         ///< Mean time that a statement takes.
};

/// Whether a statement may join the queue.
struct admission_decision {
  bool admitted = false;
  instant wait_deadline;  ///< The statement is refused if it still waits then.
  duration retry_after{0};  ///< Of a refused statement: the expected wait.
};

/// Decides whether a statement is queued for a connection or refused at once.
///
/// When a burst exceeds the capacity of the connections, an unbounded queue
/// delays every statement beyond its latency objective. Statements that can't
/// be served in time are refused on arrival, which keeps the queue short enough
/// for the others.
class queue_admission {
 public:
  struct settings {
    /// Part of the latency objective that a statement may wait for a
    /// connection. The remainder is for running it.
    double first_wait_share = 0.6;
    /// The same for a retry, counted from the retry on.
    double retry_wait_share = 0.3;
  };

  queue_admission() : queue_admission(settings()) {}
  explicit queue_admission(const settings& values) : settings_(values) {}

  admission_decision decide(instant now, const admission_request& request,
                            const queue_state& queue) const;

 private:
  settings settings_;
};

/// Estimates how long a statement that joins the queue will wait.
duration expected_wait(const queue_state& queue);

}  // namespace toucanmux
