#pragma once

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <functional>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// Takes what the loop reports of a descriptor.
class descriptor_handler {
 public:
  descriptor_handler() = default;
  descriptor_handler(const descriptor_handler&) = delete;
  descriptor_handler(descriptor_handler&&) = delete;
  descriptor_handler& operator=(const descriptor_handler&) = delete;
  descriptor_handler& operator=(descriptor_handler&&) = delete;
  virtual ~descriptor_handler() = default;
  /// @param events bits of epoll.
  virtual void on_ready(std::uint32_t ready_events) = 0;
};

/// Calls a function once at a time; disarmed when destroyed.
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

/// Has something to send at the end of the loop's turn.
class turn_end_hook
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  virtual ~turn_end_hook() = default;
  virtual void on_turn_end() = 0;
};

/// One thread's descriptors and timers behind one epoll descriptor. Writes are
/// gathered until the end of a turn, and timers that are close fire together,
/// since small instances pay for each system call and wake-up.
class event_loop {
 public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop(event_loop&&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  event_loop& operator=(event_loop&&) = delete;

  /// The time of this turn. It goes on while the process is suspended.
  instant now() const { return now_; }
  void run();
  /// One turn: waits for an event or a timer, at most so long.
  void turn(duration max_wait);
  void stop() { stopped_ = true; }
  bool stopped() const { return stopped_; }

  /// @throws platform_error if the descriptor can't be watched.
  void watch(int descriptor, descriptor_handler& handler, bool watch_writable);
  void modify(int descriptor, descriptor_handler& handler, bool watch_writable);
  /// No event of `owner` is reported any more, also not in this turn.
  void unwatch(int descriptor, descriptor_handler& handler);

  void arm(timer& target, instant fires_at);
  void arm_in(timer& target, duration delay) { arm(target, now_ + delay); }
  /// Runs at the end of the turn.
  void defer(std::function<void()> callback) {
    deferred_.push_back(std::move(callback));
  }
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
  std::vector<descriptor_handler*> unwatched_;  ///< Unwatched in this turn.
};

/// The time since the machine started, its suspensions included.
instant boot_time();

}  // namespace toucanmux
