#include "toucanmux/proxy/placement/upstream-choice.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace toucanmux {

namespace {

// Reads see the leader with a further statement in progress, since only it can
// run the next write.
constexpr unsigned reserved_for_writes = 1;
// Lower bound of the response time, so that in-flight statements always count.
constexpr duration min_response_time = std::chrono::milliseconds(5);
// Half-life of what is known of a database that runs no statements.
constexpr duration knowledge_half_life = std::chrono::seconds(3);

duration shortest_response_time(std::span<const upstream_candidate> group) {
  auto shortest = duration::max();
  for (const auto& candidate : group) {
    if (!candidate.usable) continue;
    shortest = std::min(shortest, candidate.response_time);
  }
  return std::max(shortest, min_response_time);
}

// No statement shows that an unused database has become faster, so that its
// response time is expected to approach the shortest one of the group.
duration expected_response_time(const upstream_candidate& candidate,
                                duration shortest) {
  if (candidate.response_time <= shortest) return shortest;
  if (candidate.in_flight > 0) return candidate.response_time;
  std::chrono::duration<double> idle_time = candidate.idle_time;
  std::chrono::duration<double> half_life = knowledge_half_life;
  auto excess =
      (candidate.response_time - shortest) * std::exp2(-idle_time / half_life);
  return shortest + std::chrono::duration_cast<duration>(excess);
}

// The expected time until the caller has an answer. A database that lacks the
// required position makes a second attempt necessary, and so does one that
// fails. The failure rate is a cost rather than an exclusion, so that databases
// that all fail alike stay in use.
duration cost_of(const upstream_candidate& candidate,
                 const upstream_requirements& requirements, duration shortest) {
  auto response_time = expected_response_time(candidate, shortest);
  unsigned in_flight = candidate.in_flight;
  if (candidate.leader && !requirements.leader_only)
    in_flight += reserved_for_writes;
  duration cost = response_time * (2 + in_flight) / 2;
  if (!candidate.warm) cost += candidate.open_time;
  if (candidate.lagging) cost += response_time;
  cost += std::chrono::duration_cast<duration>(candidate.late_after *
                                               candidate.failure_rate);
  return cost;
}

}  // namespace

duration max_domain_detour(std::span<const upstream_candidate> candidates) {
  duration sum{0};
  duration::rep count = 0;
  for (const auto& candidate : candidates) {
    if (!candidate.usable) continue;
    sum += candidate.response_deviation;
    ++count;
  }
  return count > 0 ? sum / count : sum;
}

std::optional<std::size_t> choose_upstream(
    std::span<const upstream_candidate> candidates,
    const upstream_requirements& requirements) {
  auto shortest = shortest_response_time(candidates);
  auto detour = max_domain_detour(candidates);
  std::optional<std::size_t> best;
  std::tuple<duration, bool, bool> lowest_rank;
  for (const auto& candidate : candidates) {
    if (!candidate.usable || (!candidate.warm && !candidate.can_open)) continue;
    if (requirements.leader_only && !candidate.leader) continue;
    if (requirements.excluded >> (candidate.index % 64) & 1U) continue;
    duration cost = cost_of(candidate, requirements, shortest);
    if (!candidate.same_domain) cost += detour;
    std::tuple rank(cost, !candidate.same_domain, candidate.leader);
    if (best && rank >= lowest_rank) continue;
    best = candidate.index;
    lowest_rank = rank;
  }
  return best;
}

}  // namespace toucanmux
