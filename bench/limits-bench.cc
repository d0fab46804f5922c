#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "../test/limits-fleet.h"

// Measures the accuracy and the cost of the fleet-wide rate limits in a
// simulated fleet of the production classes:
// `limits-bench [refusals|faults|slopes] [SIMULATED_SECONDS] [SEED]`.

using namespace toucanmux;
using namespace toucanmux::test;

namespace {

constexpr double load_factor = 0.8;
constexpr auto warm_up = seconds(10);

struct limits_case {
  double rate;
  double burst;
};
constexpr limits_case cases[] = {{20, 10}, {100, 50}, {400, 200}};

/// Runs the same requests through one central token bucket, through equal
/// shares per instance and through one bucket per domain. A wrong refusal is a
/// refusal of a request that the central bucket admits.
class comparison {
 public:
  comparison(limits_fleet& fleet, const limits_case& limits,
             std::size_t domains, std::size_t instances)
      : fleet_(fleet), central_(limits.rate, limits.burst) {
    auto instance_count = static_cast<double>(domains * instances);
    auto domain_count = static_cast<double>(domains);
    instance_buckets_.assign(
        domains * instances,
        central_bucket(limits.rate / instance_count,
                       std::max(1.0, limits.burst / instance_count)));
    domain_buckets_.assign(domains,
                           central_bucket(limits.rate / domain_count,
                                          limits.burst / domain_count));
    per_domain_ = instances;
    fleet.on_arrival = [this](std::size_t, std::uint64_t id, std::size_t at) {
      arrive(id, at);
    };
    fleet.on_finished = [this](std::size_t, std::uint64_t id, bool admitted) {
      finish(id, admitted);
    };
  }

  void reset() {
    requests_ = wrong_refusals_ = wrong_by_share_ = wrong_by_domain_ = 0;
  }
  double fleet_limits() const { return wrong_refusals_ / requests_ * 100; }
  double equal_shares() const { return wrong_by_share_ / requests_ * 100; }
  double domain_buckets() const { return wrong_by_domain_ / requests_ * 100; }

 private:
  void arrive(std::uint64_t id, std::size_t index) {
    auto now = fleet_.now();
    bool central = central_.admit(now);
    requests_ += 1;
    if (!instance_buckets_[index].admit(now) && central) wrong_by_share_ += 1;
    if (!domain_buckets_[index / per_domain_].admit(now) && central) {
      wrong_by_domain_ += 1;
    }
    central_admits_[id] = central;
  }
  void finish(std::uint64_t id, bool admitted) {
    if (!admitted && central_admits_[id]) wrong_refusals_ += 1;
    central_admits_.erase(id);
  }

  limits_fleet& fleet_;
  central_bucket central_;
  std::vector<central_bucket> instance_buckets_;
  std::vector<central_bucket> domain_buckets_;
  std::size_t per_domain_ = 0;
  std::unordered_map<std::uint64_t, bool> central_admits_;
  double requests_ = 0;
  double wrong_refusals_ = 0;
  double wrong_by_share_ = 0;
  double wrong_by_domain_ = 0;
};

fleet_options make_options(const limits_case& limits, std::uint64_t seed) {
  fleet_options options;
  options.teams = {{team_id("norte"), limits.rate, limits.burst}};
  options.offered_rates = {limits.rate * load_factor};
  options.seed = seed;
  return options;
}

void print_row(const char* label, const limits_case& limits,
               const comparison& result, const limits_fleet& fleet,
               double length) {
  double messages = static_cast<double>(fleet.count.messages);
  std::printf(
      "%-22s %4.0f/%-4.0f equal %6.2f%%  domain %6.3f%%  fleet %6.3f%%  "
      "waited %4.1f%% for %.1f ms  messages %.1f/s per instance  excess %.3f\n",
      label, limits.rate, limits.burst, result.equal_shares(),
      result.domain_buckets(), result.fleet_limits(),
      static_cast<double>(fleet.count.waited) /
          (limits.rate * load_factor * length) * 100,
      fleet.count.wait_seconds * 1e3 /
          std::max(1.0, static_cast<double>(fleet.count.waited)),
      messages / length / static_cast<double>(fleet.size()),
      fleet.bounds()[0].excess());
}

using fault = void (*)(limits_fleet&);

std::size_t find_seat_holder(const limits_fleet& fleet) {
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.open_seat_count(i) > 0) return i;
  }
  return 0;
}

void run_case(const char* label, const limits_case& limits, int length,
              std::uint64_t seed, fault inject) {
  auto options = make_options(limits, seed);
  // With a single seat the fault always hits the seat of the team.
  options.seats = 1;
  limits_fleet fleet(options);
  comparison result(fleet, limits, options.domains, options.instances);
  fleet.offer_load();
  fleet.run_until(fleet.now() + warm_up);
  result.reset();
  fleet.count = {};
  if (inject) inject(fleet);
  fleet.run_until(fleet.now() + seconds(length));
  print_row(label, limits, result, fleet, length);
}

void measure_refusals(int length, std::uint64_t seed) {
  for (const auto& limits : cases) {
    run_case("no fault", limits, length, seed, nullptr);
  }
}

void measure_faults(int length, std::uint64_t seed) {
  for (const auto& limits : cases) {
    run_case("holder killed", limits, length, seed,
             [](limits_fleet& fleet) { fleet.kill(find_seat_holder(fleet)); });
    run_case("platform down", limits, length, seed,
             [](limits_fleet& fleet) { fleet.platform_down(true); });
    run_case("both", limits, length, seed, [](limits_fleet& fleet) {
      fleet.platform_down(true);
      fleet.kill(find_seat_holder(fleet));
    });
    run_case("one domain partitioned", limits, length, seed,
             [](limits_fleet& fleet) { fleet.set_partitioned(0, true); });
  }
}

void measure_size(std::size_t instances, std::size_t teams, int length,
                  std::uint64_t seed) {
  fleet_options options;
  options.instances = instances / options.domains;
  options.seed = seed;
  options.check_size = true;
  for (std::size_t i = 0; i < teams; ++i) {
    options.teams.push_back({team_id("team-" + std::to_string(i)), 20, 10});
    options.offered_rates.push_back(20 * load_factor);
  }
  limits_fleet fleet(options);
  fleet.offer_load();
  fleet.run_until(fleet.now() + warm_up);
  fleet.count = {};
  fleet.measure = true;
  fleet.run_until(fleet.now() + seconds(length));
  auto instance_count = static_cast<double>(fleet.size());
  auto messages = static_cast<double>(fleet.count.messages);
  auto steps = static_cast<double>(fleet.count.steps);
  double seats = static_cast<double>(options.seats * options.domains);
  std::printf(
      "instances %4zu teams %4zu: messages %8.1f/s per instance, %8.1f/s per "
      "seat; %6.0f bytes each; %7.2f us per step; %6.3f%% of a processor per "
      "instance; platform calls %.2f/s\n",
      fleet.size(), teams, messages / length / instance_count,
      static_cast<double>(fleet.count.holder_messages) / length / seats,
      static_cast<double>(fleet.count.bytes) / std::max(1.0, messages),
      fleet.count.seconds / steps * 1e6,
      fleet.count.seconds / length / instance_count * 100,
      static_cast<double>(fleet.count.platform_calls) / length);
}

void scaling(int length, std::uint64_t seed) {
  for (std::size_t count : {12, 99, 498}) measure_size(count, 8, length, seed);
  for (std::size_t teams : {80, 800}) measure_size(12, teams, length, seed);
}

}  // namespace

int main(int argc, char** argv) {
  std::string_view mode = argc > 1 ? argv[1] : "";
  int length = argc > 2 ? std::atoi(argv[2]) : 300;
  std::uint64_t seed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
  if (mode.empty() || mode == "refusals") measure_refusals(length, seed);
  if (mode.empty() || mode == "faults") measure_faults(length, seed);
  if (mode.empty() || mode == "slopes") scaling(std::min(length, 10), seed);
}
