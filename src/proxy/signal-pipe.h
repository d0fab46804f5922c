#pragma once

#include <functional>

#include "proxy/event-loop.h"

namespace toucanmux {

/// Brings SIGTERM, SIGINT and SIGHUP into the event loop.
class signal_pipe final : public descriptor_handler {
 public:
  using handler = std::function<void(int number)>;

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
