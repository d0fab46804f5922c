#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

#include "toucanmux/proxy/bounded-list.h"

namespace toucanmux {

/// The drained failure domains that the sender of a report knows.
struct drained_domains_report {
  /// More domains are not reported.
  static constexpr std::uint32_t max_domains = 64;

  std::uint64_t revision = 0;  ///< Of the store, when the list was read.
  std::uint32_t age_ms = 0;    ///< Time since the list was known to be current.
  /// Low bits of the stable hashes of the domains' names; sorted.
  bounded_list<std::uint32_t, max_domains> domains;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(revision), CEREAL_NVP(age_ms), CEREAL_NVP(domains));
  }
};

}  // namespace toucanmux
