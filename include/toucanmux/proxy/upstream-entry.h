#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>

#include "toucanmux/core.h"
#include "toucanmux/proxy/inet-address.h"
#include "toucanmux/proxy/store-version.h"

namespace toucanmux {

/// The store's discovery entry of one database.
struct upstream_entry {
  database_id id;
  group_id group;
  inet_address address;
  domain_id domain;
  bool draining = false;
  bool claims_lead = false;    ///< The database says that it leads its group.
  std::uint64_t sequence = 0;  ///< Incremented by each heartbeat.
  std::uint64_t born_ms = 0;   ///< Start of the database process, Unix time.
  store_version version;       ///< Of the entry's last change.
  /// Statements that the database runs at the same time; 0 if unknown.
  std::uint32_t slots = 0;
  duration warm_up_left{0};  ///< How long the database stays cold.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(group), CEREAL_NVP(address),
            CEREAL_NVP(domain), CEREAL_NVP(draining), CEREAL_NVP(claims_lead),
            CEREAL_NVP(sequence), CEREAL_NVP(born_ms), CEREAL_NVP(version),
            CEREAL_NVP(slots), CEREAL_NVP(warm_up_left));
  }
};

}  // namespace toucanmux
