#include "standin/micro-timer.h"

#include <sys/timerfd.h>
#include <unistd.h>

namespace toucanmux::standin {

micro_timer::micro_timer()
    : descriptor_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)),
      notifier_(descriptor_, QSocketNotifier::Read) {
  QObject::connect(&notifier_, &QSocketNotifier::activated, [this] { fire(); });
}

micro_timer::~micro_timer() {
  notifier_.setEnabled(false);
  close(descriptor_);
}

void micro_timer::after(std::chrono::microseconds delay,
                        std::function<void()> task) {
  tasks_.emplace(std::pair(clock::now() + delay, ++count_), std::move(task));
  arm();
}

void micro_timer::fire() {
  std::uint64_t expirations = 0;
  [[maybe_unused]] auto size = read(descriptor_, &expirations, 8);
  auto now = clock::now();
  while (!tasks_.empty() && tasks_.begin()->first.first <= now) {
    auto task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    task();
  }
  arm();
}

void micro_timer::arm() {
  if (tasks_.empty()) return;
  using std::chrono::nanoseconds;
  auto remaining_ns =
      nanoseconds(tasks_.begin()->first.first - clock::now()).count();
  // A time of zero would disarm the timer.
  if (remaining_ns < 1) remaining_ns = 1;
  itimerspec expiry{};
  expiry.it_value.tv_sec = remaining_ns / 1'000'000'000;
  expiry.it_value.tv_nsec = remaining_ns % 1'000'000'000;
  timerfd_settime(descriptor_, 0, &expiry, nullptr);
}

}  // namespace toucanmux::standin
