#include <algorithm>
#include <array>

#include "proxy/journal.h"
#include "proxy/upstream-group.h"
#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

// A mean load is logged in thousandths of a statement.
constexpr double log_scale = 1000;

std::string_view name_of(ejection_policy::reason cause) {
  constexpr std::array<std::string_view, 3> names{"failing", "refusing",
                                                  "slow"};
  return names[static_cast<std::size_t>(cause)];
}

}  // namespace

// Only statements are counted as work in progress: a connection that an open
// transaction holds between its statements takes no slot.
database_load upstream_group::own_load(const upstream& database) const {
  instant now = loop_.now();
  duration outstanding{0};
  for (const auto& link : database.links) {
    if (auto sent_at = link->oldest_unanswered_at())
      outstanding += std::min<duration>(now - *sent_at, max_outstanding);
  }
  return database.meter.load(
      now, database_reference(id_.value, database.entry.id.value), outstanding);
}

void upstream_group::add_own_loads(std::vector<database_load>& out) const {
  for (const auto& up : upstreams_) {
    bool reported = up->in_flight > 0 || up->meter.used(loop_.now());
    if (reported) out.push_back(own_load(*up));
  }
}

void upstream_group::update_placement(const load_view* view) {
  if (!view) {
    if (balances_) placement_.clear();
    balances_ = false;
    return;
  }
  balances_ = true;
  std::vector<group_placement::database_state> states;
  for (const auto& up : upstreams_) {
    bool gets_reads = usable(*up) && !up->draining_since;
    states.push_back({gets_reads, own_load(*up)});
  }
  for (const auto& event : placement_.update(loop_.now(), *view, states))
    log_ejection(event, states);
}

void upstream_group::log_ejection(
    const ejection_policy::event& event,
    std::span<const group_placement::database_state> states) {
  for (std::size_t i = 0; i < states.size(); ++i) {
    if (states[i].own.database != event.database) continue;
    const auto& known = placement_.databases()[i];
    auto in_flight = known.peers_in_flight + known.own_in_flight;
    log_.write(
        journal_kind::belief,
        event.ejected ? "database_ejected" : "database_returns",
        {{"group", id_.value},
         {"upstream", upstreams_[i]->entry.id.value},
         {"reason", name_of(event.cause)},
         {"for_ms", event.time},
         {"failed_permille",
          static_cast<std::uint64_t>(known.failure_rate * log_scale)},
         {"latency_ms", known.latency},
         {"load_permille", static_cast<std::uint64_t>(in_flight * log_scale)},
         {"age_ms", known.age}});
  }
}

// The seed is the same whenever a waiting statement is tried again.
std::optional<std::size_t> upstream_group::choose(
    std::span<upstream_candidate> candidates,
    const link_request& request) const {
  if (!balances_) return choose_upstream(candidates, request.requirements);
  auto arrival = static_cast<std::uint64_t>(
      request.waiting_since.time_since_epoch().count());
  auto seed = mix(placement_seed_ ^ arrival) ^ stable_hash(request.team.value);
  return placement_.choose(loop_.now(), candidates, request.requirements, seed);
}

void upstream_group::meter_opening(upstream& database) {
  database.meter.add_work(loop_.now(), database.open_time);
}

void upstream_group::meter_answer(const upstream_link& link,
                                  const link_answer& answer) {
  if (!balances_ || answer.purpose != link_purpose::statement) return;
  using outcome = load_meter::outcome;
  instant now = loop_.now();
  upstream& up = *upstreams_[link.upstream()];
  auto taken = now - answer.sent_at;
  up.meter.add_work(now, taken);
  if (link.for_leader_only()) return;
  if (answer.ok) up.meter.record_read(now, outcome::served, taken);
}

// Answers with an error, late answers and lost connections alike.
void upstream_group::record_failure(std::size_t index, bool leader_only) {
  upstream& up = *upstreams_[index];
  up.outcomes.record(loop_.now(), true);
  if (leader_only) return;
  up.meter.record_read(loop_.now(), load_meter::outcome::failed, duration{0});
}

void upstream_group::record_refusal(std::size_t index, bool leader_only) {
  upstream& up = *upstreams_[index];
  up.refusals.record(loop_.now());
  if (leader_only) return;
  up.outcomes.record(loop_.now(), true);
  up.meter.record_read(loop_.now(), load_meter::outcome::refused, duration{0});
}

}  // namespace toucanmux
