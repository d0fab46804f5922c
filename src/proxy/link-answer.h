#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "proxy/wire.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// The purpose of a statement on an upstream connection.
enum class link_purpose : std::uint8_t {
  set_values,  ///< Sets, resets or prepares for the session.
  begin,       ///< Of a read-write transaction; only the leader accepts it.
  begin_read_only,
  statement,  ///< A caller's statement.
  rollback,
  probe,       ///< A begin that only checks leadership and position.
  ask_status,  ///< Reports the database's state.
  fence,       ///< Stops the database's log receiver at a term.
  step_down    ///< Ends a leadership of a term below the given one.
};

/// One complete answer of an upstream.
struct link_answer {
  link_purpose purpose = link_purpose::statement;
  bool ok = false;
  wire::failure_kind error = wire::failure_kind::other;
  std::string_view rows;      ///< Unchanged lines, with their line ends.
  std::string_view end_line;  ///< The last line, with its line end.
  wire::transaction_state state = wire::transaction_state::idle;
  std::optional<log_position> position;
  instant sent_at;  ///< When the statement was sent.
};

}  // namespace toucanmux
