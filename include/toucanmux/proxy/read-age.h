#pragma once

#include <cstdint>

namespace toucanmux {

/// How recent an answer of the store has to be.
enum class read_age : std::uint8_t {
  newest,      ///< Linearizable.
  seconds_old  ///< Costs a tenth, and proves nothing.
};

}  // namespace toucanmux
