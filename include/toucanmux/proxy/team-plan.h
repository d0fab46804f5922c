#pragma once

#include <string>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/domain/region-id.h"

namespace toucanmux {

/// A team's limit over the whole fleet, and its API keys.
struct team_plan {
  team_id team;
  double rate = 0;   ///< Operations a second.
  double burst = 0;  ///< Operations above the rate at one moment.
  std::vector<std::string> keys;
  std::vector<region_id> allowed_regions = {};  ///< Empty allows all.
};

}  // namespace toucanmux
