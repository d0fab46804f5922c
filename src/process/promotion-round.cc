#include "toucanmux/process/promotion-round.h"

#include <algorithm>

namespace toucanmux {

void promotion_round::raise_term(std::uint64_t new_term) {
  if (new_term <= term) return;
  term = new_term;
  fences_.clear();
}

// The object may name another primary than before, recorded in a term between.
void promotion_round::reset_choice() {
  chosen_ = {};
  reachable_primary_ = {};
}

bool promotion_round::has_quorum(const database_group& group) const {
  const auto& databases = group.databases;
  auto fenced =
      std::count_if(databases.begin(), databases.end(),
                    [&](const auto& db) { return fences_.contains(db.id); });
  return databases.size() >= 2 &&
         static_cast<std::size_t>(fenced) + 1 >= databases.size();
}

void promotion_round::choose_furthest(const database_group& group) {
  chosen_ = {};
  log_position furthest;
  for (const auto& db : group.databases) {
    auto it = fences_.find(db.id);
    if (it == fences_.end()) continue;
    bool preferred_tie = it->second == furthest && db.id == target;
    if (!chosen_.empty() && it->second <= furthest && !preferred_tie) continue;
    furthest = it->second;
    chosen_ = db.id;
  }
}

}  // namespace toucanmux
