#pragma once

#include <boost/core/noncopyable.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <string_view>
#include <unordered_map>

#include "toucanmux/version/lists.h"

namespace toucanmux {

/// What a team may take, from its own entry or else from its plan's.
struct team_limits {
  double rate = 0;    ///< Statements a second over the whole fleet.
  double burst = 0;   ///< Statements.
  double weight = 1;  ///< Share of a busy database against other teams.
};

/// One version of the two lists, made for a lookup at every request. It does
/// not change, so any thread may read it.
class team_index : public boost::intrusive_ref_counter<team_index>,
                   private boost::noncopyable {
 public:
  team_index(team_list teams, plan_list plans);

  /// The team whose key has this hash (lower-case hex), or null.
  const team* find_by_key_hash(std::string_view key_hash) const;
  /// The team of this name, or null.
  const team* find(const team_id& id) const;
  /// The open route that lets anybody in, or null.
  const open_route* find_open_route(const route& wanted) const;

  /// True if the team's plan has the route.
  bool may_use(const team& who, const route& wanted) const;
  /// The limits in force; all zero if the team's plan is unknown.
  team_limits limits(const team& who) const;

  const team_list& teams() const { return teams_; }
  const plan_list& plans() const { return plans_; }

 private:
  const plan* plan_of(const team& who) const;

  team_list teams_;
  plan_list plans_;
  std::unordered_map<std::string_view, const team*> by_key_;
  std::unordered_map<std::string_view, const team*> by_id_;
  std::unordered_map<std::string_view, const plan*> plans_by_id_;
};

using team_index_ptr = boost::intrusive_ptr<const team_index>;

}  // namespace toucanmux
