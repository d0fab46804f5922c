#pragma once

#include <QTimer>
#include <deque>
#include <functional>
#include <memory>

#include "connection/upstream-connection.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// A connection for a pool's own queries to a database. Tasks run one at a
/// time in order of submission, each with a timeout; the connection is opened
/// when a task needs one.
class control_session {
 public:
  /// The cause of a task's failure.
  enum class failure : std::uint8_t { connection_failed, timed_out };
  struct task {
    /// Must lead to one call of `finish` or `fail_running`.
    std::function<void(upstream_connection&)> run;
    std::function<void(failure)> fail;  ///< Called once, if the task fails.
    /// Counts from the task's start and includes opening the connection.
    duration timeout = std::chrono::milliseconds(1000);
  };

  explicit control_session(const upstream_target& target);

  void submit(task new_task);
  /// Ends the running task and starts the next one.
  void finish();
  /// Fails the running task with `connection_failed` and closes the
  /// connection.
  void fail_running();

 private:
  void start_next_task();
  void fail_task(failure cause);

  upstream_target target_;
  std::unique_ptr<upstream_connection> connection_;
  std::deque<task> tasks_;
  bool running_ = false;
  QTimer timeout_timer_;
};

}  // namespace toucanmux
