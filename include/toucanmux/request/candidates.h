#pragma once

#include <span>
#include <vector>

#include "toucanmux/connection/link-message.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// How a replica's answers turned out that no hint had vouched for.
struct replica_read_stats {
  database_id database;
  double fresh_share = 1;  ///< Of late; 0 to 1.
  instant last_lagging_at;

  /// Whether it is worth asking without a hint that vouches for it.
  bool trusted(instant now) const;
};

/// What an entry was last told of a group, and when.
struct known_hint {
  group_hint hint;
  instant received_at;
  std::vector<replica_read_stats> replica_stats;
};

/// Takes what a pool says unless it is of an older term. Positions that were
/// seen in answers meanwhile stay.
void merge_hint(known_hint& known, const group_hint& update, instant now);

/// Takes the position that an answer from `database` carried.
void observe_position(known_hint& known, const database_id& database,
                      const log_position& position);

/// Takes how a replica's answer to a read turned out.
/// @param fresh false if it fell short of `required`.
void observe_read(known_hint& known, const database_id& replica,
                  const log_position& required, bool fresh, instant now);

/// A database that a request may be sent to.
struct candidate {
  database_id database;
  bool primary = false;
  bool own_domain = false;
  duration wait{0};  ///< Until a replica is believed to be fresh enough.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(primary), CEREAL_NVP(own_domain),
            CEREAL_NVP(wait));
  }
};

/// What a read asks of the data that it is answered with.
struct freshness {
  log_position required;  ///< Must be covered.
  duration max_age{-1};   ///< Negative is any.
};

/// The databases of a group that may serve a request, best first: replicas of
/// the own failure domain, replicas elsewhere, the primary. Databases that
/// leave or can't be used are not among them. A replica of which nothing is
/// known is believed to be fresh, since its answer is checked.
std::vector<candidate> rank_candidates(const known_hint& known,
                                       std::span<const database> databases,
                                       const domain_id& own_domain,
                                       const freshness& requirement,
                                       instant now);

}  // namespace toucanmux
