#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

namespace toucanmux {

/// How one instance finds the leader of a group. Names are sent as the low
/// bits of their stable hashes: reports cross failure domains many times a
/// second.
struct group_sighting {
  std::uint32_t group = 0;
  std::uint32_t leader = 0;
  bool failing = false;           ///< It does not answer this instance.
  std::uint16_t answered_ms = 0;  ///< Since its last answer; capped.
  std::uint16_t speaks_for = 1;   ///< Instances that see it alike.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(leader), CEREAL_NVP(failing),
            CEREAL_NVP(answered_ms), CEREAL_NVP(speaks_for));
  }
};

}  // namespace toucanmux
