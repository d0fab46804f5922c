#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// The `count` owners of a key by rendezvous hashing, best first; all
/// candidates if there are fewer. The result depends only on the set of
/// candidates, not on their order. Adding or removing a candidate moves only
/// the keys that it owns.
std::vector<member_id> choose_owners(std::string_view key,
                                     std::span<const member_id> candidates,
                                     std::size_t count);

/// True if `id` is among the first `count` owners of a key.
bool owns(const member_id& id, std::string_view key,
          std::span<const member_id> candidates, std::size_t count);

}  // namespace toucanmux
