#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

#include "toucanmux/core.h"
#include "toucanmux/proxy/bounded-list.h"

namespace toucanmux {

/// Requests the leaders' log positions that the receiving peer has confirmed.
struct position_request {
  std::uint64_t stamp = 0;  ///< The sender's steady clock in microseconds.
  /// The requested groups: the low bits of their names' stable hashes.
  bounded_list<std::uint32_t, 1024> groups;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(stamp), CEREAL_NVP(groups));
  }
};

/// The newest log position that a group's leader is known to have reached.
struct group_position {
  std::uint32_t group = 0;  ///< The low bits of the group name's stable hash.
  log_position position;
  std::uint32_t age_ms = 0;  ///< Since the probe was sent; rounded up.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(position), CEREAL_NVP(age_ms));
  }
};

/// The answer to a `position_request`.
struct position_reply {
  std::uint64_t echo = 0;  ///< The request's stamp.
  bounded_list<group_position, 1024> positions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(echo), CEREAL_NVP(positions));
  }
};

}  // namespace toucanmux
