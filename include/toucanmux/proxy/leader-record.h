#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

#include "toucanmux/proxy/store-version.h"

namespace toucanmux {

/// The stage of a leader's replacement.
enum class leadership_phase : std::uint8_t {
  revoked,  ///< No leader: a replacement is running.
  named,    ///< `leader` is chosen; its promotion may still be pending.
  settled   ///< `leader` leads, and no promotion is pending.
};

/// A group's leader according to the duty object in the store. Names are the
/// low bits of their stable hashes.
struct leader_record {
  std::uint32_t group = 0;
  /// Of the duty object; the highest of a generation is newest.
  std::uint64_t revision = 0;
  leadership_phase phase = leadership_phase::settled;
  std::uint32_t leader = 0;      ///< While revoked: the leader to be replaced.
  std::uint32_t holder = 0;      ///< The instance that wrote the duty object.
  std::uint32_t generation = 0;  ///< Of the store.
  /// The database whose promotion may still take effect; 0 for none.
  std::uint32_t pending_promotion = 0;

  store_version version() const { return {generation, revision}; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(revision), CEREAL_NVP(phase),
            CEREAL_NVP(leader), CEREAL_NVP(holder), CEREAL_NVP(generation),
            CEREAL_NVP(pending_promotion));
  }
};

}  // namespace toucanmux
