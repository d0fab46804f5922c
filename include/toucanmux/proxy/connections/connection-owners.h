#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/connections/connection-share.h"

namespace toucanmux {

/// A live instance that may own connections to databases.
struct owner_candidate {
  member_id id;
  domain_id domain;
  std::uint32_t capacity = 0;  ///< CPU capacity in thousandths of a core.

  bool operator==(const owner_candidate&) const = default;
};

/// The instances that hold the connections to one database for the whole fleet.
///
/// The result depends only on the set of candidates. An instance that joins or
/// leaves moves only the teams that it owns.
class connection_owners {
 public:
  connection_owners() = default;
  /// Selects the owners among the candidates of the database's failure domain,
  /// with a probability that grows with their capacity.
  /// @param max_connections the database's connection limit.
  connection_owners(const database_id& database, const domain_id& domain,
                    unsigned max_connections,
                    std::span<const owner_candidate> candidates);

  bool empty() const { return owners_.empty(); }
  std::size_t size() const { return owners_.size(); }
  bool contains(const member_id& id) const;
  /// The owner that runs the team's statements; null if there are no owners.
  const member_id* owner_of(const team_id& team) const;
  /// The quota of an instance at the database; there must be owners.
  /// @param instances the number of live instances of the fleet.
  connection_allowance allowance(const member_id& self,
                                 std::size_t instances) const;

 private:
  struct owner {
    member_id id;
    std::uint64_t hash = 0;
  };

  unsigned owner_quota() const;

  std::uint64_t database_hash_ = 0;
  unsigned max_connections_ = 0;
  std::vector<owner> owners_;
};

}  // namespace toucanmux
