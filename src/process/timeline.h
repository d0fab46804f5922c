#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <string_view>

#include "toucanmux/fields.h"

namespace toucanmux {

/// Number of events that a process keeps.
inline constexpr std::size_t timeline_capacity = 20000;

/// The recent events of a process, kept in memory and stamped by the hybrid
/// clock. The admin port serves them; `toucanmux-ctl timeline` merges those of
/// all processes. Thread-safe.
class timeline {
 public:
  /// Sets the process name of all events and the number of events kept.
  void start(std::string_view process, std::size_t capacity);

  /// Adds an event, such as `record("promoted", {{"group", "socios-1"}})`.
  /// Drops the oldest event when the timeline is full.
  void record(std::string_view event, const fields& values);

  /// One line per event: stamp, process, event, fields.
  std::string text() const;

 private:
  mutable std::mutex mutex_;
  std::string process_;
  std::size_t capacity_ = 4096;
  std::deque<std::string> lines_;
};

/// The timeline shared by the whole process.
timeline& process_timeline();

}  // namespace toucanmux
