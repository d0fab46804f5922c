#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "process/control-bus.h"
#include "toucanmux/process/member.h"
#include "toucanmux/version/team-index.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// An immutable snapshot of the fleet as one process sees it. The control
/// thread builds each new view and passes it to the traffic threads.
class fleet_view : public boost::intrusive_ref_counter<fleet_view> {
 public:
  domain_id domain;  ///< This process's failure domain.
  team_index_ptr teams;
  std::map<group_id, database_group> groups;
  std::vector<member> pools;  ///< The pools that may own databases.

  /// The group that holds a shard of a service; null if there is no such
  /// service. An empty shard is valid only for a service with one group;
  /// otherwise the result is null.
  const database_group* find_group(const service_id& service,
                                   std::string_view shard) const;
  /// The database of a group with this id, or null.
  static const database* find_database(const database_group& group,
                                       const database_id& id);
  /// Computes the owners of every database. Call it once, after all data
  /// members are set.
  void choose_owners();
  /// The pool that owns a database; null if its domain has no pool.
  const member* owner(const database& target) const;
  /// The pool that takes over the database if its owner fails, or null.
  const member* next_owner(const database& target) const;
  /// True if every database has an owner.
  bool all_owned() const;
  /// True if the view suffices for an entry to serve callers.
  bool ready() const { return teams != nullptr && !groups.empty(); }

 private:
  /// The owner of a database and the next owner.
  static constexpr std::size_t ranked_owner_count = 2;

  const member* owner_by_rank(const database& target, std::size_t rank) const;

  std::unordered_map<std::string_view, std::vector<const member*>> owners_;
};

using fleet_view_ptr = boost::intrusive_ptr<const fleet_view>;

}  // namespace toucanmux
