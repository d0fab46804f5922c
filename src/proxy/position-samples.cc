#include "toucanmux/proxy/position-samples.h"

#include <algorithm>

namespace toucanmux {

void position_samples::add(instant sent_at, const log_position& position) {
  if (!samples_.empty()) {
    sample& last = samples_.back();
    // A reordered older answer, or an answer of a former leader: it confirms
    // nothing about the current log.
    if (sent_at < last.sent_at || position < last.position) return;
    bool too_close = samples_.size() > 1 &&
                     sent_at - samples_[samples_.size() - 2].sent_at < spacing;
    if (too_close) samples_.pop_back();
  }
  samples_.push_back({sent_at, position});
  while (samples_.size() > 1 &&
         sent_at - samples_.front().sent_at > retention) {
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
