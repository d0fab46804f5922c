#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

#include "toucanmux/proxy/bounded-list.h"
#include "toucanmux/proxy/upstream-entry.h"

namespace toucanmux {

/// A discovery entry that was added, changed or removed.
struct upstream_change {
  bool removed = false;
  upstream_entry entry;  ///< Only the id is set for a removed entry.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(removed), CEREAL_NVP(entry));
  }
};

/// Changes of the discovery entries between two store revisions. Sent by the
/// domain reader, the instance of a failure domain that watches the store.
struct upstream_update {
  /// Store revision of the entries that the changes apply to.
  std::uint64_t from_revision = 0;
  /// Store revision of the entries with the changes.
  std::uint64_t to_revision = 0;
  bounded_list<upstream_change, 64> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from_revision), CEREAL_NVP(to_revision),
            CEREAL_NVP(changes));
  }
};

}  // namespace toucanmux
