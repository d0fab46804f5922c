#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace toucanmux {

/// Why a statement or a session was refused or failed.
enum class refusal_reason : std::uint8_t {
  no_configuration,
  unknown_key,
  unknown_database,
  keys_unconfirmed,  ///< The configuration was not confirmed recently enough.
  key_withdrawn,
  over_rate,        ///< The team exceeds its rate.
  no_group,         ///< The route's group is not known.
  no_database,      ///< No database can serve the statement now.
  outside_regions,  ///< No database in an allowed region can serve it.
  domain_drained,
  warming_up,  ///< Only cold databases are left.
  leader_changes,
  leader_busy,
  databases_busy,
  queue_too_long,  ///< The expected finish is too late.
  no_connection,   ///< The statement waited until its time limit.
  lagging,         ///< No database has the required position.
  not_prepared,
  database_error,
  connection_lost,
  owner_refuses,    ///< The owner of the shared connections did not run it.
  leader_replaced,  ///< Another leader was named before the confirmation.
  no_answer,        ///< Not answered within the route's time limit.
  transaction_open,
  no_transaction,
  transaction_failed,
  transaction_lost,  ///< The transaction's connection was lost.
  roll_back_first,
  unknown_prepared,
  unknown_statement,
  instance_stops
};

inline constexpr std::size_t refusal_reason_count = 31;

/// The text that callers and the log get.
std::string_view text_of(refusal_reason reason);
/// The value of the label `reason` in metrics.
std::string_view label_of(refusal_reason reason);

}  // namespace toucanmux
