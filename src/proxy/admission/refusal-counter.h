#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "toucanmux/core.h"
#include "toucanmux/proxy/admission/refusal-reason.h"
#include "toucanmux/proxy/fleet-config.h"

namespace toucanmux {

/// Counts refused statements in `toucanmux_refusals_total` by reason, kind of
/// route, team and failure domain of this instance. The teams with the highest
/// rates have a label of their own; the others are counted as `other`.
class refusal_counter {
 public:
  static constexpr std::size_t max_teams = 20;

  explicit refusal_counter(prometheus::Registry& registry);

  /// @param kind of the route; nothing before the route is known.
  void count(refusal_reason reason, std::optional<route_kind> kind,
             const team_id& team, const domain_id& domain,
             const fleet_config& config);

 private:
  static constexpr std::size_t route_labels = 4;
  using team_counters =
      std::array<prometheus::Counter*, refusal_reason_count * route_labels>;

  void select_teams(const fleet_config& config);

  prometheus::Family<prometheus::Counter>& family_;
  /// By team; `other` is always present.
  std::map<std::string, team_counters, std::less<>> counters_;
  /// Version and digest of the configuration of `counters_`.
  std::optional<std::pair<std::uint64_t, std::uint32_t>> selected_for_;
};

}  // namespace toucanmux
