#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include "toucanmux/error.h"

/// SQL that the pools send for their own purposes, for PostgreSQL 15. The
/// database role must be a member of pg_monitor; promotion also needs the
/// rights to `alter system` and to execute pg_promote.
namespace toucanmux::upstream_sql {

/// Returns one row: whether the database is a replica, the log position that
/// its statements see, and its timeline. A replica without a running receiver
/// reports the timeline of its last restart point, which may be too low.
inline constexpr std::string_view position =
    "select pg_is_in_recovery(), "
    "case when pg_is_in_recovery() then pg_last_wal_replay_lsn() "
    "else pg_current_wal_lsn() end, "
    "case when pg_is_in_recovery() then greatest("
    "(select received_tli from pg_stat_wal_receiver), "
    "(select timeline_id from pg_control_checkpoint())) "
    "else ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))"
    "::bit(32)::int end";

/// A small write whose commit waits for a standby. It succeeds only on a
/// database that was still the primary when the write was sent.
inline constexpr std::string_view heartbeat =
    "select pg_logical_emit_message(true, 'toucanmux', '')";

/// Returns one row for each streaming replica: its name and the log position
/// that it has flushed.
inline constexpr std::string_view replicas =
    "select application_name, flush_lsn from pg_stat_replication "
    "where state = 'streaming'";

/// Returns one row on a replica: the end of its log, its timeline, its
/// `primary_conninfo`, and the number of running receivers that are not
/// fenced. A fence is effective once `primary_conninfo` names it and that
/// number is 0.
inline constexpr std::string_view receiver_state =
    "select greatest(pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()), "
    "greatest((select received_tli from pg_stat_wal_receiver), "
    "(select timeline_id from pg_control_checkpoint())), "
    "current_setting('primary_conninfo'), "
    "(select count(*) from pg_stat_wal_receiver where conninfo is null "
    "or conninfo not like '%application_name=fenced%')";

/// Applies settings changed by `alter system`. It is sent as a separate query
/// because `alter system` cannot run in a transaction block.
inline constexpr std::string_view reload_config = "select pg_reload_conf()";

/// Makes commits wait for one standby. It is sent, followed by
/// `reload_config`, before `promote`.
inline constexpr std::string_view require_standby =
    "alter system set synchronous_standby_names = 'ANY 1 (*)'";

/// Promotes a replica and waits at most 10 s. Returns one row with `t` once
/// the database is a primary.
inline constexpr std::string_view promote = "select pg_promote(true, 10)";

inline constexpr std::string_view begin = "begin";
inline constexpr std::string_view begin_read_only = "begin read only";
inline constexpr std::string_view commit = "commit";
inline constexpr std::string_view rollback = "rollback";

/// Table of the outcomes of writes with an idempotency key. An outcome is
/// recorded in the same transaction as the write.
inline constexpr std::string_view create_outcomes =
    "create table if not exists toucanmux_outcomes (team text not null, "
    "idempotency_key text not null, digest text not null, result text, "
    "recorded_at timestamp with time zone default current_timestamp, "
    "primary key (team, idempotency_key))";
inline constexpr std::string_view insert_outcome =
    "insert into toucanmux_outcomes (team, idempotency_key, digest) "
    "values ($1, $2, $3)";
inline constexpr std::string_view update_outcome =
    "update toucanmux_outcomes set result = $3 "
    "where team = $1 and idempotency_key = $2";
inline constexpr std::string_view select_outcome =
    "select digest, result from toucanmux_outcomes "
    "where team = $1 and idempotency_key = $2";

inline constexpr std::string_view set_conninfo =
    "alter system set primary_conninfo = ";
inline constexpr std::string_view fence_prefix = "fenced_";

/// Quotes text as an SQL string literal.
inline std::string quote(std::string_view text) {
  std::string out = "'";
  for (char c : text) out.append(c == '\'' ? 2 : 1, c);
  return out + "'";
}

/// Quotes a value of a connection string if needed.
inline std::string quote_conninfo(std::string_view text) {
  if (text.find_first_of(" '\\=") == text.npos && !text.empty()) {
    return std::string(text);
  }
  std::string out = "'";
  for (char c : text) {
    if (c == '\'' || c == '\\') out += '\\';
    out += c;
  }
  return out + "'";
}

/// Fences a replica at a term: after a reload its receiver stops, so that the
/// replica acknowledges no writes of a primary of an earlier term. The address
/// is unreachable on purpose, as nothing listens on port 1.
inline std::string fence(std::uint64_t term) {
  return std::string(set_conninfo) +
         quote("host=127.0.0.1 port=1 application_name=" +
               std::string(fence_prefix) + std::to_string(term));
}

/// Returns the fence's term in a `primary_conninfo`, or 0 if there is no fence.
inline std::uint64_t fence_term(std::string_view conninfo) {
  auto start = conninfo.find(fence_prefix);
  if (start == conninfo.npos) return 0;
  std::uint64_t term = 0;
  auto digits = conninfo.substr(start + fence_prefix.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), term);
  return term;
}

/// Makes a replica receive from the given primary after a reload. An operator
/// has to rewind a former primary and restart it as a replica.
inline std::string follow(std::string_view address, std::uint16_t port,
                          std::string_view replica_name) {
  return std::string(set_conninfo) +
         quote("host=" + quote_conninfo(address) +
               " port=" + std::to_string(port) +
               " application_name=" + quote_conninfo(replica_name));
}

/// Formats a log position as a pg_lsn, for example `16/B374D848`.
inline std::string format_lsn(std::uint64_t lsn) {
  char out[32];
  auto [high_end, high_error] = std::to_chars(out, out + 16, lsn >> 32, 16);
  *high_end++ = '/';
  auto [end, low_error] =
      std::to_chars(high_end, out + 32, lsn & 0xffffffff, 16);
  return {out, end};
}

/// Parses a pg_lsn.
/// @throws protocol_error if the text is not a pg_lsn.
inline std::uint64_t parse_lsn(std::string_view text) {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  const char* end = text.data() + text.size();
  auto high_part = std::from_chars(text.data(), end, high, 16);
  if (high_part.ec == std::errc() && high_part.ptr != end &&
      *high_part.ptr == '/') {
    auto rest = std::from_chars(high_part.ptr + 1, end, low, 16);
    if (rest.ec == std::errc() && rest.ptr == end) return high << 32 | low;
  }
  throw protocol_error("invalid log position '" + std::string(text) +
                       "': the upstream must be PostgreSQL 15 or later");
}

}  // namespace toucanmux::upstream_sql
