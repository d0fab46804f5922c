#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// The first `count` owners of a key by rendezvous hash, best first. Every
/// process that sees the same candidates chooses the same ones, and a
/// candidate that comes or goes moves only what it owns. Their order does not
/// matter; fewer are returned if there are fewer.
std::vector<member_id> choose_owners(std::string_view key,
                                     std::span<const member_id> candidates,
                                     std::size_t count);

/// True if `who` is among the first `count` owners of a key.
bool owns(const member_id& id, std::string_view key,
          std::span<const member_id> candidates, std::size_t count);

}  // namespace toucanmux
