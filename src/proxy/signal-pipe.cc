#include "proxy/signal-pipe.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

// Global, since a signal handler gets no other context.
volatile int signal_write_end = -1;

struct raised_signal {
  int number = 0;
  instant raised_at;
};

void forward_signal(int number) {
  raised_signal raised{number, boot_time()};
  [[maybe_unused]] auto written =
      write(signal_write_end, &raised, sizeof(raised));
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
  std::array<raised_signal, 16> raised{};
  auto count = read(read_end_, raised.data(), sizeof(raised));
  auto signals = std::max<ssize_t>(count, 0) / ssize_t{sizeof(raised_signal)};
  for (ssize_t i = 0; i < signals; ++i) {
    const auto& next = raised[static_cast<std::size_t>(i)];
    on_signal_(next.number, next.raised_at);
  }
}

}  // namespace toucanmux
