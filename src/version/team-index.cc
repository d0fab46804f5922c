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
    by_id_.emplace(one.id.value, &one);
    for (const auto& hash : one.key_hashes) by_key_.emplace(hash, &one);
  }
  for (const auto& one : plans_.plans) {
    plans_by_id_.emplace(one.id.value, &one);
  }
}

const team* team_index::find_by_key_hash(std::string_view key_hash) const {
  return find_or_null(by_key_, key_hash);
}

const team* team_index::find(const team_id& id) const {
  return find_or_null(by_id_, id.value);
}

const open_route* team_index::find_open_route(const route& wanted) const {
  for (const auto& open : plans_.open_routes) {
    if (route{open.service, open.access} == wanted) return &open;
  }
  return nullptr;
}

bool team_index::may_use(const team& who, const route& wanted) const {
  const plan* held = plan_of(who);
  if (held == nullptr) return false;
  return std::find(held->routes.begin(), held->routes.end(), wanted) !=
         held->routes.end();
}

team_limits team_index::limits(const team& who) const {
  const plan* held = plan_of(who);
  if (held == nullptr) return {};
  return {who.rate > 0 ? who.rate : held->rate,
          who.burst > 0 ? who.burst : held->burst, held->weight};
}

const plan* team_index::plan_of(const team& who) const {
  return find_or_null(plans_by_id_, who.plan.value);
}

}  // namespace toucanmux
