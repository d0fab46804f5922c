#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/placement/ejection-policy.h"
#include "toucanmux/proxy/placement/load-view.h"
#include "toucanmux/proxy/placement/shed-control.h"
#include "toucanmux/proxy/placement/upstream-choice.h"

namespace toucanmux {

/// What is known of the load of one group's databases, and what follows from it
/// for the choice among them.
class group_placement {
 public:
  struct database_state {
    bool usable = false;
    database_load own;  ///< What this instance does there.
  };
  struct known_database {
    bool usable = false;
    double peers_in_flight = 0;
    double own_in_flight = 0;
    double load_ratio = 1;  ///< Its load divided by the mean of the group.
    double read_share = 1;  ///< See `upstream_candidate`.
    double failure_rate = 0;
    duration latency{0};  ///< 0 if unknown.
    duration age{0};
    std::uint32_t database = 0;
  };

  /// Called a few times a second.
  /// @param group in the order of the candidates' indexes.
  /// @return the ejections that begin or end.
  std::vector<ejection_policy::event> update(
      instant now, const load_view& view,
      std::span<const database_state> group);
  /// Chooses by the fleet's load if it is known, otherwise as
  /// `choose_upstream`. Sets the candidates' fields of the fleet's load.
  std::optional<std::size_t> choose(instant now,
                                    std::span<upstream_candidate> candidates,
                                    const upstream_requirements& requirements,
                                    std::uint64_t seed) const;
  /// Forgets everything; choices are made as by `choose_upstream`.
  void clear();

  std::span<const known_database> databases() const { return databases_; }
  std::size_t ejected(instant now) const { return ejections_.ejected(now); }

 private:
  void describe(instant now, upstream_candidate& candidate) const;

  std::vector<known_database> databases_;
  bool known_ = false;
  duration age_{0};
  instant updated_at_;
  shed_control sheds_;
  ejection_policy ejections_;
};

}  // namespace toucanmux
