#include "proxy/signal-pipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

// Global, since a signal handler gets no other context.
volatile int signal_write_end = -1;

void forward_signal(int number) {
  auto byte = static_cast<char>(number);
  [[maybe_unused]] auto written = write(signal_write_end, &byte, 1);
}

}  // namespace

signal_pipe::signal_pipe(event_loop& loop, handler on_signal)
    : loop_(loop), on_signal_(std::move(on_signal)) {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
    throw platform_error(
        "signal pipe: no free descriptor: raise the descriptor limit");
  }
  read_end_ = ends[0];
  signal_write_end = write_end_ = ends[1];
  struct sigaction action {};
  action.sa_handler = forward_signal;
  action.sa_flags = SA_RESTART;
  for (int number : {SIGTERM, SIGINT, SIGHUP}) {
    sigaction(number, &action, nullptr);
  }
  signal(SIGPIPE, SIG_IGN);
  loop_.watch(read_end_, *this, false);
}

signal_pipe::~signal_pipe() {
  for (int number : {SIGTERM, SIGINT, SIGHUP}) signal(number, SIG_IGN);
  loop_.unwatch(read_end_, *this);
  close(read_end_);
  // A newer signal_pipe may have replaced the descriptor.
  if (signal_write_end == write_end_) signal_write_end = -1;
  close(write_end_);
}

void signal_pipe::on_ready(std::uint32_t) {
  std::array<char, 16> bytes{};
  auto count = read(read_end_, bytes.data(), bytes.size());
  for (ssize_t i = 0; i < count; ++i) {
    on_signal_(bytes[static_cast<std::size_t>(i)]);
  }
}

}  // namespace toucanmux
