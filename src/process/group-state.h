#pragma once

#include <cstdint>

#include "toucanmux/connection/link-message.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// State of one group as a pool's traffic threads know it. The control thread
/// sends them a new state when it changes.
struct group_state {
  group_hint hint;  ///< Term, primary and whether it takes writes.
};

}  // namespace toucanmux
