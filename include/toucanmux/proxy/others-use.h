#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

#include "toucanmux/proxy/team-use.h"

namespace toucanmux {

/// Works out what the other instances have used from what all have used: a hub
/// sends everybody the same sums, in which each finds its own use again.
class peer_usage {
 public:
  /// This instance has told the hub of its own use.
  void record_sent(std::uint64_t stamp, std::span<const team_usage> own);
  /// @param hub changes with the hub and with each of its processes.
  /// @param whole with this message all teams were named.
  /// @param echo the stamp of the last report that the sums contain.
  /// @return what the others have used since the hub's first message.
  std::vector<team_usage> apply_totals(std::uint64_t hub_process, bool complete,
                                       std::uint64_t acked_stamp,
                                       std::span<const team_usage> fleet);

 private:
  struct sent_report {
    std::uint64_t stamp = 0;
    std::vector<team_usage> uses;
  };
  struct counter {
    std::uint32_t fleet = 0;
    std::uint32_t peers = 0;
    std::int32_t pending_own = 0;  ///< Own use that the sums do not show yet.
  };
  struct team_counters {
    std::uint64_t acked_stamp = 0;
    counter admitted;
    counter wanted;
  };

  team_usage own_usage_at(std::uint32_t team, std::uint64_t acked_stamp) const;
  static void advance(counter& usage, std::uint32_t fleet, std::uint32_t own);

  std::deque<sent_report> sent_reports_;  ///< The newest first.
  std::map<std::uint32_t, team_counters> teams_;
  std::uint64_t hub_process_ = 0;
  std::uint64_t first_acked_stamp_ = 0;
  bool baseline_known_ = false;  ///< All sums of this hub were heard once.
};

}  // namespace toucanmux
