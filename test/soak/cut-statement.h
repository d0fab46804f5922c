#pragma once

#include <string>

#include "toucanmux/core.h"

namespace toucanmux::soak {

/// A statement that was sent whole and whose connection ended before its answer
/// was complete.
struct cut_statement {
  std::string id;  ///< `CALLER.NUMBER`.
  int instance = 0;
  instant sent_at;     ///< Time of its last byte.
  instant open_until;  ///< The connection was still open at this time.
  instant noticed_at;  ///< The caller saw the end of the connection.
};

}  // namespace toucanmux::soak
