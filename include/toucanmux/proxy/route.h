#pragma once

#include <cstdint>
#include <string>

#include "toucanmux/core.h"

namespace toucanmux {

/// What the reads of a route must see.
enum class route_kind : std::uint8_t {
  leader,   ///< Every acknowledged commit.
  bounded,  ///< Every commit acknowledged longer than `max_age` ago.
  session   ///< As `bounded`, and every commit of the same session.
};

/// How statements on one database name are served.
struct route {
  std::string database;  ///< The name that callers connect to.
  group_id group;
  route_kind kind = route_kind::leader;
  duration statement_timeout{0};
  duration latency_goal{0};  ///< For a whole operation, pauses left out.
  unsigned priority = 0;     ///< 0 goes first.
  duration max_age{0};
  bool open_to_all = false;
};

}  // namespace toucanmux
