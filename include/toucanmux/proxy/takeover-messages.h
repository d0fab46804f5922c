#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/leader-record.h"

namespace toucanmux {

/// Starts the replacement of a group's leader. Ignored while one is running.
struct takeover_start {
  group_id group;
  database_id leader;       ///< The leader to replace.
  bool planned = false;     ///< The leader still answers and can step down.
  bool suspected = false;   ///< The failure is not confirmed yet.
  bool leaderless = false;  ///< No database is known to lead.
  std::uint64_t term = 0;   ///< The leader's last known term.
  unsigned sync_replicas = 0;
  std::vector<database_id> candidates;
  std::size_t replica_count = 0;  ///< All replicas, candidates or not.
  std::vector<member_id> responsive_peers;  ///< Instances heard from recently.
  /// The store's generation, in which all of the takeover takes place.
  std::uint64_t generation = 0;
  /// Revision of the group's leader record that this instance knows, 0 for
  /// none, and when it learned that record.
  std::uint64_t known_revision = 0;
  instant known_since;
};

/// The store was restored from an older copy, so what the takeover has written
/// may be lost.
struct store_restored {};

/// The failure of the suspected leader is confirmed.
struct failure_confirmed {};

/// The suspected leader answers again.
struct suspicion_withdrawn {};

/// All instances know of the revocation, so none uses the old leader any more.
struct leases_released {};

/// The result of `read_duty`. The duty object in the store holds the fencing
/// token and the state of the group's replacement.
struct duty_read {
  bool store_reached = false;  ///< If false, all other fields are empty.
  bool exists = false;
  /// The duty is part of the generation's base; the group has no object yet.
  bool inherited = false;
  std::uint64_t token = 0;
  member_id holder;
  database_id replaces;
  std::uint64_t revision = 0;
  leadership_phase phase = leadership_phase::settled;
  database_id leader;
  /// The database whose promotion may still take effect; empty for none.
  database_id pending_promotion;
};

enum class duty_write_outcome : std::uint8_t { written, conflict, unknown };

/// The result of `write_duty`.
struct duty_written {
  duty_write_outcome outcome = duty_write_outcome::unknown;
  std::uint64_t revision = 0;  ///< Of the object, if it was written.
};

/// The result of `query_position`, `fence_replica` or `step_down`.
struct position_received {
  database_id database;
  bool answered = false;
  bool leads = false;
  std::uint64_t term = 0;
  log_position received;  ///< The end of the database's log.
};

enum class promotion_outcome : std::uint8_t {
  accepted,
  refused,  ///< The token is stale or the database is down.
  unknown
};

/// The result of `request_promotion`.
struct promotion_ended {
  promotion_outcome outcome = promotion_outcome::unknown;
};

/// Checks the timeouts; sent several times a second while a takeover runs.
struct takeover_tick {};

using takeover_event =
    std::variant<takeover_start, store_restored, failure_confirmed,
                 suspicion_withdrawn, leases_released, duty_read, duty_written,
                 position_received, promotion_ended, takeover_tick>;

struct read_duty {
  group_id group;
};

/// Write the duty object on condition that it still has `revision`.
struct write_duty {
  group_id group;
  std::uint64_t token = 0;
  member_id holder;
  database_id replaces;
  std::uint64_t revision = 0;  ///< 0 creates the object.
  leadership_phase phase = leadership_phase::revoked;
  database_id leader;
  /// The database whose promotion may still take effect; empty for none.
  database_id pending_promotion;
};

/// Query whether the database leads, its term and where its log ends.
struct query_position {
  database_id database;
};

/// Query the position, and make the database refuse replication from leaders
/// with a lower term than `term`.
struct fence_replica {
  database_id database;
  std::uint64_t term = 0;
};

/// Query the position, and demote the database if its term is lower than
/// `term`.
struct step_down {
  database_id database;
  std::uint64_t term = 0;
};

/// Ask the failover service to promote a database under the fencing token.
struct request_promotion {
  group_id group;
  database_id database;
  member_id holder;
  std::uint64_t token = 0;
};

enum class takeover_outcome : std::uint8_t {
  named,         ///< The promotion was accepted.
  yielded,       ///< Another instance replaces the leader.
  no_duty,       ///< No fencing token: the store did not answer.
  no_candidate,  ///< Too few replicas answered.
  not_named,     ///< The promotion was refused, late or unanswered.
  given_back     ///< Abandoned; any revocation was undone.
};

/// The takeover has ended; the object is ready for another start.
struct takeover_ended {
  takeover_outcome outcome = takeover_outcome::named;
};

using takeover_action =
    std::variant<read_duty, write_duty, query_position, fence_replica,
                 step_down, request_promotion, takeover_ended>;

}  // namespace toucanmux
