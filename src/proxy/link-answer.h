#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "proxy/wire.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// What a statement on an upstream connection is for.
enum class link_purpose : std::uint8_t {
  set_values,  ///< Values and prepared names of the session.
  begin,       ///< A transaction that may write: proves the lead.
  begin_read_only,
  statement,  ///< A caller's.
  rollback,
  probe,  ///< A begin that only asks for lead and position.
  ask_status,
  fence,
  step_down
};

/// One whole answer of an upstream.
struct link_answer {
  link_purpose purpose = link_purpose::statement;
  bool ok = false;
  wire::failure_kind error = wire::failure_kind::other;
  std::string_view rows;      ///< Whole lines, as they came.
  std::string_view end_line;  ///< The line that ended the answer, with its end.
  wire::transaction_state state = wire::transaction_state::idle;
  std::optional<log_position> position;
  instant sent_at;
};

}  // namespace toucanmux
