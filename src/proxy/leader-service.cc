#include "proxy/leader-service.h"

#include <algorithm>
#include <array>

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

constexpr std::array<std::string_view, 5> end_names{
    "named", "yielded", "no_duty", "no_candidate", "not_named"};

}  // namespace

leader_service::leader_service(proxy_state& state, peer_service& peers,
                               store_sync& store)
    : state_(state),
      peers_(peers),
      store_(store),
      failover_(state.loop, state.settings.failover) {}

void leader_service::tick() {
  for (auto& [id, group] : state_.groups) {
    auto [at, fresh] = groups_.try_emplace(id, state_.settings.self);
    tick_group(*group, at->second);
  }
}

void leader_service::tick_group(upstream_group& group, watched& what) {
  if (what.change.running()) return step(group.id(), takeover_tick{});
  instant now = state_.loop.now();
  bool planned = false;
  note_leader(group, what);
  if (!change_is_due(group, what, planned) || state_.stopping) {
    what.wanted.reset();
    return;
  }
  if (!what.wanted) {
    what.wanted = now;
    state_.log.write(journal_event::belief, "leader_change_due",
                     {{"group", group.id().value},
                      {"planned", planned},
                      {"leader", what.last ? what.last->value : ""}});
  }
  if (now < what.rest_until) return;
  if (now - *what.wanted < turn_of_self(group, planned)) return;
  start(group, what, planned);
}

void leader_service::note_leader(const upstream_group& group, watched& what) {
  auto leader = group.leader();
  if (leader) {
    what.last = leader;
    what.leaderless.reset();
  } else if (!what.leaderless) {
    what.leaderless = state_.loop.now();
  }
}

bool leader_service::change_is_due(upstream_group& group, watched& what,
                                   bool& planned) {
  if (!peers_.replaces_leaders()) return false;
  instant now = state_.loop.now();
  auto leader = group.leader();
  if (!leader) {
    return what.last && now - *what.leaderless > leaderless_limit;
  }
  if (group.leader_leaves()) {
    planned = true;
    return true;
  }
  auto verdict = group.watch().check(now, peers_.member_count());
  if (verdict == leader_watch::verdict::look) {
    store_.look_at(group.id(), *leader);
  }
  return verdict == leader_watch::verdict::failed;
}

// Only those that see the need can act on it.
duration leader_service::turn_of_self(upstream_group& group,
                                      bool planned) const {
  auto others = peers_.replacers();
  if (!planned && group.has_leader()) {
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

void leader_service::start(upstream_group& group, watched& what, bool planned) {
  takeover_start goal;
  goal.group = group.id();
  goal.leader = *what.last;
  goal.planned = planned;
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
  state_.log.write(journal_event::belief, "leader_change_begins",
                   {{"group", goal.group.value},
                    {"leader", goal.leader.value},
                    {"planned", planned},
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
                         step(id, store_api::parse_duty(result));
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
      seen.leads = status->leads;
      seen.term = status->term;
      seen.received = status->received;
    }
    // The answer may come while the group is in the middle of its own work.
    state_.loop.defer([this, group, seen] { step(group, seen); });
  });
}

void leader_service::write(const write_duty& what) {
  store_.store().call(store_api::write_duty(what), call_limit,
                      [this, what](http_result&& result) {
                        auto outcome = store_api::parse_duty_outcome(result);
                        if (outcome == duty_outcome::unknown) {
                          return read_back(what);
                        }
                        step(what.group, duty_written{outcome});
                      });
}

// The write may have been done although its answer was lost.
void leader_service::read_back(const write_duty& what) {
  store_.store().call(store_api::read_duty(what.group), call_limit,
                      [this, what](http_result&& result) {
                        bool held = store_api::holds_duty(result, what);
                        auto outcome =
                            held ? duty_outcome::taken : duty_outcome::unknown;
                        step(what.group, duty_written{outcome});
                      });
}

void leader_service::name(const name_leader& what) {
  state_.log.write(journal_event::belief, "leader_named",
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
  what.wanted.reset();
  state_.log.write(
      journal_event::belief, "leader_change_ended",
      {{"group", id.value}, {"how", end_names[static_cast<std::size_t>(how)]}});
}

}  // namespace toucanmux
