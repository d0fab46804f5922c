#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "toucanmux/core.h"

namespace toucanmux {

/// What is known of one upstream when a statement looks for a place.
struct upstream_candidate {
  std::size_t index = 0;
  bool leader = false;
  bool usable = false;  ///< Not draining, not failing.
  bool same_domain = false;
  bool warm = false;          ///< An idle connection of the team.
  bool can_open = false;      ///< A connection may be opened or exchanged.
  unsigned in_flight = 0;     ///< Statements of this instance.
  duration response_time{0};  ///< Smoothed.
  bool lagging = false;       ///< Answered lately that it lacks the position.
  double failure_rate = 0;    ///< Share of its statements that failed lately.
};

/// What a statement needs of its upstream.
struct upstream_requirements {
  bool leader_only = false;
  std::uint64_t excluded = 0;  ///< Bit set of indexes already tried.
};

/// The best place to run at now; nothing if the statement has to wait.
std::optional<std::size_t> choose_upstream(
    std::span<const upstream_candidate> candidates,
    const upstream_requirements& need);

}  // namespace toucanmux
