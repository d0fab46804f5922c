#include "proxy/leader-service.h"

#include <algorithm>
#include <array>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration call_timeout = milliseconds(1000);
// Delay between the starts of two instances' takeovers of one leader, so that
// usually only one instance attempts it.
constexpr duration turn_spacing = milliseconds(400);
// A promotion becomes visible in discovery after about a second.
constexpr duration delay_after_promotion = seconds(3);
constexpr duration delay_after_failure = milliseconds(700);
// How long a group must have no leader before a takeover starts: another
// instance's takeover may be running.
constexpr duration leaderless_timeout = milliseconds(2500);

// Without a confirmation by the store for this long, no takeover starts.
constexpr duration store_age_limit = milliseconds(1800);
// How long to wait for another instance's takeover, while that instance sends
// reports and while it is silent.
constexpr duration active_holder_timeout = milliseconds(6000);
constexpr duration silent_holder_timeout = milliseconds(1300);

constexpr std::array<std::string_view, 6> outcome_names{
    "named", "yielded", "no_duty", "no_candidate", "not_named", "given_back"};
constexpr std::array<std::string_view, 5> cause_names{
    "none", "suspected", "failed", "leaves", "leaderless"};

}  // namespace

leader_service::leader_service(proxy_state& state, peer_service& peers,
                               store_sync& store)
    : state_(state),
      peers_(peers),
      store_(store),
      failover_client_(state.loop, state.settings.failover_address) {}

void leader_service::tick() {
  end_takeovers_of_older_generation();
  takeover::settings values;
  values.tokens_checked = state_.settings.tokens_checked;
  for (auto& [id, group] : state_.groups) {
    auto [entry, inserted] =
        groups_.try_emplace(id, values, state_.settings.self);
    tick_group(*group, entry->second);
  }
}

void leader_service::end_takeovers_of_older_generation() {
  if (state_.store.current() == generation_) return;
  generation_ = state_.store.current();
  for (auto& [id, state] : groups_) step_takeover(id, store_restored{});
}

void leader_service::tick_group(upstream_group& group, group_state& state) {
  note_leader(group, state);
  if (state.replacement.running()) return tick_takeover(group, state);
  instant now = state_.loop.now();
  auto reason = takeover_cause(group, state);
  if (reason == cause::none || state_.stopping) {
    state.due_since.reset();
    return;
  }
  if (!state.due_since) {
    state.due_since = now;
    state_.log.write(
        journal_kind::belief, "leader_change_due",
        {{"group", group.id().value},
         {"cause", cause_names[static_cast<std::size_t>(reason)]},
         {"leader", state.last_leader ? state.last_leader->value : ""}});
  }
  if (now < state.next_attempt_at) return;
  if (now - *state.due_since < own_turn_delay(group, reason)) return;
  start_takeover(group, state, reason);
}

// The failure of a suspected leader is examined while its leases expire.
void leader_service::tick_takeover(upstream_group& group,
                                   const group_state& state) {
  const auto& id = group.id();
  if (auto leader = group.expected_leader()) {
    auto reason = assess_leader(group, *leader);
    if (reason == cause::failed) step_takeover(id, failure_confirmed{});
    if (reason == cause::none && !group.watch().failing()) {
      step_takeover(id, suspicion_withdrawn{});
    }
  }
  // A lease of an older generation may be held by an instance that the
  // restored list lacks.
  bool all_informed = state.replacement.awaiting_lease_expiry() &&
                      state_.store.older_leases_ended(state_.loop.now()) &&
                      state.lease_holders &&
                      peers_.all_know_leaders(*state.lease_holders);
  if (all_informed) step_takeover(id, leases_released{});
  step_takeover(id, takeover_tick{});
}

void leader_service::note_leader(const upstream_group& group,
                                 group_state& state) {
  if (auto last = group.expected_leader()) state.last_leader = last;
  if (group.has_leader()) {
    state.leaderless_since.reset();
  } else if (!state.leaderless_since) {
    state.leaderless_since = state_.loop.now();
  }
}

leader_service::cause leader_service::takeover_cause(upstream_group& group,
                                                     const group_state& state) {
  if (!peers_.may_replace_leaders() || !state.last_leader) return cause::none;
  // Without the store no fencing token is available, and the calls of a
  // takeover would only delay other calls.
  if (state_.leader_leases.age(state_.loop.now()) > store_age_limit)
    return cause::none;
  if (!state_.leader_leases.follows(state_.store.current())) return cause::none;
  if (peer_takeover_active(group)) return cause::none;
  auto leader = group.leader();
  if (!leader) {
    auto since = std::max(*state.leaderless_since,
                          state_.leader_leases.known_since(group.hash()));
    bool long_enough = state_.loop.now() - since > leaderless_timeout;
    return long_enough ? cause::leaderless : cause::none;
  }
  if (group.leader_is_draining()) return cause::leaves;
  return assess_leader(group, *leader);
}

leader_service::cause leader_service::assess_leader(upstream_group& group,
                                                    const database_id& leader) {
  instant now = state_.loop.now();
  auto verdict = group.watch().check(now, peers_.member_count());
  if (verdict == leader_watch::verdict::failed) return cause::failed;
  if (verdict == leader_watch::verdict::read_entry) {
    store_.read_upstream_entry(group.id(), leader);
  }
  bool suspected = group.watch().is_unreachable(now, peers_.member_count());
  return suspected ? cause::suspected : cause::none;
}

// A silent holder may have crashed during its takeover.
bool leader_service::peer_takeover_active(const upstream_group& group) const {
  const leader_record* record = group.record();
  if (!record || record->phase == leadership_phase::settled) return false;
  if (record->holder == short_hash(state_.settings.self.value)) return false;
  auto since = state_.leader_leases.known_since(group.hash());
  auto limit = peers_.is_active(record->holder) ? active_holder_timeout
                                                : silent_holder_timeout;
  return state_.loop.now() - since < limit;
}

// The delay by this instance's place in the order of turns. Instances that
// don't see the leader failing take no turn.
duration leader_service::own_turn_delay(upstream_group& group,
                                        cause reason) const {
  auto replacers = peers_.leader_replacers();
  if (reason == cause::suspected || reason == cause::failed) {
    auto witnesses = group.watch().peers_seeing_failure(state_.loop.now());
    std::erase_if(replacers, [&](const member_id& m) {
      return std::find(witnesses.begin(), witnesses.end(), m) ==
             witnesses.end();
    });
  }
  auto turn = peers_.own_turn(group.id().value, std::move(replacers));
  return turn_spacing * static_cast<std::int64_t>(turn);
}

void leader_service::start_takeover(upstream_group& group, group_state& state,
                                    cause reason) {
  takeover_start start;
  bool planned = reason == cause::leaves;
  start.group = group.id();
  start.leader = *state.last_leader;
  start.planned = planned;
  start.suspected = reason == cause::suspected;
  start.leaderless = reason == cause::leaderless;
  start.responsive_peers = peers_.active_peers();
  start.generation = state_.store.current();
  if (const leader_record* record = group.record()) {
    start.known_revision = record->revision;
    start.known_since = state_.leader_leases.known_since(group.hash());
  }
  start.term = group.leader_term();
  const auto* policy = state_.config->find_group(group.id());
  start.sync_replicas = policy ? policy->sync_replicas : 0;
  for (const auto* up : group.upstreams()) {
    if (up->removed_at) continue;
    bool is_leader = up->entry.id == start.leader;
    if (!is_leader) ++start.replica_count;
    // Without a leader, the last one is a candidate like any other.
    bool may_lead = !is_leader || (!planned && !group.has_leader());
    if (may_lead && !up->draining_since)
      start.candidates.push_back(up->entry.id);
  }
  if (avoids_drained_domains(group, start)) {
    std::erase_if(start.candidates, [&](const database_id& database) {
      return group.is_drained(*group.find(database));
    });
  }
  if (start.candidates.empty()) return;
  state_.log.write(journal_kind::belief, "leader_change_begins",
                   {{"group", start.group.value},
                    {"leader", start.leader.value},
                    {"cause", cause_names[static_cast<std::size_t>(reason)]},
                    {"term", start.term},
                    {"candidates", std::uint64_t{start.candidates.size()}}});
  step_takeover(group.id(), start);
}

void leader_service::step_takeover(const group_id& id,
                                   const takeover_event& event) {
  end_takeovers_of_older_generation();
  auto at = groups_.find(id);
  if (at == groups_.end()) return;
  auto actions = at->second.replacement.step(state_.loop.now(), event);
  for (const auto& action : actions) execute(id, action);
}

void leader_service::execute(const group_id& id,
                             const takeover_action& action) {
  std::visit(
      overloaded{
          [&](const read_duty& request) {
            store_.call(store_api::read_duty(request.group, generation_),
                        call_timeout, [this, id](http_result&& result) {
                          handle_duty_read(id, result);
                        });
          },
          [&](const write_duty& request) { write_duty_object(request); },
          [&](const query_position& request) {
            query_database(id, request.database, link_purpose::ask_status, 0);
          },
          [&](const fence_replica& request) {
            query_database(id, request.database, link_purpose::fence,
                           request.term);
          },
          [&](const step_down& request) {
            query_database(id, request.database, link_purpose::step_down,
                           request.term);
          },
          [&](const request_promotion& request) { send_promotion(request); },
          [&](const takeover_ended& request) {
            handle_ended(id, request.outcome);
          }},
      action);
}

void leader_service::query_database(const group_id& group,
                                    const database_id& id, link_purpose kind,
                                    std::uint64_t term) {
  auto* target = state_.find_group(group);
  if (!target) return;
  target->send_control_request(id, kind, term, [this, group, id](auto status) {
    position_received reply;
    reply.database = id;
    reply.answered = status.has_value();
    if (status) {
      reply.leads = status->is_leader;
      reply.term = status->term;
      reply.received = status->received_position;
    }
    // The callback may run inside one of the group's own functions.
    state_.loop.defer([this, group, reply] { step_takeover(group, reply); });
  });
}

void leader_service::handle_duty_read(const group_id& id,
                                      const http_result& result) {
  auto duty = store_api::parse_duty(result);
  if (duty.store_reached && !duty.exists) duty = store_.inherited_duty(id);
  if (duty.exists) {
    state_.leader_leases.apply_record(
        state_.loop.now(), store_api::to_leader_record(id, duty, generation_));
  }
  step_takeover(id, duty);
}

void leader_service::write_duty_object(const write_duty& request) {
  store_.call(store_api::write_duty(request, generation_), call_timeout,
              [this, request](http_result&& result) {
                auto outcome = store_api::parse_duty_outcome(result);
                if (outcome.outcome == duty_write_outcome::unknown) {
                  return verify_write(request);
                }
                handle_duty_written(request, outcome);
              });
}

// Reads the object after a write without an answer, which may have taken
// effect.
void leader_service::verify_write(const write_duty& request) {
  store_.call(store_api::read_duty(request.group, generation_), call_timeout,
              [this, request](http_result&& result) {
                handle_duty_written(
                    request, store_api::duty_outcome_by_read(result, request));
              });
}

// Peers act on the record once they receive it, so it is sent at once.
void leader_service::handle_duty_written(const write_duty& request,
                                         const duty_written& result) {
  if (result.outcome == duty_write_outcome::written) {
    state_.leader_leases.apply_record(
        state_.loop.now(),
        store_api::to_leader_record(request, result.revision, generation_));
    peers_.report_now();
    if (request.phase == leadership_phase::revoked) {
      groups_.at(request.group).lease_holders.reset();
      list_lease_holders(request.group);
    }
  }
  step_takeover(request.group, result);
}

// An instance holds a lease only once it is registered. So a list that is read
// after the revocation has all instances that may hold an older lease.
void leader_service::list_lease_holders(const group_id& id) {
  store_.call(
      store_api::list_members({}, read_consistency::linearizable), call_timeout,
      [this, id](http_result&& result) { handle_lease_holders(id, result); });
}

void leader_service::handle_lease_holders(const group_id& id,
                                          const http_result& result) {
  auto page = result.answered && result.status == 200
                  ? store_api::parse_members(result.body)
                  : std::nullopt;
  // Further pages are not read. Without the list the leases have to expire.
  if (!page || !page->continue_after.empty()) return;
  // So do those of an instance whose record can't be read.
  bool hides_holder = std::any_of(
      page->skipped.begin(), page->skipped.end(), [&](const auto& name) {
        return name == store_api::unnamed || peers_.knows(member_id(name));
      });
  if (hides_holder) return;
  groups_.at(id).lease_holders = std::move(page->members);
}

void leader_service::send_promotion(const request_promotion& request) {
  state_.log.write(journal_kind::belief, "leader_named",
                   {{"group", request.group.value},
                    {"upstream", request.database.value},
                    {"token", request.token},
                    {"generation", state_.store.current()}});
  failover_client_.call(
      store_api::request_promotion(request), call_timeout,
      [this, request](http_result&& result) {
        step_takeover(request.group,
                      promotion_ended{store_api::parse_promotion(result)});
      });
}

void leader_service::handle_ended(const group_id& id,
                                  takeover_outcome outcome) {
  group_state& state = groups_.at(id);
  state.next_attempt_at =
      state_.loop.now() + (outcome == takeover_outcome::named
                               ? delay_after_promotion
                               : delay_after_failure);
  state.leaderless_since.reset();
  state.due_since.reset();
  state_.log.write(journal_kind::belief, "leader_change_ended",
                   {{"group", id.value},
                    {"how", outcome_names[static_cast<std::size_t>(outcome)]}});
}

}  // namespace toucanmux
