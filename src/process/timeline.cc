#include "process/timeline.h"

#include "process/clock.h"

namespace toucanmux {

void timeline::start(std::string_view process, std::size_t capacity) {
  std::lock_guard lock(mutex_);
  process_ = process;
  capacity_ = capacity;
}

void timeline::record(std::string_view event, const fields& values) {
  std::string line = std::to_string(process_clock().tick());
  std::lock_guard lock(mutex_);
  line += " " + process_ + " " + std::string(event) + " ";
  line += format_fields(values);
  lines_.push_back(std::move(line));
  if (lines_.size() > capacity_) lines_.pop_front();
}

std::string timeline::text() const {
  std::lock_guard lock(mutex_);
  std::string out;
  for (const auto& line : lines_) out += line + "\n";
  return out;
}

timeline& process_timeline() {
  static timeline instance;
  return instance;
}

}  // namespace toucanmux
