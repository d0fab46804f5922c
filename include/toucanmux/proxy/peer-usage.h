#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

#include "toucanmux/proxy/team-usage.h"

namespace toucanmux {

/// Derives what the peers have used from fleet totals. A hub sends the same
/// totals to all instances, and each subtracts its own usage.
class peer_usage {
 public:
  /// Records the usage that this instance reported to the hub.
  /// @param stamp identifies the report; increases with each report.
  void record_sent(std::uint64_t stamp, std::span<const team_usage> own);
  /// Applies the totals of a hub's message.
  /// @param hub_process identifies the process of the hub.
  /// @param complete the hub's messages so far have named all teams.
  /// @param acked_stamp stamp of the newest own report that the totals contain;
  /// 0 if there is none.
  /// @return the usage of the peers since the hub's first message.
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
    /// Own usage missing from the totals; 0 or negative.
    std::int32_t pending_own = 0;
  };
  struct team_counters {
    std::uint64_t acked_stamp = 0;
    counter admitted;
    counter wanted;
  };

  team_usage own_usage_at(std::uint32_t team, std::uint64_t acked_stamp) const;
  static void advance(counter& usage, std::uint32_t fleet, std::uint32_t own);

  /// The newest report is first.
  std::deque<sent_report> sent_reports_;
  std::map<std::uint32_t, team_counters> teams_;
  std::uint64_t hub_process_ = 0;
  std::uint64_t first_acked_stamp_ = 0;
  /// The totals of all teams have been received from this hub process.
  bool baseline_known_ = false;
};

}  // namespace toucanmux
