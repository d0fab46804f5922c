#pragma once

#include <map>
#include <string>

#include "toucanmux/core.h"
#include "toucanmux/process/group-messages.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// Why a promotion was started.
enum class promotion_cause : std::uint8_t {
  suspicion,
  unfinished,  ///< A database stays fenced by an earlier round.
  planned
};

/// Where a round stands.
enum class round_phase : std::uint8_t { draining, reading, fencing, writing };

/// One promoter's attempt at one term: the databases that it has fenced and
/// whom it chose.
class promotion_round {
 public:
  promotion_round(promotion_cause reason, instant now)
      : cause(reason),
        phase_started_at(now),
        forced(reason != promotion_cause::suspicion) {}

  /// Starts anew at a higher term; fences of a lower one count no more.
  void raise_term(std::uint64_t new_term);

  /// Notes a database that is fenced at this round's term.
  void add_fence(const database_id& id, const log_position& received) {
    fences_[id] = received;
  }
  bool is_fenced(const database_id& id) const { return fences_.contains(id); }
  bool has_fences() const { return !fences_.empty(); }

  /// Notes that the primary in office answers. It has every write that was
  /// acknowledged, so that it may be chosen again without any fence.
  void set_reachable_primary(const database_id& id) { reachable_primary_ = id; }
  bool primary_reachable() const { return !reachable_primary_.empty(); }

  /// True if all databases of the group but one are fenced. A write that was
  /// acknowledged is on the primary and a replica, so on one of them.
  bool has_quorum(const database_group& group) const;

  /// Forgets what only held for the object as it was last read.
  void reset_choice();

  /// Chooses the fenced database whose log is the furthest; of equals
  /// `target`, then the first of the group.
  void choose_furthest(const database_group& group);
  /// Chooses the primary in office again, so that its replicas go on.
  void choose_current_primary() { chosen_ = reachable_primary_; }
  const database_id& chosen() const { return chosen_; }

  promotion_cause cause;
  round_phase phase = round_phase::reading;
  std::uint64_t term = 0;
  std::string nonce;
  database_id target;        ///< Preferred, if it is as far as any other.
  instant phase_started_at;  ///< When the phase began.
  instant retry_at{};        ///< When the phase sends again.
  bool forced;               ///< A healthy primary is no reason to stop.

 private:
  std::map<database_id, log_position> fences_;
  database_id chosen_;
  database_id reachable_primary_;
};

}  // namespace toucanmux
