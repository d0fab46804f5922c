#pragma once

#include <map>
#include <string>

#include "toucanmux/core.h"
#include "toucanmux/process/group-messages.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// The reason for a promotion round.
enum class promotion_cause : std::uint8_t {
  suspicion,
  unfinished,  ///< An owned database is still fenced by an earlier round.
  planned
};

/// The phases of a promotion round, in order.
enum class round_phase : std::uint8_t {
  draining,  ///< Writes stop before a planned hand-over.
  reading,   ///< The group object is read from the platform.
  fencing,   ///< Owners fence their databases.
  writing    ///< The choice is written to the platform.
};

/// One promoter's attempt to record a primary for a new term: the databases
/// fenced so far and the primary chosen.
class promotion_round {
 public:
  promotion_round(promotion_cause reason, instant now)
      : cause(reason),
        phase_started_at(now),
        forced(reason != promotion_cause::suspicion) {}

  /// Raises the round's term and drops the fences of the lower term. Does
  /// nothing if `new_term` is not higher.
  void raise_term(std::uint64_t new_term);

  /// Records that a database is fenced at this round's term, with the end of
  /// its log.
  void add_fence(const database_id& id, const log_position& received) {
    fences_[id] = received;
  }
  bool is_fenced(const database_id& id) const { return fences_.contains(id); }
  bool has_fences() const { return !fences_.empty(); }

  /// Records that the current primary answers. The primary has every
  /// acknowledged write, so it may be chosen again without a quorum of fences.
  void set_reachable_primary(const database_id& id) { reachable_primary_ = id; }
  bool primary_reachable() const { return !reachable_primary_.empty(); }

  /// True if all databases of the group but one are fenced. An acknowledged
  /// write is on the primary and on one replica at least, so a fenced database
  /// has it.
  bool has_quorum(const database_group& group) const;

  /// Clears the choice and the reachable primary. Called when the group object
  /// has been read again.
  void reset_choice();

  /// Chooses the fenced database with the furthest log. Of equal ones, chooses
  /// `target`, else the first in the group's order.
  void choose_furthest(const database_group& group);
  /// Chooses the current primary again, so that its replicas resume.
  void choose_current_primary() { chosen_ = reachable_primary_; }
  const database_id& chosen() const { return chosen_; }

  promotion_cause cause;
  round_phase phase = round_phase::reading;
  std::uint64_t term = 0;
  std::string nonce;
  database_id target;  ///< Preferred if its log is as far as any other.
  instant phase_started_at;
  instant retry_at{};  ///< When the phase repeats its requests.
  bool forced;         ///< Continue even if the primary is healthy.

 private:
  std::map<database_id, log_position> fences_;
  database_id chosen_;
  database_id reachable_primary_;
};

}  // namespace toucanmux
