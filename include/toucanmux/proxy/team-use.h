#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

namespace toucanmux {

/// What one instance, or several together, have done for a team since they
/// started.
struct team_usage {
  std::uint32_t team = 0;  ///< The low bits of the name's stable hash.
  std::uint32_t admitted = 0;
  std::uint32_t wanted = 0;  ///< Admitted or refused.
  float level = 0;  ///< Tokens that the sender believes the team has left.
  std::uint8_t kept_percent = 0;  ///< Of the limit, for silent instances.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), CEREAL_NVP(admitted), CEREAL_NVP(wanted),
            CEREAL_NVP(level), CEREAL_NVP(kept_percent));
  }
};

}  // namespace toucanmux
