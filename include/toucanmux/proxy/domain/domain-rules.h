#pragma once

#include <vector>

#include "toucanmux/proxy/domain/drained-domains.h"
#include "toucanmux/proxy/domain/region-map.h"

namespace toucanmux {

/// What all groups of a process share to decide on the availability of their
/// databases.
struct domain_rules {
  drained_domains drained;
  region_map regions;
  /// Multiplies a group's rate for cold databases.
  double warm_up_excess = 0;
  /// Statements a second in addition to that.
  double warm_up_margin = 0;
  /// All known instances, alive or not; only kept during warm-ups.
  std::vector<member_id> known_members;
  /// See `warm_up_fleet::size`.
  std::size_t fleet_size = 0;
};

}  // namespace toucanmux
