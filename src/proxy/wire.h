#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "proxy/statement.h"
#include "toucanmux/core.h"

/// The line protocol of callers and upstreams. The folder `platform/`
/// implements these functions.
namespace toucanmux::wire {

/// The size limit of a line in bytes. A longer line ends the session.
inline constexpr std::size_t max_line_size = 1'048'576;

enum class transaction_state : std::uint8_t { idle, open, failed };

/// Why a statement or a connection failed.
enum class failure_kind : std::uint8_t {
  busy,                  ///< Not run.
  aborted,               ///< The transaction was rolled back.
  lagging,               ///< Not run: the log lacks the requested position.
  not_leader,            ///< Not run.
  wrong_upstream,        ///< Not run: the address belongs to another database.
  too_many_connections,  ///< Not run: the connection limit is reached.
  failed,                ///< Run, but it failed.
  timed_out,             ///< No answer in time; may have run.
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

/// Opens a connection over which another instance relays statements.
struct open_relay {
  std::string_view group;
  std::string_view team;
  std::string_view database;
  unsigned priority = 0;
};
/// A statement that another instance relays.
struct relayed_statement {
  session_statement statement;
  duration time_left{0};  ///< Until the statement's deadline.
  /// The position that the database must have reached.
  std::optional<log_position> after;
  bool is_reset = false;  ///< Removes all values and prepared statements.
};
using relay_line =
    std::variant<open_relay, relayed_statement, end_session, bad_line>;

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

/// Parses one line, given without its line end.
caller_line parse_caller_line(std::string_view line);
upstream_line parse_upstream_line(std::string_view line);
relay_line parse_relay_line(std::string_view line);

/// The status that a database reports in the rows of its answer.
struct upstream_status {
  bool is_leader = false;
  std::uint64_t term = 0;
  log_position received_position;
};
/// @return nothing if the rows hold no valid status.
std::optional<upstream_status> parse_status(std::string_view rows);

// Messages to callers. Each function appends one line to `out`.
void write_ready(std::string& out, transaction_state state,
                 const std::optional<log_position>& position);
void write_done(std::string& out);
/// @param retry_after the delay after which the caller may retry; 0 if unknown.
void write_failure(std::string& out, failure_kind kind, std::string_view detail,
                   duration retry_after);

// Messages to upstreams. Statements that have no caller's id are sent by this
// program itself, with the id `-`.
void write_connect(std::string& out, const group_id& group,
                   std::string_view team, const database_id& expected);
/// Opens a connection to an instance that relays statements to the database.
void write_relay_connect(std::string& out, const group_id& group,
                         std::string_view team, const database_id& expected,
                         unsigned priority);
void write_quit(std::string& out);
/// @param after the log position that the upstream must have reached, if any.
/// @param time_left until the statement's deadline, for an instance that relays
/// it.
void write_statement(std::string& out, std::string_view id,
                     const std::optional<log_position>& after,
                     std::string_view text,
                     const std::optional<duration>& time_left = {});
void write_begin(std::string& out, bool read_only,
                 const std::optional<log_position>& after,
                 const std::optional<duration>& time_left = {});
void write_rollback(std::string& out);
void write_reset(std::string& out);
void write_set(std::string& out, std::string_view name, std::string_view value);
void write_prepare(std::string& out, std::string_view name, bool writes,
                   std::string_view shape);
/// The text of a statement that executes the prepared statement `name`.
std::string execute_text(std::string_view name, std::string_view arguments);
void write_status_query(std::string& out);
void write_fence(std::string& out, std::uint64_t term);
void write_step_down(std::string& out, std::uint64_t term);

}  // namespace toucanmux::wire
