#include "toucanmux/version/team-index.h"

#include <algorithm>
#include <utility>

namespace toucanmux {

namespace {

template <class Map>
typename Map::mapped_type find_or_null(const Map& map, std::string_view key) {
  auto it = map.find(key);
  return it == map.end() ? nullptr : it->second;
}

}  // namespace

team_index::team_index(team_list teams, plan_list plans)
    : teams_(std::move(teams)), plans_(std::move(plans)) {
  for (const auto& one : teams_.teams) {
    teams_by_id_.emplace(one.id.value, &one);
    for (const auto& hash : one.key_hashes) teams_by_key_.emplace(hash, &one);
  }
  for (const auto& one : plans_.plans) {
    plans_by_id_.emplace(one.id.value, &one);
  }
}

const team* team_index::find_by_key_hash(std::string_view key_hash) const {
  return find_or_null(teams_by_key_, key_hash);
}

const team* team_index::find(const team_id& id) const {
  return find_or_null(teams_by_id_, id.value);
}

const open_route* team_index::find_open_route(const route& requested) const {
  for (const auto& open : plans_.open_routes) {
    if (route{open.service, open.access} == requested) return &open;
  }
  return nullptr;
}

bool team_index::may_use(const team& team_entry, const route& requested) const {
  const plan* team_plan = plan_of(team_entry);
  if (team_plan == nullptr) return false;
  return std::find(team_plan->routes.begin(), team_plan->routes.end(),
                   requested) != team_plan->routes.end();
}

team_limits team_index::limits(const team& team_entry) const {
  const plan* team_plan = plan_of(team_entry);
  if (team_plan == nullptr) return {};
  return {team_entry.rate > 0 ? team_entry.rate : team_plan->rate,
          team_entry.burst > 0 ? team_entry.burst : team_plan->burst,
          team_plan->weight};
}

const plan* team_index::plan_of(const team& team_entry) const {
  return find_or_null(plans_by_id_, team_entry.plan.value);
}

}  // namespace toucanmux
