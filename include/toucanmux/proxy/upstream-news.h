#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

#include "toucanmux/proxy/bounded-list.h"
#include "toucanmux/proxy/upstream-entry.h"

namespace toucanmux {

/// One database that discovery names anew, or does not name any more.
struct upstream_change {
  bool removed = false;
  upstream_entry entry;  ///< Of a removed one, only the id.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(removed), CEREAL_NVP(entry));
  }
};

/// What has changed in discovery, from the one instance of a failure domain
/// that watches it.
struct upstream_update {
  std::uint64_t from_revision = 0;  ///< Of the state that it changes.
  std::uint64_t to_revision = 0;
  bounded_list<upstream_change, 64> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from_revision), CEREAL_NVP(to_revision),
            CEREAL_NVP(changes));
  }
};

}  // namespace toucanmux
