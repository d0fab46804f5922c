#include "toucanmux/proxy/position-samples.h"

#include <algorithm>

namespace toucanmux {

void position_samples::add(instant asked, const log_position& position) {
  if (!samples_.empty()) {
    sample& last = samples_.back();
    // An older answer that came late, or one of a leader that has been
    // replaced since: it proves nothing about the present log.
    if (asked < last.sent_at || position < last.position) return;
    bool crowded = samples_.size() > 1 &&
                   asked - samples_[samples_.size() - 2].sent_at < spacing;
    if (crowded) samples_.pop_back();
  }
  samples_.push_back({asked, position});
  while (samples_.size() > 1 && asked - samples_.front().sent_at > retention) {
    samples_.pop_front();
  }
}

std::optional<log_position> position_samples::required(instant now,
                                                       duration max_age) const {
  instant earliest = now - max_age + margin;
  auto first = std::partition_point(
      samples_.begin(), samples_.end(),
      [&](const sample& entry) { return entry.sent_at < earliest; });
  if (first == samples_.end()) return {};
  return first->position;
}

std::optional<log_position> position_samples::newest() const {
  if (samples_.empty()) return {};
  return samples_.back().position;
}

instant position_samples::newest_sent_at() const {
  return samples_.empty() ? instant{} : samples_.back().sent_at;
}

}  // namespace toucanmux
