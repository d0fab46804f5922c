#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "toucanmux/proxy/group-policy.h"
#include "toucanmux/proxy/route.h"
#include "toucanmux/proxy/team-plan.h"

namespace toucanmux {

/// One version of the operators' configuration; immutable.
class fleet_config {
 public:
  fleet_config() = default;
  fleet_config(std::uint64_t version, std::uint32_t digest,
               duration transaction_idle, std::vector<route> routes,
               std::vector<group_policy> groups, std::vector<team_plan> teams);

  /// The version number that the operators gave; 0 before the first
  /// configuration.
  std::uint64_t version() const { return version_; }
  /// A hash of the content. With the version it identifies a configuration,
  /// which a revision of the store does not: a restored store gives revisions
  /// out again.
  std::uint32_t digest() const { return digest_; }
  /// How long a transaction may be idle between two statements.
  duration transaction_idle() const { return transaction_idle_; }

  /// The route for a database name, or null.
  const route* find_route(std::string_view database) const;
  /// The team that owns an API key, or null.
  const team_plan* find_team_by_key(std::string_view key) const;
  const group_policy* find_group(const group_id& id) const;
  const std::vector<group_policy>& groups() const { return groups_; }
  const std::vector<team_plan>& teams() const { return teams_; }

 private:
  struct key_entry {
    std::string key;
    std::size_t team;
  };

  std::uint64_t version_ = 0;
  std::uint32_t digest_ = 0;
  duration transaction_idle_{0};
  std::vector<route> routes_;  ///< Sorted by database name.
  std::vector<group_policy> groups_;
  std::vector<team_plan> teams_;
  std::vector<key_entry> keys_;  ///< Sorted by key.
};

}  // namespace toucanmux
