#include "toucanmux/proxy/store-generation.h"

#include <algorithm>

#include "toucanmux/proxy/leader-lease.h"

namespace toucanmux {

bool store_generation::observe(instant now, std::uint64_t generation) {
  if (generation <= current_) return false;
  current_ = generation;
  seen_since_ = now;
  marked_settled_at_.reset();
  return true;
}

void store_generation::mark_settled(instant now) {
  if (!marked_settled_at_) marked_settled_at_ = now;
}

duration store_generation::settled_for(instant now) const {
  auto out = age(now) - rewrite_time;
  if (marked_settled_at_) out = std::max(out, now - *marked_settled_at_);
  return out;
}

// A lease is as old as the read that confirmed it, so no lease of an older
// generation was confirmed after the restore.
bool store_generation::older_leases_ended(instant now) const {
  constexpr duration rest = leader_lease::expiry_wait - rewrite_time;
  bool marked = marked_settled_at_ && now - *marked_settled_at_ >= rest;
  return marked || age(now) >= leader_lease::expiry_wait;
}

}  // namespace toucanmux
