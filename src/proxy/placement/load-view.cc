#include "toucanmux/proxy/placement/load-view.h"

#include <algorithm>
#include <cmath>

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Reports are up to 1.5 s old in normal operation.
constexpr duration useful_lifetime = milliseconds(1500);
// Time in which the deviation from the mean halves beyond that age.
constexpr duration half_life = seconds(1);
// Longer than a hub may be gone before another one takes its place.
constexpr duration expiry = seconds(5);
// Beyond the connections that the largest share allows one instance at one
// database, and sums of that. A report with higher values is hostile or false.
constexpr double max_instance_load = 64;
constexpr double max_instance_reads = 30;
// With this many instances, the claim of one of them is limited to a multiple
// of the others' mean, so that a false report moves few reads.
constexpr std::size_t min_instances = 8;
constexpr double max_to_mean = 4;
// Below these an instance is not limited, since too few reports say what is
// usual. An ejected database has few reads besides, and in a large fleet an
// instance has less than one statement at a database in the mean.
constexpr double min_load_limit = 0.25;
constexpr double min_reads_limit = 1;
constexpr double max_domain_load = 512;
constexpr double max_fleet_load = 2048;

double max_load(load_view::source_kind kind) {
  switch (kind) {
    case load_view::source_kind::instance:
      return max_instance_load;
    case load_view::source_kind::domain:
      return max_domain_load;
    case load_view::source_kind::fleet:
      return max_fleet_load;
  }
  return max_instance_load;
}

double retained_deviation(duration age) {
  if (age <= useful_lifetime) return 1;
  std::chrono::duration<double> excess = age - useful_lifetime;
  return std::exp2(-excess / half_life);
}

bool refers_to_less(const database_load& one, const database_load& other) {
  return one.database < other.database;
}

}  // namespace

bool load_view::is_recent(instant now, const source& reporter) {
  return now - reporter.received_at <= expiry;
}

void load_view::apply(instant now, std::uint64_t source_id, source_kind kind,
                      std::span<const database_load> loads) {
  std::erase_if(sources_,
                [&](const auto& item) { return !is_recent(now, item.second); });
  source& reporter = sources_[source_id];
  reporter.kind = kind;
  reporter.received_at = now;
  reporter.loads.assign(loads.begin(), loads.end());
  for (auto& load : reporter.loads) {
    load.in_flight = std::min(load.in_flight, max_load(kind));
  }
  auto& kept = reporter.loads;
  std::stable_sort(kept.begin(), kept.end(), refers_to_less);
  // A report names a database once; further entries of it are ignored.
  kept.erase(std::unique(kept.begin(), kept.end(),
                         [](const auto& one, const auto& other) {
                           return one.database == other.database;
                         }),
             kept.end());
}

std::optional<duration> load_view::age(instant now) const {
  duration sum{0};
  duration::rep count = 0;
  for (const auto& [id, reporter] : sources_) {
    if (!is_recent(now, reporter)) continue;
    duration entry_age{0};
    for (const auto& load : reporter.loads)
      entry_age = std::max(entry_age, load.age);
    sum += now - reporter.received_at + entry_age;
    ++count;
  }
  if (count == 0) return {};
  return sum / count;
}

const database_load* load_view::source::find(std::uint32_t database) const {
  database_load wanted;
  wanted.database = database;
  auto found =
      std::lower_bound(loads.begin(), loads.end(), wanted, refers_to_less);
  bool known = found != loads.end() && found->database == database;
  return known ? &*found : nullptr;
}

load_view::claim_limits load_view::instance_limits(
    instant now, std::uint32_t database) const {
  claim_limits sum{0, 0};
  claim_limits highest{0, 0};
  std::size_t count = 0;
  for (const auto& [id, reporter] : sources_) {
    bool counts =
        reporter.kind == source_kind::instance && is_recent(now, reporter);
    if (!counts) continue;
    ++count;
    const auto* found = reporter.find(database);
    if (!found) continue;
    sum.in_flight += found->in_flight;
    sum.reads += found->reads;
    highest.in_flight = std::max(highest.in_flight, found->in_flight);
    highest.reads = std::max(highest.reads, found->reads);
  }
  if (count < min_instances) return {max_instance_load, max_instance_reads};
  auto factor = max_to_mean / static_cast<double>(count - 1);
  return {
      std::max(min_load_limit, factor * (sum.in_flight - highest.in_flight)),
      std::max(min_reads_limit, factor * (sum.reads - highest.reads))};
}

database_load load_view::aged(instant now, const source& reporter,
                              const database_load& load,
                              const claim_limits& limits) {
  database_load out = load;
  out.age += now - reporter.received_at;
  if (reporter.kind != source_kind::instance) return out;
  out.in_flight = std::min(out.in_flight, limits.in_flight);
  out.reads = std::min(out.reads, limits.reads);
  return out;
}

database_load load_view::peers_load(instant now, std::uint32_t database) const {
  database_load out;
  out.database = database;
  auto limits = instance_limits(now, database);
  for (const auto& [id, reporter] : sources_) {
    if (!is_recent(now, reporter)) continue;
    const auto* found = reporter.find(database);
    if (found) add_load(out, aged(now, reporter, *found, limits));
  }
  return out;
}

std::vector<fleet_load> load_view::loads(
    instant now, std::span<const database_load> own) const {
  std::vector<fleet_load> out;
  double mean = 0;
  auto oldest = age(now).value_or(duration{0});
  for (const auto& load : own) {
    fleet_load item;
    item.peers = peers_load(now, load.database);
    if (item.peers.in_flight <= 0) item.peers.age = oldest;
    mean += item.peers.in_flight / static_cast<double>(own.size());
    out.push_back(item);
  }
  for (std::size_t i = 0; i < out.size(); ++i) {
    auto retained = retained_deviation(out[i].peers.age);
    auto& in_flight = out[i].peers.in_flight;
    in_flight = mean + (in_flight - mean) * retained;
    out[i].in_flight = in_flight + own[i].in_flight;
  }
  return out;
}

std::vector<database_load> load_view::sums(instant now,
                                           std::span<const database_load> own,
                                           bool all) const {
  std::map<std::uint32_t, database_load> totals;
  std::map<std::uint32_t, claim_limits> limits;
  for (const auto& load : own) {
    database_load& total = totals[load.database];
    total.database = load.database;
    add_load(total, load);
  }
  for (const auto& [id, reporter] : sources_) {
    bool is_instance = reporter.kind == source_kind::instance;
    if ((!all && !is_instance) || !is_recent(now, reporter)) continue;
    for (const auto& load : reporter.loads) {
      auto [limit, unknown] = limits.try_emplace(load.database);
      if (unknown) limit->second = instance_limits(now, load.database);
      database_load& total = totals[load.database];
      total.database = load.database;
      add_load(total, aged(now, reporter, load, limit->second));
    }
  }
  std::vector<database_load> out;
  out.reserve(totals.size());
  for (const auto& [database, total] : totals) out.push_back(total);
  return out;
}

}  // namespace toucanmux
