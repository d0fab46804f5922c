#include "connection/control-session.h"

namespace toucanmux {

control_session::control_session(const upstream_target& target)
    : target_(target) {
  timeout_timer_.setSingleShot(true);
  QObject::connect(&timeout_timer_, &QTimer::timeout,
                   [this] { fail_task(failure::timed_out); });
}

void control_session::submit(task new_task) {
  tasks_.push_back(std::move(new_task));
  start_next_task();
}

void control_session::start_next_task() {
  if (running_ || tasks_.empty()) return;
  running_ = true;
  auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      tasks_.front().timeout);
  timeout_timer_.start(timeout);
  if (connection_ && connection_->usable()) {
    return tasks_.front().run(*connection_);
  }
  connection_ = std::make_unique<upstream_connection>();
  connection_->open(target_, [this](const open_result& result) {
    if (!result.ok) return fail_task(failure::connection_failed);
    tasks_.front().run(*connection_);
  });
}

void control_session::finish() {
  timeout_timer_.stop();
  running_ = false;
  tasks_.pop_front();
  start_next_task();
}

void control_session::fail_running() { fail_task(failure::connection_failed); }

void control_session::fail_task(failure cause) {
  connection_.reset();
  auto fail = std::move(tasks_.front().fail);
  finish();
  fail(cause);
}

}  // namespace toucanmux
