#include "toucanmux/proxy/upstream-choice.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Opening a connection costs a slot's time and a round trip.
constexpr duration open_cost = std::chrono::milliseconds(20);
// The leader is kept for what only it can do.
constexpr duration leader_cost = std::chrono::milliseconds(8);
// The way there, and bytes between failure domains are dear.
constexpr duration other_domain_cost = std::chrono::milliseconds(30);
// A database that lacks the position makes the read go round once more.
constexpr duration behind_cost = std::chrono::milliseconds(60);
// A statement that fails is run again elsewhere, if it may be; if all fail
// alike none is left out.
constexpr duration failure_cost = std::chrono::milliseconds(250);
constexpr duration least_response = std::chrono::milliseconds(5);

duration cost_of(const upstream_candidate& candidate,
                 const upstream_requirements& need) {
  duration response = std::max(candidate.response_time, least_response);
  duration cost = response * (2 + candidate.in_flight) / 2;
  if (!candidate.warm) cost += open_cost;
  if (candidate.leader && !need.leader_only) cost += leader_cost;
  if (!candidate.same_domain) cost += other_domain_cost;
  if (candidate.lagging) cost += behind_cost;
  cost += std::chrono::duration_cast<duration>(failure_cost *
                                               candidate.failure_rate);
  return cost;
}

}  // namespace

std::optional<std::size_t> choose_upstream(
    std::span<const upstream_candidate> candidates,
    const upstream_requirements& need) {
  std::optional<std::size_t> best;
  duration least{};
  for (const auto& candidate : candidates) {
    if (!candidate.usable || (!candidate.warm && !candidate.can_open)) continue;
    if (need.leader_only && !candidate.leader) continue;
    if (need.excluded >> (candidate.index % 64) & 1U) continue;
    duration cost = cost_of(candidate, need);
    if (best && cost >= least) continue;
    best = candidate.index;
    least = cost;
  }
  return best;
}

}  // namespace toucanmux
