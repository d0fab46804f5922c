#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "toucanmux/proxy/placement/database-load.h"

namespace toucanmux {

/// The loads that this instance has reported to its hub. The hub's fleet sums
/// contain them and are sent alike to all members.
class sent_loads {
 public:
  /// @param stamp identifies the report; increases with each report.
  void record(std::uint64_t stamp, std::span<const database_load> own);
  /// Removes the own part from fleet sums.
  /// @param acked_stamp stamp of the newest own report that the sums contain.
  std::vector<database_load> peers_part(
      std::uint64_t acked_stamp, std::span<const database_load> fleet) const;

 private:
  struct sent_report {
    std::uint64_t stamp = 0;
    std::vector<database_load> loads;
  };

  std::deque<sent_report> reports_;  ///< The newest is first.
};

}  // namespace toucanmux
