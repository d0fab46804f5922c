#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace toucanmux::soak {

/// More callers would be limited by the single thread of the soak.
inline constexpr int max_callers = 240;

/// Parameters of a soak run. The seed decides everything except the order in
/// which the processes answer.
struct soak_plan {
  std::uint32_t seed = 1;
  int planned_seconds = 8;  ///< Duration of planned work only, at first.
  int seconds = 20;         ///< Duration of fault injection after it.
  int instances = 4;
  int caller_count = 24;
  /// A replaced leader keeps executing statements until it is promoted again or
  /// a random delay of 0.5 to 4 s has passed.
  bool former_leaders_keep_running = false;
  /// Folder for the instances' settings files, which the script reads.
  std::string folder;
};

/// Draws an integer between `low` and `high`, both included.
inline int draw(std::mt19937& random, int low, int high) {
  return low + static_cast<int>(random() %
                                static_cast<std::uint32_t>(high - low + 1));
}

}  // namespace toucanmux::soak
