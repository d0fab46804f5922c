#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/domain/region-id.h"

namespace toucanmux {

/// Which commits the reads of a route must see.
enum class route_kind : std::uint8_t {
  leader,   ///< Every acknowledged commit.
  bounded,  ///< Every commit acknowledged longer than `max_age` ago.
  session   ///< As `bounded`, and every commit of the same session.
};

/// How statements on one database name are served.
struct route {
  std::string database;  ///< The database name that callers connect to.
  group_id group;
  route_kind kind = route_kind::leader;
  duration statement_timeout{0};  ///< 0 selects a default of 5 s.
  unsigned priority = 0;          ///< 0 is served first.
  duration max_age{0};       ///< Allowed staleness of `bounded` and `session`.
  bool open_to_all = false;  ///< Callers need no key.
  std::vector<region_id> allowed_regions;  ///< Empty allows all.
};

}  // namespace toucanmux
