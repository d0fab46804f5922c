#include "toucanmux/proxy/domain/warm-up.h"

#include <algorithm>

namespace toucanmux {

// Entries are read more than once, so the time left in an entry that was read
// again must not start the warm-up anew.
void warm_up::update(instant now, const upstream_entry& entry) {
  if (entry.warm_up_left == duration{0}) {
    cold_until_.reset();
    return;
  }
  instant end = now + entry.warm_up_left;
  bool same_process = cold_until_ && born_ms_ == entry.born_ms;
  cold_until_ = same_process ? std::min(*cold_until_, end) : end;
  born_ms_ = entry.born_ms;
}

std::optional<unsigned> warm_up::left(instant now) const {
  if (!active(now) || !limit_) return {};
  auto counted =
      std::count_if(sent_.begin(), sent_.end(),
                    [&](instant sent_at) { return now - sent_at < window; });
  auto used = static_cast<unsigned>(counted);
  return *limit_ > used ? *limit_ - used : 0;
}

bool warm_up::take(instant now) {
  if (!active(now) || !limit_) return true;
  while (!sent_.empty() && now - sent_.front() >= window) sent_.pop_front();
  if (sent_.size() >= *limit_) return false;
  sent_.push_back(now);
  return true;
}

}  // namespace toucanmux
