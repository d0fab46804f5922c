#pragma once

#include <cereal/cereal.hpp>

#include "toucanmux/core.h"

namespace toucanmux {

/// Answers a hub that took the sender for the hub of its failure domain.
struct hub_notice {
  member_id hub;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(hub));
  }
};

}  // namespace toucanmux
