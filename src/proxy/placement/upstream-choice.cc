#include "toucanmux/proxy/placement/upstream-choice.h"

#include <algorithm>

namespace toucanmux {

namespace {

// The costs below are added to the expected response time. Opening a connection
// takes a database slot for a moment and a round trip.
constexpr duration open_cost = std::chrono::milliseconds(20);
// Reads prefer replicas, since only the leader can run writes.
constexpr duration leader_cost = std::chrono::milliseconds(8);
// For the longer round trip and the cost of traffic between failure domains.
constexpr duration other_domain_cost = std::chrono::milliseconds(30);
// A database that lacks the required position makes a second attempt necessary.
constexpr duration lagging_cost = std::chrono::milliseconds(60);
// Multiplied by the failure rate, for the retry of a failed statement. A cost
// rather than an exclusion, so that databases that all fail alike stay in use.
constexpr duration failure_cost = std::chrono::milliseconds(250);
// Lower bound of the response time, so that in-flight statements always count.
constexpr duration min_response_time = std::chrono::milliseconds(5);

duration cost_of(const upstream_candidate& candidate,
                 const upstream_requirements& requirements) {
  duration response_time = std::max(candidate.response_time, min_response_time);
  duration cost = response_time * (2 + candidate.in_flight) / 2;
  if (!candidate.warm) cost += open_cost;
  if (candidate.leader && !requirements.leader_only) cost += leader_cost;
  if (!candidate.same_domain) cost += other_domain_cost;
  if (candidate.lagging) cost += lagging_cost;
  cost += std::chrono::duration_cast<duration>(failure_cost *
                                               candidate.failure_rate);
  return cost;
}

}  // namespace

std::optional<std::size_t> choose_upstream(
    std::span<const upstream_candidate> candidates,
    const upstream_requirements& requirements) {
  std::optional<std::size_t> best;
  duration lowest_cost{};
  for (const auto& candidate : candidates) {
    if (!candidate.usable || (!candidate.warm && !candidate.can_open)) continue;
    if (requirements.leader_only && !candidate.leader) continue;
    if (requirements.excluded >> (candidate.index % 64) & 1U) continue;
    duration cost = cost_of(candidate, requirements);
    if (best && cost >= lowest_cost) continue;
    best = candidate.index;
    lowest_cost = cost;
  }
  return best;
}

}  // namespace toucanmux
