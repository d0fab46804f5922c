#include "toucanmux/proxy/placement/group-placement.h"

#include <algorithm>

#include "toucanmux/proxy/placement/load-choice.h"

namespace toucanmux {

namespace {

// An instance's own reads are known without delay and can be trusted.
constexpr double own_weight = 3;
// With fewer statements in progress in the mean, ratios of loads are random.
constexpr double load_floor = 0.2;

double weighted(double own, double own_reads, double peers, double peer_reads) {
  auto weight = own_weight * own_reads + peer_reads;
  if (weight <= 0) return 0;
  return (own * own_weight * own_reads + peers * peer_reads) / weight;
}

duration latency_of(const database_load& own, const database_load& peers) {
  auto ticks = weighted(static_cast<double>(own.latency.count()),
                        own.latency > duration{0} ? own.reads : 0,
                        static_cast<double>(peers.latency.count()),
                        peers.latency > duration{0} ? peers.reads : 0);
  return duration(static_cast<duration::rep>(ticks));
}

double failure_rate_of(const database_load& own, const database_load& peers) {
  return weighted(own.failed_rate + own.refused_rate, own.reads,
                  peers.failed_rate + peers.refused_rate, peers.reads);
}

// An ejected database has no part in the mean: compared with it, all others
// would seem overloaded.
void compute_ratios(std::span<group_placement::known_database> databases) {
  double sum = 0;
  double count = 0;
  for (const auto& known : databases) {
    if (!known.usable) continue;
    sum += known.peers_in_flight + known.own_in_flight;
    count += known.read_share;
  }
  if (count <= 0) return;
  for (auto& known : databases) {
    auto load = known.peers_in_flight + known.own_in_flight;
    known.load_ratio = (load + load_floor) / (sum / count + load_floor);
  }
}

}  // namespace

std::vector<ejection_policy::event> group_placement::update(
    instant now, const load_view& view, std::span<const database_state> group) {
  std::vector<database_load> own;
  for (const auto& state : group) own.push_back(state.own);
  auto loads = view.loads(now, own);
  std::vector<ejection_policy::evidence> evidence;
  databases_.clear();
  for (std::size_t i = 0; i < group.size(); ++i) {
    const auto& peers = loads[i].peers;
    evidence.push_back({own[i].database, group[i].usable, own[i], peers});
    known_database known;
    known.database = own[i].database;
    known.usable = group[i].usable;
    known.peers_in_flight = peers.in_flight;
    known.own_in_flight = own[i].in_flight;
    known.latency = latency_of(own[i], peers);
    known.failure_rate = failure_rate_of(own[i], peers);
    known.age = peers.age;
    known.read_share = ejections_.share(now, known.database);
    databases_.push_back(known);
  }
  compute_ratios(databases_);
  std::vector<shed_control::database_ratio> ratios;
  for (const auto& known : databases_) {
    // An unusable database has no load to give away.
    if (known.usable) ratios.push_back({known.database, known.load_ratio});
  }
  sheds_.update(now, ratios);
  auto age = view.age(now);
  known_ = age.has_value();
  age_ = age.value_or(duration{0});
  updated_at_ = now;
  return ejections_.evaluate(now, evidence);
}

void group_placement::describe(instant now,
                               upstream_candidate& candidate) const {
  candidate.fleet_latency = candidate.response_time;
  candidate.fleet_in_flight = candidate.in_flight;
  if (candidate.index >= databases_.size()) return;
  const auto& known = databases_[candidate.index];
  // Statements that were sent since the last update count at once.
  auto own = std::max<double>(known.own_in_flight, candidate.in_flight);
  candidate.fleet_in_flight = known.peers_in_flight + own;
  if (known.latency > duration{0}) candidate.fleet_latency = known.latency;
  candidate.failure_rate = known.failure_rate;
  candidate.read_share = ejections_.share(now, known.database);
  candidate.shed_share = sheds_.shed_share(known.database);
}

std::optional<std::size_t> group_placement::choose(
    instant now, std::span<upstream_candidate> candidates,
    const upstream_requirements& requirements, std::uint64_t seed) const {
  if (!known_) return choose_upstream(candidates, requirements);
  for (auto& candidate : candidates) describe(now, candidate);
  return choose_by_load(candidates, requirements, age_ + (now - updated_at_),
                        seed);
}

void group_placement::clear() {
  databases_.clear();
  known_ = false;
  sheds_.clear();
  ejections_.clear();
}

}  // namespace toucanmux
