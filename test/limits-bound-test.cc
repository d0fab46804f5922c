#define BOOST_TEST_MODULE limits_bound
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "limits-fleet.h"

using namespace toucanmux;
using namespace toucanmux::test;

namespace {

constexpr double rounding = 1e-6;

// Factor of the offered load over the rate in an overload.
constexpr double overload_factor = 10;

fleet_options faulty_fleet(std::uint64_t seed) {
  fleet_options options;
  options.seed = seed;
  options.domains = 1 + seed % 3;
  options.instances = 2 + seed % 4;
  options.seats = 1 + seed % 2;
  options.loss = 0.1;
  options.duplicates = 0.05;
  options.stragglers = 0.02;
  options.jitter = milliseconds(3);
  options.lost_answers = 0.25;
  options.check_size = true;
  const double limits[][2] = {{20, 10},  {20, 3},  {100, 50},
                              {100, 12}, {300, 9}, {40, 40}};
  int number = 0;
  for (const auto& [rate, burst] : limits) {
    auto id = team_id("team-" + std::to_string(number++));
    options.teams.push_back({id, rate, burst});
    options.offered_rates.push_back(overload_factor * rate);
  }
  return options;
}

/// Varies a team's load: idle so that its bucket fills, at its rate, or
/// overload.
void vary_load(limits_fleet& fleet, std::size_t team) {
  constexpr double levels[] = {0, 0, 1 / overload_factor, 2 / overload_factor,
                               1};
  fleet.set_load_share(team, levels[fleet.random()() % std::size(levels)]);
  auto wait = milliseconds(100 + fleet.random()() % 1500);
  fleet.after(wait, [&fleet, team] { vary_load(fleet, team); });
}

/// Injects faults, drawn from the fleet's seed, until `end`.
class fault_source {
 public:
  fault_source(limits_fleet& fleet, const fleet_options& options, instant end)
      : fleet_(fleet), options_(options), end_(end) {
    next();
  }

  const std::string& fault_log() const { return fault_log_; }

 private:
  std::uint64_t below(std::uint64_t end) { return fleet_.random()() % end; }

  void log_fault(const std::string& fault) {
    fault_log_ +=
        std::to_string(fleet_.now().time_since_epoch().count() / 1000) + " " +
        fault + "\n";
  }

  void next() {
    fleet_.after(milliseconds(200 + below(4000)), [this] {
      if (fleet_.now() > end_) return;
      start();
      next();
    });
  }

  // Picks a holder for half of the faults.
  std::size_t pick_node() {
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (fleet_.open_seat_count(i) > 0) holders.push_back(i);
    }
    if (holders.empty() || below(2) == 0) return below(fleet_.size());
    return holders[below(holders.size())];
  }

  void start() {
    auto node = pick_node();
    auto domain = below(options_.domains);
    duration fault_duration =
        milliseconds(100 + below(below(2) == 0 ? 1500 : 7000));
    auto target = std::to_string(node) + " for " +
                  std::to_string(fault_duration.count() / 1000) + " ms";
    switch (below(6)) {
      case 0:
        if (!fleet_.alive(node)) return;
        log_fault("kill " + target);
        fleet_.kill(node);
        fleet_.after(fault_duration, [=, this] { fleet_.start(node); });
        return;
      case 1:
        log_fault("pause " + target);
        return fleet_.pause(node, fault_duration);
      case 2:
        log_fault("isolate " + target);
        fleet_.isolate(node, true);
        fleet_.after(fault_duration,
                     [=, this] { fleet_.isolate(node, false); });
        return;
      case 3:
        log_fault("partition domain " + std::to_string(domain));
        fleet_.set_partitioned(domain, true);
        fleet_.after(fault_duration,
                     [=, this] { fleet_.set_partitioned(domain, false); });
        return;
      case 4:
        log_fault("platform down, duration in ms: " +
                  std::to_string(fault_duration.count() / 1000));
        fleet_.platform_down(true);
        fleet_.after(fault_duration * 3,
                     [this] { fleet_.platform_down(false); });
        return;
      default:
        log_fault("platform unreachable from domain " + std::to_string(domain));
        fleet_.set_platform_unreachable(domain, true);
        fleet_.after(fault_duration * 3, [=, this] {
          fleet_.set_platform_unreachable(domain, false);
        });
    }
  }

  limits_fleet& fleet_;
  fleet_options options_;
  instant end_;
  std::string fault_log_;
};

void check_bounds(const limits_fleet& fleet, const fleet_options& options,
                  std::uint64_t seed, const std::string& fault_log) {
  for (std::size_t i = 0; i < options.teams.size(); ++i) {
    const auto& bound = fleet.bounds()[i];
    BOOST_TEST(bound.count() > 0);
    BOOST_TEST(bound.excess() <= rounding,
               "seed " << seed << " " << options.teams[i].team.value
                       << " exceeds its bound by " << bound.excess() << "\n"
                       << fault_log);
  }
}

std::uint64_t env_or(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : default_value;
}

}  // namespace

// Every fault that `fault_source` injects (crash, pause, isolation, partition,
// platform outage) may make two holders grant the same tokens. The bound must
// hold in every time window. TOUCANMUX_SEED and TOUCANMUX_RUNS choose the
// seeds.
BOOST_AUTO_TEST_CASE(admitted_requests_stay_within_the_bound_under_faults) {
  auto first = env_or("TOUCANMUX_SEED", 1);
  auto runs = env_or("TOUCANMUX_RUNS", 12);
  std::cout << "seeds " << first << " to " << first + runs - 1 << std::endl;
  for (auto seed = first; seed < first + runs; ++seed) {
    auto options = faulty_fleet(seed);
    limits_fleet fleet(options);
    fleet.offer_load();
    for (std::size_t i = 0; i < options.teams.size(); ++i) vary_load(fleet, i);
    fault_source faults(fleet, options, fleet.now() + seconds(100));
    fleet.run_until(fleet.now() + seconds(110));
    check_bounds(fleet, options, seed, faults.fault_log());
  }
}

BOOST_AUTO_TEST_CASE(a_lower_limit_applies_within_one_allocation_lifetime) {
  auto options = faulty_fleet(1);
  limits_fleet fleet(options);
  fleet.offer_load();
  for (std::size_t i = 0; i < options.teams.size(); ++i) vary_load(fleet, i);
  fleet.run_until(fleet.now() + seconds(15));
  auto smaller = options.teams;
  std::vector<bound_check> bounds;
  for (auto& team : smaller) {
    team.rate /= 2;
    team.burst /= 2;
    bounds.emplace_back(team.rate, team.burst);
  }
  fleet.configure(smaller, seconds(1));
  fleet.run_until(fleet.now() + seconds(1) +
                  fleet.timing().allocation_lifetime);
  fleet.on_finished = [&](std::size_t team, std::uint64_t, bool was_admitted) {
    if (was_admitted) bounds[team].admitted(fleet.now());
  };
  fleet.run_until(fleet.now() + seconds(30));
  for (const auto& bound : bounds) {
    BOOST_TEST(bound.count() > 0);
    BOOST_TEST(bound.excess() <= rounding);
  }
}
