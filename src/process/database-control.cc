#include "process/database-control.h"

#include <algorithm>
#include <charconv>

#include "toucanmux/connection/upstream-sql.h"

namespace toucanmux {

namespace {

// The control state lives in `primary_conninfo`, which every database keeps:
// `fenced_T` is a fence, `follows_T` a replica of term T's primary, and
// `fenced_T_kept_P` a primary of term P that was asked for a fence.
constexpr std::string_view follows_marker = "follows_";
constexpr std::string_view kept_marker = "_kept_";

std::uint64_t number_after(std::string_view text, std::string_view word) {
  auto at = text.find(word);
  if (at == text.npos) return 0;
  auto digits = text.substr(at + word.size());
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
  auto fence = upstream_sql::fence_of(conninfo);
  auto kept = number_after(conninfo, kept_marker);
  out.control_term = std::max(fence, number_after(conninfo, follows_marker));
  if (!out.in_recovery) {
    out.primary_term = kept > 0 ? kept : fence;
    return out;
  }
  out.fenced = fence > 0;
  out.streaming = received[3] != "0";
  out.received = {parse_timeline(received[1]),
                  upstream_sql::parse_lsn(received[0])};
  return out;
}

std::string fence_primary(std::uint64_t term, std::uint64_t kept) {
  auto out = upstream_sql::fence(term);
  out.insert(out.size() - 1, std::string(kept_marker) + std::to_string(kept));
  return out;
}

}  // namespace

database_control::database_control(const database& target, event_handler hear)
    : target_(target),
      on_event_(std::move(hear)),
      commands_({target.address, target.port, "toucanmux_control"}),
      heartbeats_({target.address, target.port, "toucanmux_heartbeat"}) {}

void database_control::heartbeat() {
  auto run = [this](upstream_connection& on) {
    on.query(upstream_sql::heartbeat, [this, &on](const query_result& sent) {
      if (!sent.ok && sent.sql_state.empty()) return heartbeats_.lose();
      if (!sent.ok) return end_heartbeat(heartbeat_result::not_primary, {});
      auto lsn = upstream_sql::parse_lsn(sent.rows[0][0]);
      on.query(upstream_sql::position, [this, lsn](const query_result& at) {
        if (!at.ok) return heartbeats_.lose();
        end_heartbeat(heartbeat_result::ok,
                      {parse_timeline(at.rows[0][2]), lsn});
      });
    });
  };
  auto fail = [this](control_session::failure how) {
    auto result = how == control_session::failure::refused
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

void database_control::read_status(upstream_connection& on,
                                   const status_handler& done) {
  on.query(upstream_sql::position, [this, &on, done](const query_result& at) {
    if (!at.ok) return commands_.lose();
    on.query(upstream_sql::received,
             [this, done, at](const query_result& received) {
               if (!received.ok) return commands_.lose();
               done(parse_status(at.rows[0], received.rows[0]));
             });
  });
}

void database_control::poll() {
  auto run = [this](upstream_connection& on) {
    read_status(on, [this](const database_status& status) {
      commands_.finish();
      on_event_(database_polled{target_.id, true, status});
    });
  };
  auto fail = [this](control_session::failure) {
    on_event_(database_polled{target_.id, false, {}});
  };
  commands_.submit({run, fail});
}

void database_control::run_command(control_command what, std::uint64_t term,
                                   const condition& fits,
                                   const script& change_sql) {
  command_ended end{what, target_.id, term, false, false, {}};
  auto run = [this, end, fits, change_sql](upstream_connection& on) {
    read_status(on, [=, this, &on](const database_status& status) {
      auto next = end;
      next.done = fits(status);
      next.status = status;
      run_statements(on, next, next.done ? change_sql(status) : statements());
    });
  };
  auto fail = [this, end](control_session::failure) { on_event_(end); };
  commands_.submit({run, fail});
}

void database_control::run_statements(upstream_connection& on,
                                      const command_ended& end,
                                      statements left) {
  if (left.empty()) {
    return read_status(on, [this, end](const database_status& status) {
      auto out = end;
      out.reached = true;
      out.status = status;
      // A fence holds only once the receiver has gone.
      bool fence = end.command == control_command::fence;
      if (fence && status.in_recovery) out.done &= !status.streaming;
      commands_.finish();
      on_event_(out);
    });
  }
  auto sql = std::make_shared<std::string>(left.front());
  left.erase(left.begin());
  on.query(*sql, [this, &on, end, left, sql](const query_result& result) {
    if (!result.ok) return commands_.lose();
    run_statements(on, end, left);
  });
}

void database_control::fence(std::uint64_t term) {
  auto fits = [term](const database_status& status) {
    bool same =
        status.control_term == term && (status.fenced || !status.in_recovery);
    return status.control_term < term || same;
  };
  auto sql = [term](const database_status& status) -> statements {
    if (status.control_term == term) return {};
    auto set = status.in_recovery ? upstream_sql::fence(term)
                                  : fence_primary(term, status.primary_term);
    return {set, std::string(upstream_sql::reload)};
  };
  run_command(control_command::fence, term, fits, sql);
}

void database_control::promote(std::uint64_t term) {
  auto fits = [term](const database_status& status) {
    if (!status.in_recovery && status.control_term == 0) return true;
    bool ready = status.fenced || !status.in_recovery;
    return status.control_term == term && ready;
  };
  auto sql = [term](const database_status& status) -> statements {
    statements out{upstream_sql::fence(term),
                   std::string(upstream_sql::require_standby),
                   std::string(upstream_sql::reload)};
    if (status.in_recovery) out.emplace_back(upstream_sql::promote);
    return out;
  };
  run_command(control_command::promote, term, fits, sql);
}

void database_control::follow(std::uint64_t term, const database& primary) {
  auto fits = [term](const database_status& status) {
    return status.control_term <= term;
  };
  auto set =
      upstream_sql::follow(primary.address, primary.port,
                           std::string(follows_marker) + std::to_string(term));
  auto sql = [set](const database_status&) -> statements {
    return {set, std::string(upstream_sql::reload)};
  };
  run_command(control_command::follow, term, fits, sql);
}

}  // namespace toucanmux
