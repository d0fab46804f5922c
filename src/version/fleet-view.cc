#include "version/fleet-view.h"

#include <algorithm>

#include "toucanmux/hash.h"
#include "toucanmux/process/rendezvous.h"

namespace toucanmux {

const database_group* fleet_view::find_group(const service_id& service,
                                             std::string_view shard) const {
  std::vector<const database_group*> matches;
  for (const auto& [id, group] : groups) {
    if (group.service == service) matches.push_back(&group);
  }
  if (matches.empty() || (shard.empty() && matches.size() > 1)) return nullptr;
  return matches[stable_hash(shard) % matches.size()];
}

const database* fleet_view::find_database(const database_group& group,
                                          const database_id& id) {
  auto it = std::find_if(group.databases.begin(), group.databases.end(),
                         [&](const auto& one) { return one.id == id; });
  return it == group.databases.end() ? nullptr : &*it;
}

// Runs once per view and not per statement, since it ranks all pools.
void fleet_view::choose_owners() {
  std::map<domain_id, std::vector<member_id>> candidates;
  std::unordered_map<std::string_view, const member*> by_id;
  for (const auto& pool : pools) {
    candidates[pool.domain].push_back(pool.id);
    by_id[pool.id.value] = &pool;
  }
  for (const auto& [id, group] : groups) {
    for (const auto& target : group.databases) {
      auto ranked = toucanmux::choose_owners(
          target.id.value, candidates[target.domain], ranked_owner_count);
      auto& owners = owners_[target.id.value];
      for (const auto& pool : ranked) owners.push_back(by_id[pool.value]);
    }
  }
}

bool fleet_view::all_owned() const {
  return std::all_of(groups.begin(), groups.end(), [this](const auto& item) {
    const auto& databases = item.second.databases;
    return std::all_of(
        databases.begin(), databases.end(),
        [this](const database& one) { return owner(one) != nullptr; });
  });
}

const member* fleet_view::owner_by_rank(const database& target,
                                        std::size_t rank) const {
  auto it = owners_.find(target.id.value);
  if (it == owners_.end() || it->second.size() <= rank) return nullptr;
  return it->second[rank];
}

const member* fleet_view::owner(const database& target) const {
  return owner_by_rank(target, 0);
}

const member* fleet_view::next_owner(const database& target) const {
  return owner_by_rank(target, 1);
}

}  // namespace toucanmux
