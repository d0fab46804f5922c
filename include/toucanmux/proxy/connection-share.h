#pragma once

#include <span>
#include <string_view>

#include "toucanmux/core.h"

namespace toucanmux {

/// How many connections this instance may hold to one database. Instances that
/// see the same members hold no more than `max_connections` together; the
/// remainder goes to the first ones by hash, other ones for each database.
unsigned connection_share(const member_id& self,
                          std::span<const member_id> members,
                          std::string_view upstream, unsigned max_connections);

/// How many connections an instance may hold to one database.
struct connection_allowance {
  unsigned share = 0;  ///< Its own part of the limit.
  unsigned limit = 0;  ///< With those that it may borrow for a moment.
  bool borrows = false;
};

/// Where the limit leaves instances less than two connections each, statements
/// borrow: any instance opens what it needs, and gives it back soon. Then few
/// of them hold a connection at the same time.
connection_allowance compute_allowance(const member_id& self,
                                       std::span<const member_id> members,
                                       std::string_view upstream,
                                       unsigned max_connections);

}  // namespace toucanmux
