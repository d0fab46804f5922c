#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

#include "toucanmux/core.h"
#include "toucanmux/proxy/bounded-list.h"

namespace toucanmux {

/// Asks a peer for the positions that it has proven.
struct position_request {
  std::uint64_t stamp = 0;  ///< The sender's steady time in microseconds.
  /// The groups that are wanted: low bits of the names' hashes.
  bounded_list<std::uint32_t, 1024> groups;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(stamp), CEREAL_NVP(groups));
  }
};

/// The newest position that a group's leader is known to have held.
struct group_position {
  std::uint32_t group = 0;  ///< The low bits of the name's stable hash.
  log_position position;
  std::uint32_t age_ms = 0;  ///< Since it was asked for; rounded up.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(position), CEREAL_NVP(age_ms));
  }
};

struct position_reply {
  std::uint64_t echo = 0;  ///< The question's stamp.
  bounded_list<group_position, 1024> positions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(echo), CEREAL_NVP(positions));
  }
};

}  // namespace toucanmux
