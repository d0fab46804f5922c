#include "proxy/event-loop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <string>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

// Timers fire at multiples of this interval, so that one wake-up serves several
// timers.
constexpr duration timer_granularity = std::chrono::milliseconds(5);
constexpr int max_events_per_turn = 64;
constexpr duration max_idle_wait = std::chrono::minutes(1);

std::string errno_message(std::string_view message) {
  return std::string(message) + ": " + std::strerror(errno);
}

}  // namespace

instant boot_time() {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return instant(std::chrono::seconds(value.tv_sec) +
                 std::chrono::duration_cast<duration>(
                     std::chrono::nanoseconds(value.tv_nsec)));
}

event_loop::event_loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  if (epoll_ < 0) {
    throw platform_error(errno_message(
        "epoll: can't create a descriptor: raise the descriptor limit"));
  }
  now_ = boot_time();
}

event_loop::~event_loop() { close(epoll_); }

void event_loop::run() {
  while (!stopped_) turn(max_idle_wait);
  end_turn();
}

void event_loop::watch(int descriptor, descriptor_handler& handler,
                       bool watch_writable) {
  epoll_event event{};
  event.events = EPOLLIN | (watch_writable ? EPOLLOUT : 0U);
  event.data.ptr = &handler;
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) != 0) {
    throw platform_error(errno_message(
        "epoll: can't watch the descriptor: raise the descriptor limit"));
  }
}

void event_loop::modify(int descriptor, descriptor_handler& handler,
                        bool watch_readable, bool watch_writable) {
  epoll_event event{};
  event.events =
      (watch_readable ? EPOLLIN : 0U) | (watch_writable ? EPOLLOUT : 0U);
  event.data.ptr = &handler;
  epoll_ctl(epoll_, EPOLL_CTL_MOD, descriptor, &event);
}

void event_loop::unwatch(int descriptor, descriptor_handler& handler) {
  epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
  unwatched_.push_back(&handler);
}

void event_loop::arm(timer& target, instant fires_at) {
  target.disarm();
  auto granularity = timer_granularity.count();
  auto count =
      (fires_at.time_since_epoch().count() + granularity - 1) / granularity;
  target.fires_at_ = instant(duration(count * granularity));
  timers_.insert(target);
}

void event_loop::at_turn_end(turn_end_hook& hook) {
  if (!hook.is_linked()) turn_ends_.push_back(hook);
}

int event_loop::wait_ms(duration max_wait) const {
  if (!deferred_.empty() || !turn_ends_.empty()) return 0;
  auto remaining = max_wait;
  if (!timers_.empty()) {
    remaining =
        std::min<duration>(max_wait, timers_.begin()->fires_at_ - boot_time());
  }
  if (remaining <= duration{0}) return 0;
  auto wait = std::chrono::ceil<std::chrono::milliseconds>(remaining);
  return static_cast<int>(wait.count());
}

void event_loop::turn(duration max_wait) {
  std::array<epoll_event, max_events_per_turn> events{};
  unwatched_.clear();
  int count =
      epoll_wait(epoll_, events.data(), max_events_per_turn, wait_ms(max_wait));
  now_ = boot_time();
  for (int i = 0; i < count; ++i) {
    const auto& event = events[static_cast<std::size_t>(i)];
    auto* handler = static_cast<descriptor_handler*>(event.data.ptr);
    if (std::find(unwatched_.begin(), unwatched_.end(), handler) !=
        unwatched_.end())
      continue;
    handler->on_ready(event.events);
  }
  fire_timers();
  end_turn();
}

void event_loop::fire_timers() {
  while (!timers_.empty() && timers_.begin()->fires_at_ <= now_) {
    timer& due = *timers_.begin();
    due.disarm();
    due.callback_();
  }
}

void event_loop::end_turn() {
  while (!turn_ends_.empty()) {
    turn_end_hook& next = turn_ends_.front();
    turn_ends_.pop_front();
    next.on_turn_end();
  }
  auto callbacks = std::move(deferred_);
  deferred_.clear();
  for (auto& callback : callbacks) callback();
}

}  // namespace toucanmux
