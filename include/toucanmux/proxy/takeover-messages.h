#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/lead-record.h"

namespace toucanmux {

/// A group needs another leader.
struct takeover_start {
  group_id group;
  database_id leader;       ///< The one to replace.
  bool planned = false;     ///< The leader still answers.
  bool suspected = false;   ///< It may still turn out to live.
  bool leaderless = false;  ///< Nobody leads as far as is known.
  std::uint64_t term = 0;   ///< Of the leader, as far as known.
  unsigned sync_replicas = 0;
  std::vector<database_id> candidates;
  std::size_t replica_count = 0;       ///< All replicas, candidates or not.
  std::vector<member_id> heard_peers;  ///< Instances that were heard just now.
  /// The group's record as this instance knows it, 0 for none, and since when.
  std::uint64_t known_revision = 0;
  instant known_since;
};

/// The leader that was suspected has failed.
struct failure_confirmed {};

/// The leader answers again.
struct suspicion_withdrawn {};

/// All instances have heard that the leases are revoked.
struct leases_released {};

/// The duty's object was read from the store.
struct duty_read {
  bool store_reached = false;
  bool exists = false;
  std::uint64_t token = 0;
  member_id holder;
  database_id replaces;
  std::uint64_t revision = 0;
  leadership_phase phase = leadership_phase::settled;
  database_id leader;
  database_id
      pending_promotion;  ///< An order for it may be open; empty for none.
};

enum class duty_write_outcome : std::uint8_t { written, conflict, unknown };

/// The conditional write of the duty's object has ended.
struct duty_written {
  duty_write_outcome outcome = duty_write_outcome::unknown;
  std::uint64_t revision = 0;  ///< Of the object, if it was taken.
};

/// A database said where its log ends.
struct position_reply {
  database_id database;
  bool answered = false;
  bool leads = false;
  std::uint64_t term = 0;
  log_position received;
};

enum class promotion_outcome : std::uint8_t {
  accepted,
  refused,  ///< The token is old, or the database does not run.
  unknown
};

/// The order that names the leader has ended.
struct promotion_ended {
  promotion_outcome outcome = promotion_outcome::unknown;
};

struct takeover_tick {};

using takeover_event =
    std::variant<takeover_start, failure_confirmed, suspicion_withdrawn,
                 leases_released, duty_read, duty_written, position_reply,
                 promotion_ended, takeover_tick>;

struct read_duty {
  group_id group;
};

/// Write the duty's object, if it is still as it was read.
struct write_duty {
  group_id group;
  std::uint64_t token = 0;
  member_id holder;
  database_id replaces;
  std::uint64_t revision = 0;  ///< 0 creates the object.
  leadership_phase phase = leadership_phase::revoked;
  database_id leader;
  database_id
      pending_promotion;  ///< An order for it may be open; empty for none.
};

/// Ask a database where its log ends.
struct query_position {
  database_id database;
};

/// Ask, and stop it from receiving below `term`.
struct fence_replica {
  database_id database;
  std::uint64_t term = 0;
};

/// Ask, and take the lead from it below `term`.
struct step_down {
  database_id database;
  std::uint64_t term = 0;
};

struct request_promotion {
  group_id group;
  database_id database;
  member_id holder;
  std::uint64_t token = 0;
};

enum class takeover_outcome : std::uint8_t {
  named,
  yielded,       ///< Another instance is at it.
  no_duty,       ///< The store gave no token.
  no_candidate,  ///< Too few databases answered.
  not_named,     ///< The order was refused or left without an answer.
  given_back     ///< The old leader leads on.
};

struct takeover_ended {
  takeover_outcome outcome = takeover_outcome::named;
};

using takeover_action =
    std::variant<read_duty, write_duty, query_position, fence_replica,
                 step_down, request_promotion, takeover_ended>;

}  // namespace toucanmux
