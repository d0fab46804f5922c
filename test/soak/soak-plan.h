#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace toucanmux::soak {

/// What the soak does to its world. The seed decides everything but the order
/// in which processes answer.
struct soak_plan {
  std::uint32_t seed = 1;
  int seconds = 20;
  int instances = 4;
  int callers = 24;
  /// A leader that was replaced goes on until it is told to step down, or for
  /// seconds.
  bool leaders_go_on = false;
  std::string folder;  ///< Where settings are written for the script.
};

/// Draws from a range, both ends included.
inline int draw(std::mt19937& random, int least, int most) {
  return least + static_cast<int>(random() %
                                  static_cast<std::uint32_t>(most - least + 1));
}

}  // namespace toucanmux::soak
