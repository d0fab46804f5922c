#include "toucanmux/request/candidates.h"

#include <algorithm>
#include <tuple>

namespace toucanmux {

namespace {

// A replica whose recent answers were mostly too old gets a read this often, to
// detect when it has caught up.
constexpr std::chrono::milliseconds probe_interval{50};
constexpr double min_trusted_share = 0.5;
constexpr double fresh_answer_weight = 1.0 / 8;
constexpr double stale_answer_weight = 1.0 / 4;

template <class Hint>
auto* find_hint(Hint& hint, const database_id& database) {
  auto it = std::find_if(
      hint.databases.begin(), hint.databases.end(),
      [&](const database_hint& h) { return h.database == database; });
  return it == hint.databases.end() ? nullptr : &*it;
}

void advance(log_position& known, const log_position& observed) {
  bool later =
      std::tie(observed.term, observed.lsn) > std::tie(known.term, known.lsn);
  if (later) known = observed;
}

bool primary_covers(const group_hint& hint, const log_position& required) {
  const auto* primary = find_hint(hint, hint.primary);
  return primary != nullptr && primary->position.covers(required);
}

// The estimated time until the replica covers `required`; an upper bound as
// long as the replica's lag stays the same. A position that the primary had
// when the hint was received arrives one lag after that; a later one, at most
// one lag from now.
duration position_wait(const known_hint& known, const database_hint& replica,
                       const log_position& required, instant now) {
  if (replica.position.covers(required)) return duration(0);
  if (!primary_covers(known.hint, required)) return replica.age;
  return std::max(duration(0), known.received_at + replica.age - now);
}

// The wait is 0 or infinite: waiting doesn't make data younger.
duration age_wait(const database_hint& replica, duration max_age) {
  if (max_age < duration(0) || replica.age <= max_age) return duration(0);
  return duration::max();
}

template <class Known>
auto* find_stats(Known& known, const database_id& replica) {
  auto it = std::find_if(
      known.replica_stats.begin(), known.replica_stats.end(),
      [&](const auto& stats) { return stats.database == replica; });
  return it == known.replica_stats.end() ? nullptr : &*it;
}

// Hints arrive at intervals and are older than the replica's real position. A
// replica whose answers were mostly fresh is tried at once, as the position of
// its answer is checked.
bool is_trusted(const known_hint& known, const database_id& replica,
                instant now) {
  const auto* stats = find_stats(known, replica);
  return stats == nullptr || stats->trusted(now);
}

duration estimate_wait(const known_hint& known, const database_hint* replica,
                       const freshness& requirement, instant now) {
  if (replica == nullptr) return duration(0);
  auto wait = age_wait(*replica, requirement.max_age);
  if (is_trusted(known, replica->database, now)) return wait;
  return std::max(wait,
                  position_wait(known, *replica, requirement.required, now));
}

int rank(const candidate& c) {
  if (c.primary) return 2;
  return c.own_domain ? 0 : 1;
}

}  // namespace

bool replica_read_stats::trusted(instant now) const {
  return fresh_share >= min_trusted_share ||
         now >= last_stale_answer_at + probe_interval;
}

void observe_read(known_hint& known, const database_id& replica,
                  const log_position& required, bool fresh, instant now) {
  const auto* hint = find_hint(known.hint, replica);
  if (hint != nullptr && hint->position.covers(required)) return;
  auto* stats = find_stats(known, replica);
  if (stats == nullptr) {
    stats =
        &known.replica_stats.emplace_back(replica_read_stats{replica, 1, now});
  }
  if (fresh) {
    stats->fresh_share += (1 - stats->fresh_share) * fresh_answer_weight;
    return;
  }
  stats->fresh_share -= stats->fresh_share * stale_answer_weight;
  stats->last_stale_answer_at = now;
}

void merge_hint(known_hint& known, const group_hint& update, instant now) {
  if (update.term < known.hint.term) return;
  auto previous = std::exchange(known.hint, update);
  known.received_at = now;
  if (previous.term < update.term) return;
  for (auto& replica : known.hint.databases) {
    const auto* previous_hint = find_hint(previous, replica.database);
    if (previous_hint != nullptr)
      advance(replica.position, previous_hint->position);
  }
}

void observe_position(known_hint& known, const database_id& database,
                      const log_position& position) {
  auto* hint = find_hint(known.hint, database);
  if (hint != nullptr) advance(hint->position, position);
}

std::vector<candidate> rank_candidates(const known_hint& known,
                                       std::span<const database> databases,
                                       const domain_id& own_domain,
                                       const freshness& requirement,
                                       instant now) {
  std::vector<candidate> candidates;
  candidates.reserve(databases.size());
  for (const auto& target : databases) {
    const auto* hint = find_hint(known.hint, target.id);
    if (target.leaving || (hint != nullptr && !hint->usable)) continue;
    candidate c{target.id, target.id == known.hint.primary,
                target.domain == own_domain, duration(0)};
    if (!c.primary) c.wait = estimate_wait(known, hint, requirement, now);
    candidates.push_back(std::move(c));
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return candidates;
}

}  // namespace toucanmux
