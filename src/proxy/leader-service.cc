#include "proxy/leader-service.h"

#include <algorithm>
#include <array>

#include "toucanmux/hash.h"
#include "toucanmux/process/rendezvous.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration call_timeout = milliseconds(1000);
// Instances take their turn at a change this far apart, so that one usually
// does it alone.
constexpr duration turn_spacing = milliseconds(400);
// A promotion shows in discovery after about a second.
constexpr duration delay_after_promotion = seconds(3);
constexpr duration delay_after_failure = milliseconds(700);
// A group without a leader is left alone for so long: a change may be under
// way.
constexpr duration leaderless_timeout = milliseconds(2500);

constexpr duration store_age_limit = milliseconds(1800);
// Another instance that is heard gets so long for a change, and one that is
// silent so long.
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
      failover_client_(state.loop, state.settings.failover) {}

void leader_service::tick() {
  takeover::settings values;
  values.tokens_checked = state_.settings.tokens_checked;
  for (auto& [id, group] : state_.groups) {
    auto [at, fresh] = groups_.try_emplace(id, values, state_.settings.self);
    tick_group(*group, at->second);
  }
}

void leader_service::tick_group(upstream_group& group, group_state& what) {
  note_leader(group, what);
  if (what.replacement.running()) return tick_takeover(group, what);
  instant now = state_.loop.now();
  auto why = due_cause(group, what);
  if (why == cause::none || state_.stopping) {
    what.due_since.reset();
    return;
  }
  if (!what.due_since) {
    what.due_since = now;
    state_.log.write(
        journal_event::belief, "leader_change_due",
        {{"group", group.id().value},
         {"cause", cause_names[static_cast<std::size_t>(why)]},
         {"leader", what.last_leader ? what.last_leader->value : ""}});
  }
  if (now < what.next_attempt_at) return;
  if (now - *what.due_since < own_turn_delay(group, why)) return;
  start_takeover(group, what, why);
}

// While a suspected leader's leases run out its failure is looked into.
void leader_service::tick_takeover(upstream_group& group,
                                   const group_state& what) {
  const auto& id = group.id();
  if (auto leader = group.last_leader()) {
    auto why = assess_leader(group, *leader);
    if (why == cause::failed) step_takeover(id, failure_confirmed{});
    if (why == cause::none && !group.watch().failing()) {
      step_takeover(id, suspicion_withdrawn{});
    }
  }
  bool known = what.replacement.awaiting_lease_expiry() && what.lease_holders &&
               peers_.all_know_leads(*what.lease_holders);
  if (known) step_takeover(id, leases_released{});
  step_takeover(id, takeover_tick{});
}

void leader_service::note_leader(const upstream_group& group,
                                 group_state& what) {
  if (auto last = group.last_leader()) what.last_leader = last;
  if (group.has_leader()) {
    what.leaderless_since.reset();
  } else if (!what.leaderless_since) {
    what.leaderless_since = state_.loop.now();
  }
}

leader_service::cause leader_service::due_cause(upstream_group& group,
                                                const group_state& what) {
  if (!peers_.replaces_leaders() || !what.last_leader) return cause::none;
  // Without the store there is no token; its calls would only hold up others.
  if (state_.leases.age(state_.loop.now()) > store_age_limit)
    return cause::none;
  if (peer_takeover_active(group)) return cause::none;
  auto leader = group.leader();
  if (!leader) {
    auto since = std::max(*what.leaderless_since,
                          state_.leases.known_since(group.hash()));
    bool long_enough = state_.loop.now() - since > leaderless_timeout;
    return long_enough ? cause::leaderless : cause::none;
  }
  if (group.leader_leaves()) return cause::leaves;
  return assess_leader(group, *leader);
}

leader_service::cause leader_service::assess_leader(upstream_group& group,
                                                    const database_id& leader) {
  instant now = state_.loop.now();
  auto verdict = group.watch().check(now, peers_.member_count());
  if (verdict == leader_watch::verdict::failed) return cause::failed;
  if (verdict == leader_watch::verdict::read_entry) {
    store_.look_at(group.id(), leader);
  }
  bool suspected = group.watch().is_unreachable(now, peers_.member_count());
  return suspected ? cause::suspected : cause::none;
}

// A holder that is silent may have ended in the middle of a change.
bool leader_service::peer_takeover_active(const upstream_group& group) const {
  const leader_record* record = group.record();
  if (!record || record->phase == leadership_phase::settled) return false;
  if (record->holder == short_hash(state_.settings.self.value)) return false;
  auto since = state_.leases.known_since(group.hash());
  auto limit = peers_.hears(record->holder) ? active_holder_timeout
                                            : silent_holder_timeout;
  return state_.loop.now() - since < limit;
}

// Only those that see the need can act on it.
duration leader_service::own_turn_delay(upstream_group& group,
                                        cause why) const {
  auto others = peers_.replacers();
  if (why == cause::suspected || why == cause::failed) {
    auto see = group.watch().peers_seeing_failure(state_.loop.now());
    std::erase_if(others, [&](const member_id& m) {
      return std::find(see.begin(), see.end(), m) == see.end();
    });
  }
  others.push_back(state_.settings.self);
  auto order = choose_owners(group.id().value, others, others.size());
  auto own = std::find(order.begin(), order.end(), state_.settings.self);
  return turn_spacing * (own - order.begin());
}

void leader_service::start_takeover(upstream_group& group, group_state& what,
                                    cause why) {
  takeover_start goal;
  bool planned = why == cause::leaves;
  goal.group = group.id();
  goal.leader = *what.last_leader;
  goal.planned = planned;
  goal.suspected = why == cause::suspected;
  goal.leaderless = why == cause::leaderless;
  goal.heard_peers = peers_.active();
  if (const leader_record* record = group.record()) {
    goal.known_revision = record->revision;
    goal.known_since = state_.leases.known_since(group.hash());
  }
  goal.term = group.leader_term();
  const auto* policy = state_.config->find_group(group.id());
  goal.sync_replicas = policy ? policy->sync_replicas : 0;
  for (const auto* up : group.all()) {
    if (up->removed) continue;
    bool is_leader = up->entry.id == goal.leader;
    if (!is_leader) ++goal.replica_count;
    // With nobody in the lead the last leader is as good as any.
    bool may_lead = !is_leader || (!planned && !group.has_leader());
    if (may_lead && !up->draining) goal.candidates.push_back(up->entry.id);
  }
  if (goal.candidates.empty()) return;
  state_.log.write(journal_event::belief, "leader_change_begins",
                   {{"group", goal.group.value},
                    {"leader", goal.leader.value},
                    {"cause", cause_names[static_cast<std::size_t>(why)]},
                    {"term", goal.term},
                    {"candidates", std::uint64_t{goal.candidates.size()}}});
  step_takeover(group.id(), goal);
}

void leader_service::step_takeover(const group_id& id,
                                   const takeover_event& event) {
  auto at = groups_.find(id);
  if (at == groups_.end()) return;
  auto actions = at->second.replacement.step(state_.loop.now(), event);
  for (const auto& action : actions) execute(id, action);
}

void leader_service::execute(const group_id& id,
                             const takeover_action& action) {
  std::visit(
      overloaded{
          [&](const read_duty& what) {
            store_.store().call(store_api::read_duty(what.group), call_timeout,
                                [this, id](http_result&& result) {
                                  handle_duty_read(
                                      id, store_api::parse_duty(result));
                                });
          },
          [&](const write_duty& what) { write_duty_object(what); },
          [&](const query_position& what) {
            query_database(id, what.database, link_step::ask_status, 0);
          },
          [&](const fence_replica& what) {
            query_database(id, what.database, link_step::fence, what.term);
          },
          [&](const step_down& what) {
            query_database(id, what.database, link_step::step_down, what.term);
          },
          [&](const request_promotion& what) { send_promotion(what); },
          [&](const takeover_ended& what) { handle_ended(id, what.outcome); }},
      action);
}

void leader_service::query_database(const group_id& group,
                                    const database_id& id, link_step kind,
                                    std::uint64_t term) {
  auto* found = state_.find_group(group);
  if (!found) return;
  found->ask(id, kind, term, [this, group, id](auto status) {
    position_reply seen;
    seen.database = id;
    seen.answered = status.has_value();
    if (status) {
      seen.leads = status->leads;
      seen.term = status->term;
      seen.received = status->received;
    }
    // The answer may come while the group is in the middle of its own work.
    state_.loop.defer([this, group, seen] { step_takeover(group, seen); });
  });
}

void leader_service::handle_duty_read(const group_id& id,
                                      const duty_read& found) {
  if (found.exists) {
    state_.leases.apply_record(state_.loop.now(),
                               store_api::record_of(id, found));
  }
  step_takeover(id, found);
}

void leader_service::write_duty_object(const write_duty& what) {
  store_.store().call(store_api::write_duty(what), call_timeout,
                      [this, what](http_result&& result) {
                        auto outcome = store_api::parse_duty_outcome(result);
                        if (outcome.outcome == duty_write_outcome::unknown) {
                          return verify_write(what);
                        }
                        handle_duty_written(what, outcome);
                      });
}

// The write may have been done although its answer was lost.
void leader_service::verify_write(const write_duty& what) {
  store_.store().call(store_api::read_duty(what.group), call_timeout,
                      [this, what](http_result&& result) {
                        handle_duty_written(
                            what, store_api::outcome_by_read(result, what));
                      });
}

// All others act on it from when they hear of it.
void leader_service::handle_duty_written(const write_duty& what,
                                         const duty_written& outcome) {
  if (outcome.outcome == duty_write_outcome::written) {
    state_.leases.apply_record(state_.loop.now(),
                               store_api::record_of(what, outcome.revision));
    peers_.announce();
    if (what.phase == leadership_phase::revoked) {
      groups_.at(what.group).lease_holders.reset();
      list_lease_holders(what.group);
    }
  }
  step_takeover(what.group, outcome);
}

// An instance holds no lease before it is registered, so whoever may hold one
// from before is listed now.
void leader_service::list_lease_holders(const group_id& id) {
  store_.store().call(
      store_api::list_members({}, read_age::newest), call_timeout,
      [this, id](http_result&& result) { handle_lease_holders(id, result); });
}

void leader_service::handle_lease_holders(const group_id& id,
                                          const http_result& result) {
  auto page = result.answered && result.status == 200
                  ? store_api::parse_members(result.body)
                  : std::nullopt;
  // More than a page is not listed: the leases run out then.
  if (!page || !page->continue_after.empty()) return;
  groups_.at(id).lease_holders = std::move(page->members);
}

void leader_service::send_promotion(const request_promotion& what) {
  state_.log.write(journal_event::belief, "leader_named",
                   {{"group", what.group.value},
                    {"upstream", what.database.value},
                    {"token", what.token}});
  failover_client_.call(store_api::name_leader(what), call_timeout,
                        [this, what](http_result&& result) {
                          step_takeover(
                              what.group,
                              promotion_ended{store_api::parse_naming(result)});
                        });
}

void leader_service::handle_ended(const group_id& id, takeover_outcome how) {
  group_state& what = groups_.at(id);
  what.next_attempt_at = state_.loop.now() + (how == takeover_outcome::named
                                                  ? delay_after_promotion
                                                  : delay_after_failure);
  what.leaderless_since.reset();
  what.due_since.reset();
  state_.log.write(journal_event::belief, "leader_change_ended",
                   {{"group", id.value},
                    {"how", outcome_names[static_cast<std::size_t>(how)]}});
}

}  // namespace toucanmux
