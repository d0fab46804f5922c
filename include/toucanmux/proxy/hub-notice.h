#pragma once

#include <cereal/cereal.hpp>

#include "toucanmux/core.h"

namespace toucanmux {

/// Sent to a hub that addressed the sender as the hub of its failure domain:
/// names the hub that the sender follows.
struct hub_notice {
  member_id hub;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(hub));
  }
};

}  // namespace toucanmux
