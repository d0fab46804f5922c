#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// A database of a group, as configured on the platform.
struct database {
  database_id id;
  domain_id domain;
  std::string address;  ///< IP address.
  std::uint16_t port = 0;
  std::uint32_t slots = 1;             ///< Maximum of concurrent statements.
  std::uint32_t connection_limit = 1;  ///< Total over all instances.
  bool leaving = false;                ///< Draining: gets no new work.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(domain), CEREAL_NVP(address),
            CEREAL_NVP(port), CEREAL_NVP(slots), CEREAL_NVP(connection_limit),
            CEREAL_NVP(leaving));
  }
};

/// A primary database and its replicas: the platform's object `groups/ID`.
struct database_group {
  group_id id;
  service_id service;
  std::uint64_t term = 0;  ///< The primary's; grows with every promotion.
  database_id primary;
  /// Identifies the writer of this term, so that a writer whose answer was lost
  /// recognizes its own write.
  std::string nonce;
  std::vector<database> databases;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(service), CEREAL_NVP(term),
            CEREAL_NVP(primary), CEREAL_NVP(nonce), CEREAL_NVP(databases));
  }
};

}  // namespace toucanmux
