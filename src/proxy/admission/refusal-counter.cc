#include "proxy/admission/refusal-counter.h"

#include <algorithm>
#include <vector>

namespace toucanmux {

namespace {

constexpr std::array<std::string_view, 4> route_names{"leader", "bounded",
                                                      "session", "none"};
constexpr std::string_view other_teams = "other";

}  // namespace

refusal_counter::refusal_counter(prometheus::Registry& registry)
    : family_(prometheus::BuildCounter()
                  .Name("toucanmux_refusals_total")
                  .Help("Refused statements and sessions.")
                  .Register(registry)) {
  counters_.try_emplace(std::string(other_teams));
}

void refusal_counter::count(refusal_reason reason,
                            std::optional<route_kind> kind, const team_id& team,
                            const domain_id& domain,
                            const fleet_config& config) {
  select_teams(config);
  auto found = counters_.find(team.value);
  if (found == counters_.end()) found = counters_.find(other_teams);
  auto route_index =
      kind ? static_cast<std::size_t>(*kind) : route_names.size() - 1;
  auto reason_index = static_cast<std::size_t>(reason);
  auto& counter =
      found->second[reason_index * route_names.size() + route_index];
  if (!counter) {
    counter = &family_.Add({{"reason", std::string(label_of(reason))},
                            {"route", std::string(route_names[route_index])},
                            {"team", found->first},
                            {"domain", domain.value}});
  }
  counter->Increment();
}

// A team that has a label keeps it, so that the number of labels stays bounded
// when configurations change.
void refusal_counter::select_teams(const fleet_config& config) {
  auto version = std::pair(config.version(), config.digest());
  if (selected_for_ == version) return;
  selected_for_ = version;
  std::vector<const team_plan*> plans;
  for (const auto& plan : config.teams()) plans.push_back(&plan);
  std::stable_sort(plans.begin(), plans.end(),
                   [](auto* a, auto* b) { return a->rate > b->rate; });
  for (const team_plan* plan : plans) {
    if (counters_.size() > max_teams) return;
    counters_.try_emplace(plan->team.value);
  }
}

}  // namespace toucanmux
