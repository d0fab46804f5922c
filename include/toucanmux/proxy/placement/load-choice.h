#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "toucanmux/core.h"
#include "toucanmux/proxy/placement/upstream-choice.h"

namespace toucanmux {

/// Chooses an upstream by the fleet's load. With fresh information it is the
/// one with the lowest cost. The older the information, the more upstreams take
/// part in a random draw: those whose costs do not differ by more than the
/// uncertainty, each with a probability in proportion to its spare capacity.
/// @param candidates with the fields under "the fleet's load" set.
/// @param age of the information.
/// @param seed different for each statement; the same one for each attempt to
/// place it, so that a waiting statement does not open connections everywhere.
std::optional<std::size_t> choose_by_load(
    std::span<const upstream_candidate> candidates,
    const upstream_requirements& requirements, duration age,
    std::uint64_t seed);

}  // namespace toucanmux
