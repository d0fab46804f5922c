#pragma once

#include <cstdint>
#include <string_view>

namespace toucanmux {

/// What a caller's statement does.
enum class statement_verb : std::uint8_t {
  begin,            ///< A transaction that may write.
  begin_read_only,  ///< A transaction that only reads.
  commit,
  rollback,
  read,
  write,
  set_value,       ///< `name` and `value`.
  prepare,         ///< `name` and, in `value`, the shape.
  execute,         ///< `name` and, in `value`, the arguments.
  close_prepared,  ///< `name`.
  unknown
};

/// A caller's statement; views into the line that it came in.
struct session_statement {
  std::string_view id;
  statement_verb verb = statement_verb::unknown;
  bool writes = false;  ///< For `prepare`: the shape writes.
  std::string_view name;
  std::string_view value;
  std::string_view text;  ///< Unchanged, as upstreams get it.
};

}  // namespace toucanmux
