#pragma once

#include <QSocketNotifier>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace toucanmux::standin {

/// Runs delayed functions on its thread with microsecond resolution, because a
/// QTimer's millisecond is longer than a typical service time.
class micro_timer {
 public:
  micro_timer();
  ~micro_timer();
  Q_DISABLE_COPY_MOVE(micro_timer)

  void after(std::chrono::microseconds delay, std::function<void()> task);

 private:
  using clock = std::chrono::steady_clock;

  void fire();
  void arm();

  int descriptor_;
  QSocketNotifier notifier_;
  std::uint64_t count_ = 0;
  std::map<std::pair<clock::time_point, std::uint64_t>, std::function<void()>>
      tasks_;
};

}  // namespace toucanmux::standin
