#pragma once

#include <cstdint>

namespace toucanmux {

/// How recent the store's answer to a read has to be.
enum class read_consistency : std::uint8_t {
  linearizable,  ///< Sees every write acknowledged before the read.
  stale  ///< May be seconds old, so it confirms nothing; a tenth of the cost.
};

}  // namespace toucanmux
