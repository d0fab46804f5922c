#pragma once

#include <cstdint>

#include "toucanmux/core.h"

namespace toucanmux {

/// The retry time of a refused statement, which is no less than `expected`.
/// Statements that are refused together return at different times, the more
/// urgent ones first.
/// @param expected when the cause of the refusal is expected to end.
/// @param priority of the statement's route; 0 is the most urgent.
/// @param seed differs between statements.
duration retry_time(duration expected, unsigned priority, std::uint64_t seed);

}  // namespace toucanmux
