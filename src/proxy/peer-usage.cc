#include "toucanmux/proxy/peer-usage.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Several times the number of reports that are sent before a hub counts as
// silent.
constexpr std::size_t max_kept_reports = 16;

}  // namespace

void peer_usage::record_sent(std::uint64_t stamp,
                             std::span<const team_usage> own) {
  sent_reports_.push_front({stamp, {own.begin(), own.end()}});
  if (sent_reports_.size() > max_kept_reports) sent_reports_.pop_back();
}

team_usage peer_usage::own_usage_at(std::uint32_t team,
                                    std::uint64_t acked_stamp) const {
  for (const auto& report : sent_reports_) {
    if (report.stamp > acked_stamp) continue;
    for (const auto& use : report.uses) {
      if (use.team == team) return use;
    }
  }
  return {};
}

// The totals may lack usage from a report whose datagram was lost. The deficit
// is kept until a later message contains the usage.
void peer_usage::advance(counter& usage, std::uint32_t fleet,
                         std::uint32_t own) {
  auto fleet_change = static_cast<std::int32_t>(fleet - usage.fleet);
  auto change =
      fleet_change - static_cast<std::int32_t>(own) + usage.pending_own;
  usage.fleet = fleet;
  usage.pending_own = std::min(change, 0);
  usage.peers += static_cast<std::uint32_t>(std::max(change, 0));
}

std::vector<team_usage> peer_usage::apply_totals(
    std::uint64_t hub_process, bool complete, std::uint64_t acked_stamp,
    std::span<const team_usage> fleet) {
  if (hub_process != hub_process_) {
    hub_process_ = hub_process;
    first_acked_stamp_ = acked_stamp;
    baseline_known_ = false;
    teams_.clear();
  }
  std::vector<team_usage> peer_uses;
  peer_uses.reserve(fleet.size());
  for (const auto& use : fleet) {
    auto [it, added] = teams_.try_emplace(use.team);
    team_counters& counters = it->second;
    if (added) counters.acked_stamp = first_acked_stamp_;
    if (added && !baseline_known_) {
      counters.admitted.fleet = use.admitted;
      counters.wanted.fleet = use.wanted;
    }
    auto own_now = own_usage_at(use.team, acked_stamp);
    // A hub that had not heard this instance counts its usage from the first
    // report that it receives.
    auto own_before = counters.acked_stamp != 0
                          ? own_usage_at(use.team, counters.acked_stamp)
                          : own_now;
    advance(counters.admitted, use.admitted,
            own_now.admitted - own_before.admitted);
    advance(counters.wanted, use.wanted, own_now.wanted - own_before.wanted);
    counters.acked_stamp = acked_stamp;
    team_usage peers = use;
    peers.admitted = counters.admitted.peers;
    peers.wanted = counters.wanted.peers;
    peer_uses.push_back(peers);
  }
  baseline_known_ = baseline_known_ || complete;
  return peer_uses;
}

}  // namespace toucanmux
