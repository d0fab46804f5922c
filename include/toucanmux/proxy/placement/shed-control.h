#pragma once

#include <cstdint>
#include <map>
#include <span>

#include "toucanmux/core.h"

namespace toucanmux {

/// Controls which share of its own failure domain's reads a database gives away
/// to the other domains. All instances see about the same loads, some of them
/// late, so the share changes slowly.
class shed_control {
 public:
  struct database_ratio {
    std::uint32_t database = 0;
    double load_ratio = 1;  ///< Its load divided by the mean of the group.
  };

  /// Called a few times a second.
  void update(instant now, std::span<const database_ratio> group);
  /// From 0 (all reads of the own domain stay) to 1.
  double shed_share(std::uint32_t database) const;
  void clear() { shares_.clear(); }

 private:
  std::map<std::uint32_t, double> shares_;
  instant updated_at_;
};

}  // namespace toucanmux
