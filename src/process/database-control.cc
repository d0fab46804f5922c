#include "process/database-control.h"

#include <algorithm>
#include <charconv>

#include "toucanmux/connection/upstream-sql.h"

namespace toucanmux {

namespace {

// The control state is stored in `primary_conninfo`, a setting that every
// database keeps: `fenced_T` marks a database fenced at term T, `follows_T` a
// replica of term T's primary, and `fenced_T_kept_P` a primary of term P that
// got a fence for term T.
constexpr std::string_view follows_marker = "follows_";
constexpr std::string_view kept_marker = "_kept_";

std::uint64_t number_after(std::string_view text, std::string_view marker) {
  auto at = text.find(marker);
  if (at == text.npos) return 0;
  auto digits = text.substr(at + marker.size());
  std::uint64_t out = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), out);
  return out;
}

std::uint64_t parse_timeline(const std::string& text) {
  std::uint64_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

using row = std::vector<std::string>;

database_status parse_status(const row& position, const row& received) {
  database_status out;
  out.in_recovery = position[0] == "t";
  out.replayed = {parse_timeline(position[2]),
                  upstream_sql::parse_lsn(position[1])};
  out.received = out.replayed;
  std::string_view conninfo = received[2];
  auto fence = upstream_sql::fence_term(conninfo);
  auto kept_term = number_after(conninfo, kept_marker);
  out.control_term = std::max(fence, number_after(conninfo, follows_marker));
  if (!out.in_recovery) {
    out.primary_term = kept_term > 0 ? kept_term : fence;
    return out;
  }
  out.fenced = fence > 0;
  out.streaming = received[3] != "0";
  out.received = {parse_timeline(received[1]),
                  upstream_sql::parse_lsn(received[0])};
  return out;
}

std::string fence_primary(std::uint64_t term, std::uint64_t kept_term) {
  auto out = upstream_sql::fence(term);
  out.insert(out.size() - 1,
             std::string(kept_marker) + std::to_string(kept_term));
  return out;
}

}  // namespace

database_control::database_control(const database& target,
                                   event_handler on_event)
    : target_(target),
      on_event_(std::move(on_event)),
      commands_({target.address, target.port, "toucanmux_control"}),
      heartbeats_({target.address, target.port, "toucanmux_heartbeat"}) {}

void database_control::heartbeat() {
  auto run = [this](upstream_connection& connection) {
    connection.query(upstream_sql::heartbeat, [this, &connection](
                                                  const query_result& sent) {
      if (!sent.ok && sent.sql_state.empty()) return heartbeats_.fail_running();
      if (!sent.ok) return end_heartbeat(heartbeat_result::not_primary, {});
      auto lsn = upstream_sql::parse_lsn(sent.rows[0][0]);
      connection.query(
          upstream_sql::position, [this, lsn](const query_result& position) {
            if (!position.ok) return heartbeats_.fail_running();
            end_heartbeat(heartbeat_result::ok,
                          {parse_timeline(position.rows[0][2]), lsn});
          });
    });
  };
  auto fail = [this](control_session::failure cause) {
    auto result = cause == control_session::failure::connection_failed
                      ? heartbeat_result::refused
                      : heartbeat_result::silent;
    on_event_(heartbeat_ended{target_.id, result, {}});
  };
  heartbeats_.submit({run, fail});
}

void database_control::end_heartbeat(heartbeat_result result,
                                     const log_position& position) {
  heartbeats_.finish();
  on_event_(heartbeat_ended{target_.id, result, position});
}

void database_control::read_status(upstream_connection& connection,
                                   const status_handler& done) {
  connection.query(upstream_sql::position, [this, &connection, done](
                                               const query_result& position) {
    if (!position.ok) return commands_.fail_running();
    connection.query(upstream_sql::receiver_state,
                     [this, done, position](const query_result& received) {
                       if (!received.ok) return commands_.fail_running();
                       done(parse_status(position.rows[0], received.rows[0]));
                     });
  });
}

void database_control::poll() {
  auto run = [this](upstream_connection& connection) {
    read_status(connection, [this](const database_status& status) {
      commands_.finish();
      on_event_(database_polled{target_.id, true, status});
    });
  };
  auto fail = [this](control_session::failure) {
    on_event_(database_polled{target_.id, false, {}});
  };
  commands_.submit({run, fail});
}

void database_control::run_command(control_command command, std::uint64_t term,
                                   const condition& applicable,
                                   const script& change_sql) {
  command_ended result{command, target_.id, term, false, false, {}};
  auto run = [this, result, applicable,
              change_sql](upstream_connection& connection) {
    read_status(
        connection, [=, this, &connection](const database_status& status) {
          auto checked = result;
          checked.done = applicable(status);
          checked.status = status;
          run_statements(connection, checked,
                         checked.done ? change_sql(status) : statements());
        });
  };
  auto fail = [this, result](control_session::failure) { on_event_(result); };
  commands_.submit({run, fail});
}

void database_control::run_statements(upstream_connection& connection,
                                      const command_ended& result,
                                      statements remaining) {
  if (remaining.empty()) {
    return read_status(connection,
                       [this, result](const database_status& status) {
                         auto out = result;
                         out.reached = true;
                         out.status = status;
                         // A standby is fenced only once its receiver has
                         // stopped.
                         bool fence = result.command == control_command::fence;
                         if (fence && status.in_recovery)
                           out.done &= !status.streaming;
                         commands_.finish();
                         on_event_(out);
                       });
  }
  auto sql = std::make_shared<std::string>(remaining.front());
  remaining.erase(remaining.begin());
  connection.query(*sql, [this, &connection, result, remaining,
                          sql](const query_result& reply) {
    if (!reply.ok) return commands_.fail_running();
    run_statements(connection, result, remaining);
  });
}

void database_control::fence(std::uint64_t term) {
  auto applicable = [term](const database_status& status) {
    bool same =
        status.control_term == term && (status.fenced || !status.in_recovery);
    return status.control_term < term || same;
  };
  auto sql = [term](const database_status& status) -> statements {
    if (status.control_term == term) return {};
    auto set = status.in_recovery ? upstream_sql::fence(term)
                                  : fence_primary(term, status.primary_term);
    return {set, std::string(upstream_sql::reload_config)};
  };
  run_command(control_command::fence, term, applicable, sql);
}

void database_control::promote(std::uint64_t term) {
  auto applicable = [term](const database_status& status) {
    if (!status.in_recovery && status.control_term == 0) return true;
    bool ready = status.fenced || !status.in_recovery;
    return status.control_term == term && ready;
  };
  auto sql = [term](const database_status& status) -> statements {
    statements out{upstream_sql::fence(term),
                   std::string(upstream_sql::require_standby),
                   std::string(upstream_sql::reload_config)};
    if (status.in_recovery) out.emplace_back(upstream_sql::promote);
    return out;
  };
  run_command(control_command::promote, term, applicable, sql);
}

void database_control::follow(std::uint64_t term, const database& primary) {
  auto applicable = [term](const database_status& status) {
    return status.control_term <= term;
  };
  auto set =
      upstream_sql::follow(primary.address, primary.port,
                           std::string(follows_marker) + std::to_string(term));
  auto sql = [set](const database_status&) -> statements {
    return {set, std::string(upstream_sql::reload_config)};
  };
  run_command(control_command::follow, term, applicable, sql);
}

}  // namespace toucanmux
