#pragma once

#include <span>
#include <string_view>

#include "toucanmux/core.h"

namespace toucanmux {

/// Returns how many connections instance `self` may hold to one database.
/// Instances that see the same members together stay below `max_connections`.
/// The remainder of the division goes to the instances that rank first by
/// rendezvous hash of the database, so it is spread differently for each one.
unsigned connection_share(const member_id& self,
                          std::span<const member_id> members,
                          std::string_view upstream, unsigned max_connections);

/// The connections of a database's limit that instances may plan with.
unsigned usable_connections(unsigned max_connections);

/// The most connections that a borrowing instance may open to one database.
unsigned borrowed_limit(unsigned max_connections);

/// The least connections that each of `members` instances may hold to one
/// database.
unsigned connection_quotient(unsigned members, unsigned max_connections);

/// The connection quota of an instance at one database.
struct connection_allowance {
  unsigned share = 0;    ///< This instance's part of the database's limit.
  unsigned limit = 0;    ///< Maximum of open connections, with borrowed ones.
  bool borrows = false;  ///< The instance may briefly exceed its share.
};

/// Computes the quota of instance `self` at one database. Where the database's
/// limit leaves less than two connections for each instance, instances borrow:
/// each one opens the connections that it needs and closes them soon after use,
/// so that few instances hold a connection at the same time.
connection_allowance compute_allowance(const member_id& self,
                                       std::span<const member_id> members,
                                       std::string_view upstream,
                                       unsigned max_connections);

}  // namespace toucanmux
