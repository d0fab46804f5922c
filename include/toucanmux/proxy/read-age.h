#pragma once

#include <cstdint>

namespace toucanmux {

/// How recent an answer of the store has to be.
enum class read_consistency : std::uint8_t {
  linearizable,  ///< Linearizable.
  stale          ///< Costs a tenth, and proves nothing.
};

}  // namespace toucanmux
