#pragma once

#include <cstdint>
#include <optional>

#include "toucanmux/core.h"

namespace toucanmux {

/// When this process sent the stamp that a peer echoes: its boot clock in
/// microseconds. Nothing for a stamp of an earlier process, and for one that
/// this process has not sent yet.
/// @param first the first stamp of this process.
inline std::optional<instant> echoed_moment(std::uint64_t echo,
                                            std::uint64_t first, instant now) {
  auto newest = static_cast<std::uint64_t>(now.time_since_epoch().count());
  if (echo < first || echo > newest) return {};
  return instant(duration(static_cast<std::int64_t>(echo)));
}

}  // namespace toucanmux
