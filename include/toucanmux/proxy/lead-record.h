#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

namespace toucanmux {

/// How far a change of leader has come.
enum class leadership_phase : std::uint8_t {
  revoked,  ///< Nobody leads: a change is under way.
  named,    ///< The order for `leader` may not have ended yet.
  settled   ///< `leader` leads, and no order is open.
};

/// What the store's duty object says of one group's leader. Names are the low
/// bits of their stable hashes.
struct leader_record {
  std::uint32_t group = 0;
  std::uint64_t revision = 0;  ///< Of the object; a higher one is newer.
  leadership_phase phase = leadership_phase::settled;
  std::uint32_t leader = 0;  ///< While revoked: the one to be replaced.
  std::uint32_t holder = 0;  ///< The instance that wrote the object.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(revision), CEREAL_NVP(phase),
            CEREAL_NVP(leader), CEREAL_NVP(holder));
  }
};

}  // namespace toucanmux
