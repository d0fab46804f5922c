#pragma once

#include <QTimer>
#include <deque>
#include <functional>
#include <memory>

#include "connection/upstream-connection.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// A connection for a pool's own work on a database: tasks run one at a time,
/// each within a time limit, and the connection opens when one needs it.
class control_session {
 public:
  /// Why a task did not come to its end.
  enum class failure : std::uint8_t { connection_failed, timed_out };
  struct task {
    std::function<void(upstream_connection&)> run;  ///< Calls `finish`.
    std::function<void(failure)> fail;
    duration timeout = std::chrono::milliseconds(1000);
  };

  explicit control_session(const upstream_target& target);

  void submit(task new_task);
  /// The running task is over.
  void finish();
  /// The running task failed: the connection was lost.
  void fail_running_task();

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
