#include "toucanmux/proxy/connections/avoided-peers.h"

#include <algorithm>

namespace toucanmux {

namespace {

constexpr duration min_backoff = std::chrono::seconds(1);
constexpr duration max_backoff = std::chrono::seconds(8);

}  // namespace

bool avoided_peers::is_current(instant now, const key& avoided_key) const {
  auto found = entries_.find(avoided_key);
  return found != entries_.end() && now < found->second.until;
}

bool avoided_peers::record_failure(instant now, const member_id& peer,
                                   const database_id& database) {
  if (avoided(now, peer, database)) return false;
  entry& avoidance = entries_[{peer, database}];
  avoidance.backoff =
      std::clamp<duration>(avoidance.backoff * 2, min_backoff, max_backoff);
  avoidance.until = now + avoidance.backoff;
  return true;
}

// Answers that arrive while the peer is avoided were sent for earlier
// statements and do not end the backoff.
void avoided_peers::record_success(instant now, const member_id& peer,
                                   const database_id& database) {
  if (entries_.empty() || avoided(now, peer, database)) return;
  entries_.erase({peer, {}});
  entries_.erase({peer, database});
}

bool avoided_peers::avoided(instant now, const member_id& peer,
                            const database_id& database) const {
  if (entries_.empty()) return false;
  return is_current(now, {peer, {}}) || is_current(now, {peer, database});
}

std::size_t avoided_peers::count(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [&](const auto& item) { return now < item.second.until; }));
}

}  // namespace toucanmux
