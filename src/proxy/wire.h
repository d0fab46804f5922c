#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "proxy/statement.h"
#include "toucanmux/core.h"

/// The line protocol that callers and upstreams speak, as this program sees
/// it. The folder `platform/` implements it.
namespace toucanmux::wire {

/// A longer line ends the session.
inline constexpr std::size_t max_line_size = 1'048'576;

enum class transaction_state : std::uint8_t { idle, open, failed };

/// Why a statement or a connection was not served.
enum class failure_kind : std::uint8_t {
  busy,                  ///< Not run.
  aborted,               ///< Nothing of the transaction is kept.
  lagging,               ///< Not run: the log lacks the position asked for.
  not_leader,            ///< Not run.
  wrong_upstream,        ///< Not run: another database stands at the address.
  too_many_connections,  ///< Not run: no connection is free.
  failed,                ///< Run, without success.
  timed_out,             ///< Run or not, without an answer.
  outcome_unknown,
  unknown_key,
  unknown_database,
  unknown_prepared,  ///< Not run.
  too_big,
  bad_statement,
  other
};

struct open_session {
  std::string_view database;
  std::string_view key;
};
struct end_session {};
struct bad_line {};
using caller_line =
    std::variant<open_session, session_statement, end_session, bad_line>;

struct ready {
  transaction_state state = transaction_state::idle;
  std::optional<log_position> position;
};
struct row {};
struct done {};
struct failure {
  failure_kind kind = failure_kind::other;
};
using upstream_line = std::variant<ready, row, done, failure, bad_line>;

/// Reads one line without its end.
caller_line parse_caller_line(std::string_view line);
upstream_line parse_upstream_line(std::string_view line);

/// What a database says of itself, in the rows of its answer.
struct upstream_status {
  bool is_leader = false;
  std::uint64_t term = 0;
  log_position received_position;
};
std::optional<upstream_status> parse_status(std::string_view rows);

// To callers.
void write_ready(std::string& out, transaction_state state,
                 const std::optional<log_position>& position);
void write_done(std::string& out);
/// @param retry_after when to come back; 0 if that is unknown.
void write_failure(std::string& out, failure_kind kind, std::string_view detail,
                   duration retry_after);

// To upstreams. Statements without a caller's id are this program's own.
void write_connect(std::string& out, const group_id& group,
                   std::string_view team, const database_id& expected);
void write_quit(std::string& out);
/// @param after the position that the log has to hold, if any.
void write_statement(std::string& out, std::string_view id,
                     const std::optional<log_position>& after,
                     std::string_view text);
void write_begin(std::string& out, bool read_only,
                 const std::optional<log_position>& after);
void write_rollback(std::string& out);
void write_reset(std::string& out);
void write_set(std::string& out, std::string_view name, std::string_view value);
void write_prepare(std::string& out, std::string_view name, bool writes,
                   std::string_view shape);
/// The text of an execute statement under another prepared name.
std::string execute_text(std::string_view name, std::string_view arguments);
void write_status_query(std::string& out);
void write_fence(std::string& out, std::uint64_t term);
void write_step_down(std::string& out, std::uint64_t term);

}  // namespace toucanmux::wire
