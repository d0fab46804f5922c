#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

#include "toucanmux/core.h"

/// The messages between an entry and a pool. An entry sends a `statement`, and
/// the pool replies once with an `answer` of the same id. Neither contains the
/// caller's API key.
namespace toucanmux {

/// The kind of a request, which decides whether it may be retried.
enum class access_class : std::uint8_t { read, write, transaction };

/// A statement's place in a transaction; `single` is outside a transaction.
enum class statement_step : std::uint8_t {
  single,
  begin,
  inside,
  commit,
  rollback
};

/// A parameter of a statement in PostgreSQL's text form.
struct parameter {
  bool null = false;
  std::string text;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(null), CEREAL_NVP(text));
  }
};

/// A statement that an entry sends to a pool.
struct statement {
  static constexpr std::string_view name = "statement";

  std::uint64_t id = 0;  ///< Unique within a link.
  team_id team;
  double weight = 1;  ///< The team's weight in the fair queue; above 0.
  service_id service;
  group_id group;
  database_id database;
  access_class access = access_class::read;
  statement_step step = statement_step::single;
  std::uint64_t transaction = 0;  ///< The pool's id; 0 if in no transaction.
  std::string sql;
  std::vector<parameter> parameters;
  log_position required;  ///< The position a read's answer must cover.
  /// Maximum age of a read's data; negative if any age is allowed.
  duration max_age{-1};
  duration time_left{0};        ///< Until the caller's deadline.
  std::string idempotency_key;  ///< Empty if the caller gave none.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(team), CEREAL_NVP(weight),
            CEREAL_NVP(service), CEREAL_NVP(group), CEREAL_NVP(database),
            CEREAL_NVP(access), CEREAL_NVP(step), CEREAL_NVP(transaction),
            CEREAL_NVP(sql), CEREAL_NVP(parameters), CEREAL_NVP(required),
            CEREAL_NVP(max_age), CEREAL_NVP(time_left),
            CEREAL_NVP(idempotency_key));
  }
};

/// How a statement ended.
enum class outcome_code : std::uint8_t {
  done,     ///< Ran; a write was acknowledged.
  failed,   ///< The database returned an error and kept nothing.
  not_run,  ///< Did not run and never will.
  behind,   ///< The data was too old for the read; no effect.
  moved,    ///< The pool does not own the database; did not run.
  unknown   ///< May have run: repeat with the idempotency key.
};

/// Why a statement failed, did not run or has an unknown outcome.
enum class reason_code : std::uint8_t {
  none,
  bad_request,
  key_refused,
  route_refused,
  over_rate,
  queue_full,
  deadline,
  no_primary,
  no_upstream,
  upstream_full,
  not_ready,
  leaving,
  transaction_gone,
  connection_lost,
  key_in_use,
  upstream_error,
  no_platform
};

/// The reason's name for callers, logs and the timeline; part of the API.
std::string_view to_string(reason_code reason);

/// The outcome's name for callers; part of the API.
std::string_view to_string(outcome_code outcome);

/// A pool's reply to a statement.
struct answer {
  static constexpr std::string_view name = "answer";

  std::uint64_t id = 0;
  outcome_code outcome = outcome_code::done;
  reason_code reason = reason_code::none;
  log_position position;  ///< The database's position; for a write, its end.
  bool from_replica = false;
  bool replayed = false;  ///< Recorded earlier under the idempotency key.
  std::uint64_t transaction = 0;
  duration retry_after{0};  ///< Zero if a later retry does not help.
  std::string result;       ///< JSON: columns, rows and the command's tag.
  std::string message;      ///< The database's error, or advice to the caller.
  std::string sql_state;    ///< Five characters; empty if not from a database.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), cereal::make_nvp("how", outcome),
            cereal::make_nvp("why", reason), CEREAL_NVP(position),
            CEREAL_NVP(from_replica), CEREAL_NVP(replayed),
            CEREAL_NVP(transaction), CEREAL_NVP(retry_after),
            CEREAL_NVP(result), CEREAL_NVP(message), CEREAL_NVP(sql_state));
  }
};

}  // namespace toucanmux
