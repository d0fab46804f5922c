#include "proxy/leader-service.h"

#include <algorithm>
#include <array>

#include "toucanmux/hash.h"
#include "toucanmux/process/rendezvous.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration call_limit = milliseconds(1000);
// Instances take their turn at a change this far apart, so that one usually
// does it alone.
constexpr duration turn_gap = milliseconds(400);
// A promotion shows in discovery after about a second.
constexpr duration after_naming = seconds(3);
constexpr duration after_failure = milliseconds(700);
// A group without a leader is left alone for so long: a change may be under
// way.
constexpr duration leaderless_limit = milliseconds(2500);

constexpr duration store_missed = milliseconds(1800);
// Another instance that is heard gets so long for a change, and one that is
// silent so long.
constexpr duration change_limit = milliseconds(6000);
constexpr duration silent_limit = milliseconds(1300);

constexpr std::array<std::string_view, 6> end_names{
    "named", "yielded", "no_duty", "no_candidate", "not_named", "given_back"};
constexpr std::array<std::string_view, 5> cause_names{
    "none", "suspected", "failed", "leaves", "leaderless"};

}  // namespace

leader_service::leader_service(proxy_state& state, peer_service& peers,
                               store_sync& store)
    : state_(state),
      peers_(peers),
      store_(store),
      failover_(state.loop, state.settings.failover_address) {}

void leader_service::tick() {
  takeover::settings values;
  values.tokens_checked = state_.settings.tokens_checked;
  for (auto& [id, group] : state_.groups) {
    auto [at, fresh] = groups_.try_emplace(id, values, state_.settings.self);
    tick_group(*group, at->second);
  }
}

void leader_service::tick_group(upstream_group& group, watched& what) {
  note_leader(group, what);
  if (what.change.running()) return tick_change(group, what);
  instant now = state_.loop.now();
  auto why = due(group, what);
  if (why == cause::none || state_.stopping) {
    what.wanted.reset();
    return;
  }
  if (!what.wanted) {
    what.wanted = now;
    state_.log.write(journal_kind::belief, "leader_change_due",
                     {{"group", group.id().value},
                      {"cause", cause_names[static_cast<std::size_t>(why)]},
                      {"leader", what.last ? what.last->value : ""}});
  }
  if (now < what.rest_until) return;
  if (now - *what.wanted < turn_of_self(group, why)) return;
  start(group, what, why);
}

// While a suspected leader's leases run out its failure is looked into.
void leader_service::tick_change(upstream_group& group, const watched& what) {
  const auto& id = group.id();
  if (auto leader = group.last_leader()) {
    auto why = judge(group, *leader);
    if (why == cause::failed) step(id, takeover_confirmed{});
    if (why == cause::none && !group.watch().failing()) {
      step(id, takeover_withdrawn{});
    }
  }
  bool known = what.change.waits() && what.holders &&
               peers_.all_know_leads(*what.holders);
  if (known) step(id, leases_given_up{});
  step(id, takeover_tick{});
}

void leader_service::note_leader(const upstream_group& group, watched& what) {
  if (auto last = group.last_leader()) what.last = last;
  if (group.has_leader()) {
    what.leaderless.reset();
  } else if (!what.leaderless) {
    what.leaderless = state_.loop.now();
  }
}

leader_service::cause leader_service::due(upstream_group& group,
                                          const watched& what) {
  if (!peers_.replaces_leaders() || !what.last) return cause::none;
  // Without the store there is no token; its calls would only hold up others.
  if (state_.leader_leases.age(state_.loop.now()) > store_missed)
    return cause::none;
  if (another_is_at_it(group)) return cause::none;
  auto leader = group.leader();
  if (!leader) {
    auto since = std::max(*what.leaderless,
                          state_.leader_leases.known_since(group.hash()));
    bool long_enough = state_.loop.now() - since > leaderless_limit;
    return long_enough ? cause::leaderless : cause::none;
  }
  if (group.leader_leaves()) return cause::leaves;
  return judge(group, *leader);
}

leader_service::cause leader_service::judge(upstream_group& group,
                                            const database_id& leader) {
  instant now = state_.loop.now();
  auto verdict = group.watch().check(now, peers_.member_count());
  if (verdict == leader_watch::verdict::failed) return cause::failed;
  if (verdict == leader_watch::verdict::look) {
    store_.look_at(group.id(), leader);
  }
  bool suspected = group.watch().unreached(now, peers_.member_count());
  return suspected ? cause::suspected : cause::none;
}

// A holder that is silent may have ended in the middle of a change.
bool leader_service::another_is_at_it(const upstream_group& group) const {
  const lead_record* record = group.record();
  if (!record || record->phase == lead_phase::settled) return false;
  if (record->holder == short_hash(state_.settings.self.value)) return false;
  auto since = state_.leader_leases.known_since(group.hash());
  auto limit = peers_.hears(record->holder) ? change_limit : silent_limit;
  return state_.loop.now() - since < limit;
}

// Only those that see the need can act on it.
duration leader_service::turn_of_self(upstream_group& group, cause why) const {
  auto others = peers_.replacers();
  if (why == cause::suspected || why == cause::failed) {
    auto see = group.watch().failing_with(state_.loop.now());
    std::erase_if(others, [&](const member_id& m) {
      return std::find(see.begin(), see.end(), m) == see.end();
    });
  }
  others.push_back(state_.settings.self);
  auto order = choose_owners(group.id().value, others, others.size());
  auto own = std::find(order.begin(), order.end(), state_.settings.self);
  return turn_gap * (own - order.begin());
}

void leader_service::start(upstream_group& group, watched& what, cause why) {
  takeover_start goal;
  bool planned = why == cause::leaves;
  goal.group = group.id();
  goal.leader = *what.last;
  goal.planned = planned;
  goal.suspected = why == cause::suspected;
  goal.leaderless = why == cause::leaderless;
  goal.active = peers_.active();
  if (const lead_record* record = group.record()) {
    goal.known_revision = record->revision;
    goal.known_since = state_.leader_leases.known_since(group.hash());
  }
  goal.term = group.leader_term();
  const auto* policy = state_.config->find_group(group.id());
  goal.sync_replicas = policy ? policy->sync_replicas : 0;
  for (const auto* up : group.all()) {
    if (up->removed) continue;
    bool is_leader = up->entry.id == goal.leader;
    if (!is_leader) ++goal.replicas;
    // With nobody in the lead the last leader is as good as any.
    bool may_lead = !is_leader || (!planned && !group.has_leader());
    if (may_lead && !up->draining) goal.candidates.push_back(up->entry.id);
  }
  if (goal.candidates.empty()) return;
  state_.log.write(journal_kind::belief, "leader_change_begins",
                   {{"group", goal.group.value},
                    {"leader", goal.leader.value},
                    {"cause", cause_names[static_cast<std::size_t>(why)]},
                    {"term", goal.term},
                    {"candidates", std::uint64_t{goal.candidates.size()}}});
  step(group.id(), goal);
}

void leader_service::step(const group_id& id, const takeover_event& event) {
  auto at = groups_.find(id);
  if (at == groups_.end()) return;
  auto actions = at->second.change.step(state_.loop.now(), event);
  for (const auto& action : actions) carry_out(id, action);
}

void leader_service::carry_out(const group_id& id,
                               const takeover_action& action) {
  std::visit(
      overloaded{[&](const read_duty& what) {
                   store_.store().call(
                       store_api::read_duty(what.group), call_limit,
                       [this, id](http_result&& result) {
                         take_duty(id, store_api::parse_duty(result));
                       });
                 },
                 [&](const write_duty& what) { write(what); },
                 [&](const ask_position& what) {
                   ask(id, what.database, link_step::ask_status, 0);
                 },
                 [&](const fence_replica& what) {
                   ask(id, what.database, link_step::fence, what.term);
                 },
                 [&](const step_down& what) {
                   ask(id, what.database, link_step::step_down, what.term);
                 },
                 [&](const name_leader& what) { name(what); },
                 [&](const takeover_ended& what) { ended(id, what.how); }},
      action);
}

void leader_service::ask(const group_id& group, const database_id& id,
                         link_step kind, std::uint64_t term) {
  auto* found = state_.find_group(group);
  if (!found) return;
  found->ask(id, kind, term, [this, group, id](auto status) {
    position_seen seen;
    seen.database = id;
    seen.answered = status.has_value();
    if (status) {
      seen.leads = status->is_leader;
      seen.term = status->term;
      seen.received = status->received_position;
    }
    // The answer may come while the group is in the middle of its own work.
    state_.loop.defer([this, group, seen] { step(group, seen); });
  });
}

void leader_service::take_duty(const group_id& id, const duty_read& found) {
  if (found.exists) {
    state_.leader_leases.take(state_.loop.now(),
                              store_api::record_of(id, found));
  }
  step(id, found);
}

void leader_service::write(const write_duty& what) {
  store_.store().call(store_api::write_duty(what), call_limit,
                      [this, what](http_result&& result) {
                        auto outcome = store_api::parse_duty_outcome(result);
                        if (outcome.outcome == duty_outcome::unknown) {
                          return read_back(what);
                        }
                        take_written(what, outcome);
                      });
}

// The write may have been done although its answer was lost.
void leader_service::read_back(const write_duty& what) {
  store_.store().call(store_api::read_duty(what.group), call_limit,
                      [this, what](http_result&& result) {
                        take_written(what,
                                     store_api::outcome_by_read(result, what));
                      });
}

// All others act on it from when they hear of it.
void leader_service::take_written(const write_duty& what,
                                  const duty_written& outcome) {
  if (outcome.outcome == duty_outcome::taken) {
    state_.leader_leases.take(state_.loop.now(),
                              store_api::record_of(what, outcome.revision));
    peers_.announce();
    if (what.phase == lead_phase::revoked) {
      groups_.at(what.group).holders.reset();
      list_holders(what.group);
    }
  }
  step(what.group, outcome);
}

// An instance holds no lease before it is registered, so whoever may hold one
// from before is listed now.
void leader_service::list_holders(const group_id& id) {
  store_.store().call(
      store_api::list_members({}, read_age::newest), call_limit,
      [this, id](http_result&& result) { take_holders(id, result); });
}

void leader_service::take_holders(const group_id& id,
                                  const http_result& result) {
  auto page = result.answered && result.status == 200
                  ? store_api::parse_members(result.body)
                  : std::nullopt;
  // More than a page is not listed: the leases run out then.
  if (!page || !page->continue_after.empty()) return;
  groups_.at(id).holders = std::move(page->members);
}

void leader_service::name(const name_leader& what) {
  state_.log.write(journal_kind::belief, "leader_named",
                   {{"group", what.group.value},
                    {"upstream", what.database.value},
                    {"token", what.token}});
  failover_.call(store_api::name_leader(what), call_limit,
                 [this, what](http_result&& result) {
                   step(what.group,
                        leader_named{store_api::parse_naming(result)});
                 });
}

void leader_service::ended(const group_id& id, takeover_end how) {
  watched& what = groups_.at(id);
  what.rest_until = state_.loop.now() +
                    (how == takeover_end::named ? after_naming : after_failure);
  what.leaderless.reset();
  what.wanted.reset();
  state_.log.write(
      journal_kind::belief, "leader_change_ended",
      {{"group", id.value}, {"how", end_names[static_cast<std::size_t>(how)]}});
}

}  // namespace toucanmux
