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

/// Changes of the discovery entries between two states of the store. Sent by
/// the domain reader, the instance of a failure domain that watches the store.
struct upstream_update {
  store_version from;  ///< Of the entries that the changes apply to.
  store_version to;    ///< Of the entries with the changes.
  bounded_list<upstream_change, 64> changes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(to), CEREAL_NVP(changes));
  }
};

}  // namespace toucanmux
