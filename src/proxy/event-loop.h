#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <functional>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// Handles the events of one descriptor that an `event_loop` watches.
class descriptor_handler {
 public:
  descriptor_handler() = default;
  descriptor_handler(const descriptor_handler&) = delete;
  descriptor_handler(descriptor_handler&&) = delete;
  descriptor_handler& operator=(const descriptor_handler&) = delete;
  descriptor_handler& operator=(descriptor_handler&&) = delete;
  virtual ~descriptor_handler() = default;
  /// @param ready_events the epoll event bits, such as `EPOLLIN`.
  virtual void on_ready(std::uint32_t ready_events) = 0;
};

/// A one-shot timer that can be armed again. Destroying it disarms it.
class timer : public boost::intrusive::set_base_hook<
                  boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  explicit timer(std::function<void()> callback)
      : callback_(std::move(callback)) {}

  bool armed() const { return is_linked(); }
  void disarm() {
    if (is_linked()) unlink();
  }
  bool operator<(const timer& other) const {
    return fires_at_ < other.fires_at_;
  }

 private:
  friend class event_loop;
  std::function<void()> callback_;
  instant fires_at_;
};

/// Work that is run once at the end of a turn of the loop, such as sending
/// buffered output.
class turn_end_hook
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  virtual ~turn_end_hook() = default;
  virtual void on_turn_end() = 0;
};

/// A single-threaded event loop on epoll. A turn is one iteration: wait, handle
/// events, fire timers, run the work queued for its end. Writes are batched
/// until the end of the turn and timers are coalesced, since system calls and
/// wake-ups are expensive on small instances.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop(event_loop&&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  event_loop& operator=(event_loop&&) = delete;

  /// The time at which this turn began, by the clock of `boot_time`. It may be
  /// earlier than the moment at which input that is handled in this turn was
  /// sent: a turn can take long, and the process can be suspended in it. Use
  /// `boot_time` where a state must be known to be younger than some age.
  instant now() const { return now_; }
  /// Runs turns until `stop` is called.
  void run();
  /// Runs one turn: waits for an event or a timer for at most `max_wait`.
  void turn(duration max_wait);
  void stop() { stopped_ = true; }
  bool stopped() const { return stopped_; }

  /// Reports to `handler` when the descriptor becomes readable and, with
  /// `watch_writable`, when it becomes writable.
  /// @throws platform_error if the descriptor can't be watched.
  void watch(int descriptor, descriptor_handler& handler, bool watch_writable);
  void modify(int descriptor, descriptor_handler& handler, bool watch_readable,
              bool watch_writable);
  /// Stops reporting events to `handler`, including those already received in
  /// this turn.
  void unwatch(int descriptor, descriptor_handler& handler);

  /// Arms a timer, or moves it if it is armed. The time is rounded up to a
  /// multiple of 5 ms.
  void arm(timer& target, instant fires_at);
  void arm_in(timer& target, duration delay) { arm(target, now_ + delay); }
  /// Calls `callback` at the end of the turn, after the turn-end hooks.
  void defer(std::function<void()> callback) {
    deferred_.push_back(std::move(callback));
  }
  /// Runs `hook` once at the end of the turn, however often it was added.
  void at_turn_end(turn_end_hook& hook);

 private:
  using timer_set =
      boost::intrusive::multiset<timer,
                                 boost::intrusive::constant_time_size<false>>;
  using turn_end_list =
      boost::intrusive::list<turn_end_hook,
                             boost::intrusive::constant_time_size<false>>;

  int wait_ms(duration max_wait) const;
  void fire_timers();
  void end_turn();

  int epoll_;
  instant now_;
  bool stopped_ = false;
  timer_set timers_;
  turn_end_list turn_ends_;
  std::vector<std::function<void()>> deferred_;
  std::vector<descriptor_handler*> unwatched_;  ///< In this turn.
};

/// The time since the machine started, which includes the time for which it was
/// suspended (`CLOCK_BOOTTIME`).
instant boot_time();

}  // namespace toucanmux
