#include "toucanmux/proxy/placement/load-choice.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

constexpr double min_latency_ms = 5;
// The costs are uncertain by this share of the mean latency, and by more as the
// information gets older: within half a second the instances of a large fleet
// send as many statements to a group as are in progress there.
constexpr double base_uncertainty = 0.05;
constexpr double uncertainty_per_s = 2;
// Only the leader can run writes: to reads it seems loaded by this factor more,
// and their share falls from this load ratio on, to nothing 1 above it.
constexpr double leader_factor = 1.2;
constexpr double leader_full_share_ratio = 0.6;
// Spare capacity is counted up to this multiple of the mean load.
constexpr double capacity_factor = 3;
// A loaded database still gets some reads, so that its state stays known.
constexpr double min_weight = 0.02;
// Weight of a database where a connection has to be opened first.
constexpr double cold_weight = 0.3;
// Measured latencies differ by chance and grow with the load, which is counted
// already; beyond this ratio the database itself is slower.
constexpr double max_latency_ratio = 4;
// Keeps ratios of loads meaningful where hardly anything is in progress.
constexpr double load_floor = 0.2;

struct option {
  const upstream_candidate* candidate = nullptr;
  double load_ratio = 1;
  double latency_ratio = 1;
  double cost = 0;
};

double in_ms(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double latency_of(const upstream_candidate& candidate) {
  return std::max(in_ms(candidate.fleet_latency), min_latency_ms);
}

// Reads see the leader's load with a reserve for writes.
double load_of(const upstream_candidate& candidate,
               const upstream_requirements& requirements) {
  bool reserves = candidate.leader && !requirements.leader_only;
  return candidate.fleet_in_flight * (reserves ? leader_factor : 1);
}

bool suits(const upstream_candidate& candidate,
           const upstream_requirements& requirements) {
  if (!candidate.usable || (!candidate.warm && !candidate.can_open))
    return false;
  if (requirements.leader_only && !candidate.leader) return false;
  return !(requirements.excluded >> (candidate.index % 64) & 1U);
}

std::vector<option> options_of(std::span<const upstream_candidate> candidates,
                               const upstream_requirements& requirements) {
  std::vector<option> out;
  for (const auto& candidate : candidates) {
    if (!suits(candidate, requirements)) continue;
    option item;
    item.candidate = &candidate;
    out.push_back(item);
  }
  // An ejected database is better than none.
  auto is_ejected = [](const option& item) {
    return item.candidate->read_share <= 0;
  };
  bool all_ejected = std::all_of(out.begin(), out.end(), is_ejected);
  if (!all_ejected) std::erase_if(out, is_ejected);
  return out;
}

// The loads are compared with those of all usable databases, also of those that
// do not suit this statement.
void compute_costs(std::vector<option>& options,
                   std::span<const upstream_candidate> candidates,
                   const upstream_requirements& requirements) {
  double load_sum = 0;
  double least_latency = INFINITY;
  double count = 0;
  for (const auto& candidate : candidates) {
    if (!candidate.usable) continue;
    load_sum += load_of(candidate, requirements);
    least_latency = std::min(least_latency, latency_of(candidate));
    count += candidate.read_share;
  }
  double mean_load = count > 0 ? load_sum / count : 0;
  for (auto& item : options) {
    const auto& candidate = *item.candidate;
    double load = load_of(candidate, requirements);
    double latency = latency_of(candidate);
    item.load_ratio = (load + load_floor) / (mean_load + load_floor);
    item.latency_ratio =
        std::clamp(latency / least_latency, 1.0, max_latency_ratio);
    item.cost =
        least_latency * item.latency_ratio * (1 + load / candidate.slots);
    if (!candidate.warm) item.cost += in_ms(candidate.open_time);
    // A second attempt is necessary.
    if (candidate.lagging) item.cost += latency;
    item.cost += in_ms(candidate.late_after) * candidate.failure_rate;
  }
}

double weight_of(const option& item) {
  const auto& candidate = *item.candidate;
  double spare = 1 - item.load_ratio / capacity_factor;
  double weight = std::max(min_weight, spare) / item.latency_ratio;
  weight *= candidate.read_share * (1 - candidate.shed_share);
  if (!candidate.warm) weight *= cold_weight;
  if (candidate.leader) {
    weight *=
        std::clamp(1 + leader_full_share_ratio - item.load_ratio, 0.0, 1.0);
  }
  return std::max(weight, min_weight * candidate.read_share);
}

double lowest_cost(std::span<const option> options) {
  double out = INFINITY;
  for (const auto& item : options) out = std::min(out, item.cost);
  return out;
}

// A number from 0 to 1. `stream` makes the draws of one statement independent.
double draw(std::uint64_t seed, std::uint64_t stream) {
  constexpr double unit = 0x1p-53;
  return static_cast<double>(mix(seed + stream) >> 11U) * unit;
}

const option* draw_by_weight(std::span<const option> options, double max_cost,
                             std::uint64_t seed) {
  double sum = 0;
  for (const auto& item : options) {
    if (item.cost <= max_cost) sum += weight_of(item);
  }
  double point = draw(seed, 2) * sum;
  const option* last = nullptr;
  for (const auto& item : options) {
    if (item.cost > max_cost) continue;
    last = &item;
    point -= weight_of(item);
    if (point < 0) break;
  }
  return last;
}

// Reads stay unless the database of the own domain gives some of them away or
// costs clearly more.
const option* stay_in_domain(std::span<const option> near, double max_near,
                             double uncertainty, std::uint64_t seed) {
  auto lowest = lowest_cost(near);
  if (near.empty() || lowest > max_near) return nullptr;
  const option* drawn = draw_by_weight(near, lowest + uncertainty, seed);
  const auto& candidate = *drawn->candidate;
  double stay = (1 - candidate.shed_share) * candidate.read_share;
  return draw(seed, 1) < stay ? drawn : nullptr;
}

}  // namespace

std::optional<std::size_t> choose_by_load(
    std::span<const upstream_candidate> candidates,
    const upstream_requirements& requirements, duration age,
    std::uint64_t seed) {
  auto options = options_of(candidates, requirements);
  if (options.empty()) return {};
  if (options.size() == 1) return options.front().candidate->index;
  compute_costs(options, candidates, requirements);
  double latency = 0;
  for (const auto& item : options)
    latency +=
        latency_of(*item.candidate) / static_cast<double>(options.size());
  std::chrono::duration<double> seconds = std::max(age, duration{0});
  double uncertainty =
      latency * (base_uncertainty + uncertainty_per_s * seconds.count());
  double max_cost = lowest_cost(options) + uncertainty;
  auto is_near = [](const option& item) { return item.candidate->same_domain; };
  auto far = std::stable_partition(options.begin(), options.end(), is_near);
  std::span<const option> near_options(options.begin(), far);
  std::span<const option> far_options(far, options.end());
  auto max_near = max_cost + in_ms(max_domain_detour(candidates));
  const option* own = stay_in_domain(near_options, max_near, uncertainty, seed);
  if (own) return own->candidate->index;
  // The reads that the own domain's databases give away go elsewhere.
  auto others = far_options.empty() ? near_options : far_options;
  auto max_other = std::max(max_cost, lowest_cost(others) + uncertainty);
  return draw_by_weight(others, max_other, seed)->candidate->index;
}

}  // namespace toucanmux
