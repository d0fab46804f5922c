#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

namespace toucanmux {

/// A team's usage of one instance, or the total of several, since they started.
struct team_usage {
  std::uint32_t team = 0;  ///< Low bits of the stable hash of the team's name.
  std::uint32_t admitted = 0;
  std::uint32_t wanted = 0;  ///< Admitted or refused.
  float level = 0;  ///< Tokens left for the team, as the sender estimates.
  /// Percentage of the limit reserved for silent instances.
  std::uint8_t kept_percent = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), CEREAL_NVP(admitted), CEREAL_NVP(wanted),
            CEREAL_NVP(level), CEREAL_NVP(kept_percent));
  }
};

}  // namespace toucanmux
