#include <algorithm>

#include "proxy/journal.h"
#include "proxy/upstream-group.h"
#include "toucanmux/proxy/domain/domain-rules.h"
#include "toucanmux/proxy/domain/warm-up-share.h"

namespace toucanmux {

bool upstream_group::is_drained(const upstream& database) const {
  return rules_->drained.known() &&
         rules_->drained.contains(database.entry.domain);
}

availability upstream_group::availability_of(
    const upstream& database, const upstream_requirements& requirements) const {
  return assess_availability(loop_.now(),
                             {database.entry, rules_->drained, rules_->regions,
                              database.budget, requirements.regions});
}

// A request may wait for a budget, which is renewed within about a second.
bool upstream_group::may_use(const upstream& database,
                             const upstream_requirements& requirements) const {
  if (!usable(database)) return false;
  auto verdict = availability_of(database, requirements);
  return verdict == availability::available ||
         verdict == availability::budget_spent;
}

availability upstream_group::obstacle(
    const upstream_requirements& requirements) const {
  auto leader = leader_index();
  auto out = availability::available;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (requirements.leader_only && leader != i) continue;
    if (requirements.excluded >> (i % 64) & 1U) continue;
    if (!usable(*upstreams_[i])) continue;
    out = std::max(out, availability_of(*upstreams_[i], requirements));
  }
  return out;
}

bool upstream_group::may_begin(
    std::size_t index, const upstream_requirements& requirements) const {
  auto verdict = availability_of(*upstreams_[index], requirements);
  return verdict != availability::drained &&
         verdict != availability::outside_regions;
}

bool upstream_group::take_warm_up(std::size_t index) {
  return upstreams_[index]->budget.take(loop_.now());
}

void upstream_group::apply_drain_change() {
  queue_.for_each([&](link_request& request) {
    auto cause = obstacle(request.requirements);
    bool unusable =
        !may_serve(request.requirements) && cause >= availability::drained;
    if (unusable) {
      request.on_refused(cause == availability::drained
                             ? refusal_reason::domain_drained
                             : refusal_reason::outside_regions);
    }
  });
  schedule_serve();
}

bool upstream_group::warming_up() const {
  return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& up) {
    return up->budget.active(loop_.now());
  });
}

unsigned upstream_group::warm_up_left() const {
  unsigned out = 0;
  for (const auto& up : upstreams_)
    out += up->budget.left(loop_.now()).value_or(0);
  return out;
}

void upstream_group::note_warm_up(upstream& database) {
  instant now = loop_.now();
  database.budget.update(now, database.entry);
  if (!database.budget.active(now) || database.warm_up_logged) return;
  database.warm_up_logged = true;
  update_warm_up_share(database);
  log_.write(journal_kind::belief, "warm_up_begun",
             {{"group", id_.value},
              {"upstream", database.entry.id.value},
              {"left_ms", database.budget.remaining(now)}});
}

void upstream_group::log_ended_warm_ups() {
  for (auto& up : upstreams_) {
    if (!up->warm_up_logged || up->budget.active(loop_.now())) continue;
    up->warm_up_logged = false;
    log_.write(journal_kind::belief, "warm_up_ended",
               {{"group", id_.value}, {"upstream", up->entry.id.value}});
  }
}

void upstream_group::update_warm_up_shares() {
  for (auto& up : upstreams_) {
    if (up->budget.active(loop_.now())) update_warm_up_share(*up);
  }
  schedule_serve();
}

void upstream_group::update_warm_up_share(upstream& database) const {
  if (policy_.warm_up_rate <= 0) return database.budget.set_limit({});
  auto allowance =
      policy_.warm_up_rate * rules_->warm_up_excess + rules_->warm_up_margin;
  database.budget.set_limit(
      warm_up_share(self_, {rules_->known_members, rules_->fleet_size},
                    database.entry.id.value, allowance));
}

}  // namespace toucanmux
