#pragma once

#include <cereal/types/vector.hpp>
#include <string_view>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/process/failure-detector.h"
#include "toucanmux/process/group-messages.h"

/// Events and actions of a `promoter`.
///
/// Commands change the control state of a database. The runtime runs the
/// commands of a database one at a time, each as one conditional change under
/// the database's advisory lock. A session that holds the lock longer than a
/// command may take is terminated by the next command. `done` is false if the
/// condition of a command did not hold.
namespace toucanmux {

/// The pool that owns a database.
struct database_owner {
  database_id database;
  member_id member;  ///< Empty if its failure domain has no live pool.

  bool operator==(const database_owner&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(member));
  }
};

/// An event: the ownership of the group's databases has changed. Lists all
/// databases.
struct owners_changed {
  static constexpr std::string_view name = "owners_changed";
  std::vector<database_owner> owners;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(owners));
  }
};

/// An action: read an owned database's status.
struct poll_database {
  static constexpr std::string_view name = "poll_database";
  database_id database;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database));
  }
};

/// An event: a `poll_database` has ended. Exactly one follows each action.
struct database_polled {
  static constexpr std::string_view name = "database_polled";
  database_id database;
  bool reached = false;
  database_status status;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(reached), CEREAL_NVP(status));
  }
};

/// An action: stop the receiver of a replica. Applies if the control term of
/// the database is lower than `term`, or equal and the database is fenced
/// already. On a running primary only the control term is raised.
struct fence_database {
  static constexpr std::string_view name = "fence_database";
  database_id database;
  std::uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(term));
  }
};

/// An action: promote a replica that is fenced at exactly `term`. A database
/// that already runs as primary stays primary if its control term is `term` or
/// 0.
struct promote_database {
  static constexpr std::string_view name = "promote_database";
  database_id database;
  std::uint64_t term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(term));
  }
};

/// An action: replicate from `primary`. Applies unless the control term of the
/// database is higher than `term`. A former primary discards the log entries
/// that the new primary lacks.
struct follow_database {
  static constexpr std::string_view name = "follow_database";
  database_id database;
  std::uint64_t term = 0;
  database_id primary;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(term), CEREAL_NVP(primary));
  }
};

enum class control_command : std::uint8_t { fence, promote, follow };

/// An event: a command has ended. Exactly one follows each command.
struct command_ended {
  static constexpr std::string_view name = "command_ended";
  control_command command = control_command::fence;
  database_id database;
  std::uint64_t term = 0;
  bool reached = false;
  bool done = false;
  database_status status;  ///< Status after the command.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(command), CEREAL_NVP(database), CEREAL_NVP(term),
            CEREAL_NVP(reached), CEREAL_NVP(done), CEREAL_NVP(status));
  }
};

/// An event: a peer's report has arrived.
struct report_received {
  static constexpr std::string_view name = "report_received";
  member_id from;
  group_report report;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(report));
  }
};

/// An event: a peer asks to fence a database of this pool.
struct fence_requested {
  static constexpr std::string_view name = "fence_requested";
  member_id from;
  fence_request request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(request));
  }
};

/// An event: a peer has answered a fence request.
struct fence_answered {
  static constexpr std::string_view name = "fence_answered";
  member_id from;
  fence_reply reply;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(reply));
  }
};

/// An event: an operator requests a planned hand-over to another primary.
struct hand_over {
  static constexpr std::string_view name = "hand_over";
  database_id target;  ///< Chosen if no other fenced log reaches further.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(target));
  }
};

/// An action: send a report to a peer.
struct send_report {
  static constexpr std::string_view name = "send_report";
  member_id to;
  group_report report;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(to), CEREAL_NVP(report));
  }
};

/// An action: ask a peer to fence a database that the peer owns.
struct send_fence_request {
  static constexpr std::string_view name = "send_fence_request";
  member_id to;
  fence_request request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(to), CEREAL_NVP(request));
  }
};

/// An action: answer a peer's fence request.
struct send_fence_reply {
  static constexpr std::string_view name = "send_fence_reply";
  member_id to;
  fence_reply reply;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(to), CEREAL_NVP(reply));
  }
};

/// Whether writes may be sent to the primary, and if not, the reason.
enum class write_state : std::uint8_t {
  unknown,     ///< The group has not been read yet.
  open,        ///< The primary recently confirmed a heartbeat of this term.
  resuming,    ///< The primary has not confirmed a heartbeat in this term.
  suspected,   ///< The primary is not known to answer.
  promoting,   ///< A promotion round is in progress.
  no_platform  ///< A promotion round waits for the platform.
};

/// An action, and an event of the write gate: the state of the group.
struct group_view {
  static constexpr std::string_view name = "group_view";
  group_id group;
  std::uint64_t term = 0;
  database_id primary;
  write_state state = write_state::unknown;
  duration retry_after{0};  ///< Expected time until writes resume.

  bool operator==(const group_view&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(term), CEREAL_NVP(primary),
            CEREAL_NVP(state), CEREAL_NVP(retry_after));
  }
};

}  // namespace toucanmux
