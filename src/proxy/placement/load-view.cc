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

database_load load_view::peers_load(instant now, std::uint32_t database) const {
  database_load out;
  database_load wanted;
  out.database = wanted.database = database;
  for (const auto& [id, reporter] : sources_) {
    if (!is_recent(now, reporter)) continue;
    auto found = std::lower_bound(reporter.loads.begin(), reporter.loads.end(),
                                  wanted, refers_to_less);
    if (found == reporter.loads.end() || found->database != database) continue;
    database_load aged = *found;
    aged.age += now - reporter.received_at;
    add_load(out, aged);
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
  auto add = [&](const database_load& load, duration since_received) {
    auto [total, added] = totals.try_emplace(load.database);
    total->second.database = load.database;
    database_load aged = load;
    aged.age += since_received;
    add_load(total->second, aged);
  };
  for (const auto& load : own) add(load, duration{0});
  for (const auto& [id, reporter] : sources_) {
    bool counts = all || reporter.kind == source_kind::instance;
    if (!counts || !is_recent(now, reporter)) continue;
    for (const auto& load : reporter.loads)
      add(load, now - reporter.received_at);
  }
  std::vector<database_load> out;
  out.reserve(totals.size());
  for (const auto& [database, total] : totals) out.push_back(total);
  return out;
}

}  // namespace toucanmux
