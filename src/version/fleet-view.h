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

/// What a process knows of the fleet at one moment. It does not change: the
/// control thread makes a new one and hands it to the traffic threads.
class fleet_view : public boost::intrusive_ref_counter<fleet_view> {
 public:
  domain_id domain;  ///< The process's own.
  team_index_ptr teams;
  std::map<group_id, database_group> groups;
  std::vector<member> pools;  ///< Those that may own databases.

  /// The group of a service that holds a shard; null if there is no such
  /// service. An empty shard is good only for a service of one group.
  const database_group* find_group(const service_id& service,
                                   std::string_view shard) const;
  /// The database of that name in a group; null if there is none.
  static const database* find_database(const database_group& group,
                                       const database_id& id);
  /// Finds the owner of every database; call it once all else is set.
  void choose_owners();
  /// The pool that owns a database; null if its domain has none.
  const member* owner(const database& what) const;
  /// The pool that would own it if its owner were not there.
  const member* next_owner(const database& what) const;
  /// True if every database has an owner.
  bool all_owned() const;
  /// True if an entry can serve callers from this view.
  bool ready() const { return teams != nullptr && !groups.empty(); }

 private:
  /// An owner and the one that takes over from it.
  static constexpr std::size_t ranked_owner_count = 2;

  const member* owner_by_rank(const database& what, std::size_t rank) const;

  std::unordered_map<std::string_view, std::vector<const member*>> owners_;
};

using fleet_view_ptr = boost::intrusive_ptr<const fleet_view>;

}  // namespace toucanmux
