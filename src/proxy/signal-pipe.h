#pragma once

#include <functional>

#include "proxy/event-loop.h"

namespace toucanmux {

/// Forwards SIGTERM, SIGINT and SIGHUP to the event loop through a pipe. The
/// newest signal_pipe of the process gets the signals.
class signal_pipe final : public descriptor_handler {
 public:
  /// @param raised_at when the process got the signal.
  using handler = std::function<void(int number, instant raised_at)>;

  /// @throws platform_error if no pipe can be opened.
  signal_pipe(event_loop& loop, handler on_signal);
  ~signal_pipe() override;
  signal_pipe(const signal_pipe&) = delete;
  signal_pipe(signal_pipe&&) = delete;
  signal_pipe& operator=(const signal_pipe&) = delete;
  signal_pipe& operator=(signal_pipe&&) = delete;

  void on_ready(std::uint32_t events) override;

 private:
  event_loop& loop_;
  handler on_signal_;
  int read_end_ = -1;
  int write_end_ = -1;
};

}  // namespace toucanmux
