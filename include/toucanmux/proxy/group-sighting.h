#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

namespace toucanmux {

/// The state of a group's leader as one instance observes it. Names are sent as
/// the low bits of their stable hashes to keep reports small: they cross
/// failure domains many times a second.
struct group_sighting {
  std::uint32_t group = 0;
  std::uint32_t leader = 0;
  bool failing = false;           ///< The leader does not answer.
  std::uint16_t answered_ms = 0;  ///< Age of its last answer; capped.
  std::uint16_t speaks_for = 1;   ///< Number of instances represented.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(leader), CEREAL_NVP(failing),
            CEREAL_NVP(answered_ms), CEREAL_NVP(speaks_for));
  }
};

}  // namespace toucanmux
