#include "toucanmux/proxy/fleet-config.h"

#include <algorithm>

namespace toucanmux {

fleet_config::fleet_config(std::uint64_t version, std::uint32_t digest,
                           duration transaction_idle, std::vector<route> routes,
                           std::vector<group_policy> groups,
                           std::vector<team_plan> teams)
    : version_(version),
      digest_(digest),
      transaction_idle_(transaction_idle),
      routes_(std::move(routes)),
      groups_(std::move(groups)),
      teams_(std::move(teams)) {
  std::sort(routes_.begin(), routes_.end(), [](const route& a, const route& b) {
    return a.database < b.database;
  });
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    for (const auto& key : teams_[i].keys) keys_.push_back({key, i});
  }
  std::sort(
      keys_.begin(), keys_.end(),
      [](const key_entry& a, const key_entry& b) { return a.key < b.key; });
}

const route* fleet_config::find_route(std::string_view database) const {
  auto found = std::lower_bound(
      routes_.begin(), routes_.end(), database,
      [](const route& a, std::string_view name) { return a.database < name; });
  return found != routes_.end() && found->database == database ? &*found
                                                               : nullptr;
}

const team_plan* fleet_config::find_team_by_key(std::string_view key) const {
  auto found = std::lower_bound(
      keys_.begin(), keys_.end(), key,
      [](const key_entry& a, std::string_view text) { return a.key < text; });
  return found != keys_.end() && found->key == key ? &teams_[found->team]
                                                   : nullptr;
}

const group_policy* fleet_config::find_group(const group_id& id) const {
  auto found = std::find_if(groups_.begin(), groups_.end(),
                            [&](const group_policy& g) { return g.id == id; });
  return found != groups_.end() ? &*found : nullptr;
}

}  // namespace toucanmux
