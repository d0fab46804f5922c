#pragma once

#include <cstdint>

#include "toucanmux/core.h"

namespace toucanmux {

class allowed_regions;
class drained_domains;
class region_map;
class warm_up;
struct upstream_entry;

/// Whether a new statement may go to a database now, as far as failure domains,
/// regions and warm-up are concerned.
enum class availability : std::uint8_t {
  available,
  budget_spent,    ///< The database is cold; again within about a second.
  not_assigned,    ///< The database is cold; other instances use it.
  drained,         ///< Its failure domain is drained.
  outside_regions  ///< Its region is not allowed.
};

/// What the availability of a database depends on.
struct availability_inputs {
  const upstream_entry& entry;
  const drained_domains& drained;
  const region_map& regions;
  const warm_up& budget;
  const allowed_regions* allowed = nullptr;  ///< Null allows all.
};

availability assess_availability(instant now,
                                 const availability_inputs& inputs);

}  // namespace toucanmux
