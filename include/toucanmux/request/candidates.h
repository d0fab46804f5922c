#pragma once

#include <span>
#include <vector>

#include "toucanmux/connection/link-message.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// Statistics of a replica's answers to reads whose required position no group
/// hint had shown at the replica.
struct replica_read_stats {
  database_id database;
  double fresh_share = 1;        ///< Moving average; 0 to 1.
  instant last_stale_answer_at;  ///< Latest answer that was too old.

  /// Whether to send a read although no hint shows its position there: the
  /// replica's recent answers were mostly fresh, or the next probe is due.
  bool trusted(instant now) const;
};

/// The latest hint that an entry has received for a group, with the positions
/// of later answers.
struct known_hint {
  group_hint hint;
  instant received_at;
  std::vector<replica_read_stats> replica_stats;
};

/// Replaces the known hint by `update`, unless that is of an older term. Within
/// a term, a later position that an answer has shown is kept.
void merge_hint(known_hint& known, const group_hint& update, instant now);

/// Records the position that an answer from `database` carried, if it is later
/// than the known one.
void observe_position(known_hint& known, const database_id& database,
                      const log_position& position);

/// Records whether a replica's answer to a read was fresh. Ignored if the hint
/// already shows `required` at the replica.
/// @param fresh false if the answer was too old.
void observe_read(known_hint& known, const database_id& replica,
                  const log_position& required, bool fresh, instant now);

/// A database that a request may be sent to.
struct candidate {
  database_id database;
  bool primary = false;
  bool own_domain = false;
  /// Estimated time until a replica is fresh enough; `duration::max()` if
  /// waiting won't help.
  duration wait{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(primary), CEREAL_NVP(own_domain),
            CEREAL_NVP(wait));
  }
};

/// How recent the data must be that a read returns.
struct freshness {
  log_position required;  ///< The position that the data must cover.
  duration max_age{-1};   ///< Negative if any age is allowed.
};

/// The databases of a group that may serve a request, best first: replicas of
/// the own failure domain, replicas of other domains, the primary. Databases
/// that are leaving the fleet or are unusable are excluded. A replica without a
/// hint is assumed to be fresh, as the position of its answer is checked
/// anyway.
std::vector<candidate> rank_candidates(const known_hint& known,
                                       std::span<const database> databases,
                                       const domain_id& own_domain,
                                       const freshness& requirement,
                                       instant now);

}  // namespace toucanmux
