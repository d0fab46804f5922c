#include "toucanmux/proxy/session-values.h"

#include <algorithm>

namespace toucanmux {

bool needs_reset(const session_values& session,
                 const session_values& connection) {
  return std::any_of(
      connection.values.begin(), connection.values.end(),
      [&](const auto& item) { return !session.values.contains(item.first); });
}

}  // namespace toucanmux
