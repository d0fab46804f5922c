#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

#include "toucanmux/core.h"

/// The messages between an entry and a pool. An entry sends a `statement`, a
/// pool answers it once with an `answer` of the same id. The caller's key is
/// in neither.
namespace toucanmux {

/// What a caller asks for, and so what may be retried.
enum class access_class : std::uint8_t { read, write, transaction };

/// The step of a transaction that a statement is; `single` is outside of any.
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

/// One statement on its way to a database.
struct statement {
  static constexpr std::string_view name = "statement";

  std::uint64_t id = 0;  ///< Never used twice on a connection.
  team_id team;
  double weight = 1;  ///< Share of the queue against other teams; above 0.
  service_id service;
  group_id group;
  database_id database;
  access_class access = access_class::read;
  statement_step step = statement_step::single;
  std::uint64_t transaction = 0;  ///< The pool's id; 0 outside of any.
  std::string sql;
  std::vector<parameter> parameters;
  log_position required;        ///< A read's answer must cover it.
  duration max_age{-1};         ///< Accepted age of a read; negative is any.
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
  done,     ///< It ran; a write is acknowledged.
  failed,   ///< The database refused it with an error; nothing was kept.
  not_run,  ///< It did not run and never will.
  behind,   ///< A replica was short of the position or age; it had no effect.
  moved,    ///< This pool does not own the database; it did not run.
  unknown   ///< It may have run: ask again with the idempotency key.
};

/// Why a statement was not run, or what is unknown about it.
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

/// A stable word for a reason, as callers, logs and the time line show it.
std::string_view to_string(reason_code reason);

/// The word for an outcome that callers see.
std::string_view to_string(outcome_code outcome);

/// A pool's one answer to a statement.
struct answer {
  static constexpr std::string_view name = "answer";

  std::uint64_t id = 0;
  outcome_code outcome = outcome_code::done;
  reason_code reason = reason_code::none;
  log_position position;  ///< Where the database stood; of a write, its end.
  bool from_replica = false;
  bool replayed = false;  ///< The recorded outcome of an idempotency key.
  std::uint64_t transaction = 0;
  duration retry_after{0};  ///< Zero if coming back does not help.
  std::string result;       ///< JSON: columns, rows and the command's tag.
  std::string message;      ///< The database's error text or a remedy.
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
