#pragma once

#include <boost/core/noncopyable.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string_view>
#include <unordered_map>

#include "toucanmux/version/lists.h"

namespace toucanmux {

/// The limits of a team, from its own entry or else from its plan.
struct team_limits {
  double rate = 0;    ///< Statements per second over the whole fleet.
  double burst = 0;   ///< Statements.
  double weight = 1;  ///< Relative share of a busy database.
};

/// One version of the team and plan lists, indexed for lookups on every
/// request. Immutable, so any thread may read it.
class team_index : public boost::intrusive_ref_counter<team_index>,
                   private boost::noncopyable {
 public:
  team_index(team_list teams, plan_list plans);

  /// The team with this key hash (SHA-256, lower-case hex), or null.
  const team* find_by_key_hash(std::string_view key_hash) const;
  /// The team with this id, or null.
  const team* find(const team_id& id) const;
  /// The open route that allows `requested` without a key, or null.
  const open_route* find_open_route(const route& requested) const;

  /// True if the team's plan contains the route.
  bool may_use(const team& team_entry, const route& requested) const;
  /// The limits that apply to the team. With an unknown plan, rate and burst
  /// are 0.
  team_limits limits(const team& team_entry) const;

  const team_list& teams() const { return teams_; }
  const plan_list& plans() const { return plans_; }

 private:
  const plan* plan_of(const team& team_entry) const;

  team_list teams_;
  plan_list plans_;
  std::unordered_map<std::string_view, const team*> teams_by_key_;
  std::unordered_map<std::string_view, const team*> teams_by_id_;
  std::unordered_map<std::string_view, const plan*> plans_by_id_;
};

using team_index_ptr = boost::intrusive_ptr<const team_index>;

}  // namespace toucanmux
