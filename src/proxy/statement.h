#pragma once

#include <cstdint>
#include <string_view>

namespace toucanmux {

/// The kind of a caller's statement.
enum class statement_verb : std::uint8_t {
  begin,            ///< A transaction that may write.
  begin_read_only,  ///< A transaction that only reads.
  commit,
  rollback,
  read,
  write,
  set_value,       ///< `name` and `value`.
  prepare,         ///< `name`; `value` is the statement without arguments.
  execute,         ///< `name`; `value` has the arguments.
  close_prepared,  ///< `name`.
  unknown
};

/// A parsed statement of a caller; its views point into the received line.
struct session_statement {
  std::string_view id;
  statement_verb verb = statement_verb::unknown;
  bool writes = false;  ///< For `prepare`: the prepared statement writes.
  std::string_view name;
  std::string_view value;
  std::string_view text;  ///< Sent to upstreams unchanged.
};

}  // namespace toucanmux
