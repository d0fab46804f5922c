#include "toucanmux/proxy/takeover.h"

#include <algorithm>

namespace toucanmux {

std::vector<takeover_action> takeover::step(instant now,
                                            const takeover_event& what) {
  actions_.clear();
  std::visit([&](const auto& event) { on(now, event); }, what);
  return std::move(actions_);
}

void takeover::on(instant now, const takeover_start& what) {
  if (running()) return;
  goal_ = what;
  confirmed_ = !what.suspected;
  withdrawn_ = given_up_ = false;
  answers_.clear();
  old_position_.reset();
  open_order_ = {};
  repeats_ = false;
  fence_term_ = what.term + 1;
  enter(now, phase::reading_duty);
  actions_.emplace_back(read_duty{what.group});
}

void takeover::on(instant now, const takeover_confirmed&) {
  if (!running()) return;
  confirmed_ = true;
  withdrawn_ = false;
  if (phase_ == phase::waiting) go_on(now);
}

// Until another one is asked for its position nothing has been decided. One
// that was told to step down may not lead any more.
void takeover::on(instant now, const takeover_withdrawn&) {
  bool early = phase_ == phase::reading_duty || phase_ == phase::revoking ||
               phase_ == phase::waiting;
  // Where nobody leads, an answer of the last leader gives no lead back.
  if (!early || goal_.planned || goal_.leaderless) return;
  withdrawn_ = true;
  if (phase_ == phase::waiting) give_back(now);
}

void takeover::on(instant now, const leases_given_up&) {
  if (phase_ != phase::waiting) return;
  given_up_ = true;
  go_on(now);
}

void takeover::on(instant now, const duty_read& what) {
  if (phase_ != phase::reading_duty) return;
  if (!what.reached) return end(takeover_end::no_duty);
  if (withdrawn_) return end(takeover_end::given_back);
  if (must_yield(now, what)) return end(takeover_end::yielded);
  // Another leader was named since; its failure is another matter.
  bool known = what.leader.empty() || what.leader == goal_.leader;
  if (!known && !goal_.leaderless) return end(takeover_end::yielded);
  if (!known) goal_.leader = what.leader;
  note_open_order(now, what);
  bool revoked = what.exists && what.phase == lead_phase::revoked;
  was_revoked_ = revoked && what.revision == goal_.known_revision;
  revoked_at_ = goal_.known_since;
  token_ = what.token + 1;
  revision_ = what.exists ? what.revision : 0;
  write(now, phase::revoking, lead_phase::revoked, goal_.leader);
}

instant takeover::seen_since(instant now, std::uint64_t revision) {
  if (revision == goal_.known_revision) return goal_.known_since;
  if (revision != seen_revision_) {
    seen_revision_ = revision;
    seen_since_ = now;
  }
  return seen_since_;
}

// Another instance that has taken the duty is at work on it. How long ago is
// unknown, so it gets its time from when it is first seen.
bool takeover::must_yield(instant now, const duty_read& what) {
  if (!what.exists || what.holder == self_) return false;
  if (what.phase == lead_phase::settled) return false;
  bool active = std::find(goal_.active.begin(), goal_.active.end(),
                          what.holder) != goal_.active.end();
  auto limit = active ? settings_.yield_for : settings_.yield_to_silent;
  return now - seen_since(now, what.revision) < limit;
}

// An order that was never answered may still be carried out, also after one
// that repeated it was answered.
void takeover::note_open_order(instant now, const duty_read& what) {
  if (!what.exists || what.order.empty()) return;
  if (what.revision == refused_revision_) return;
  auto longest = settings_.order_open + settings_.order_within;
  if (now - seen_since(now, what.revision) >= longest) return;
  open_order_ = what.order;
  repeats_ = true;
}

void takeover::on(instant now, const duty_written& what) {
  bool writing = phase_ == phase::revoking || phase_ == phase::recording ||
                 phase_ == phase::settling || phase_ == phase::giving_back;
  if (!writing) return;
  if (phase_ == phase::settling) return end(takeover_end::named);
  if (phase_ == phase::giving_back) return end(takeover_end::given_back);
  if (what.outcome == duty_outcome::lost) return end(takeover_end::yielded);
  // A token whose write has no answer may still be taken: never use it.
  if (what.outcome == duty_outcome::unknown) return end(takeover_end::no_duty);
  revision_ = what.revision;
  take_written(now);
}

void takeover::take_written(instant now) {
  if (phase_ == phase::recording) {
    // Another instance may have gone on after a pause of this one.
    if (now - entered_ > settings_.order_within) {
      return end(takeover_end::not_named);
    }
    enter(now, phase::naming);
    actions_.emplace_back(name_leader{goal_.group, chosen_, self_, token_});
    return;
  }
  if (!was_revoked_) revoked_at_ = now;
  if (withdrawn_) return give_back(now);
  enter(now, phase::waiting);
  if (goal_.planned) ask_to_step_down();
}

void takeover::demote(const position_seen& what) {
  fence_term_ = std::max(fence_term_, what.term + 1);
  actions_.emplace_back(step_down{what.database, fence_term_});
}

void takeover::ask_to_step_down() {
  actions_.emplace_back(step_down{goal_.leader, fence_term_});
}

void takeover::on(instant now, const position_seen& what) {
  if (phase_ == phase::waiting && what.database == goal_.leader) {
    return take_step_down(now, what);
  }
  if (phase_ != phase::asking) return;
  // One that was replaced before may go on; it would be served by as soon as it
  // is recorded, before the order has made it the leader.
  if (what.answered && what.leads) return demote(what);
  if (what.answered) answers_[what.database] = what.received;
  if (answers_.size() < goal_.candidates.size()) return;
  const database_id* best = furthest();
  bool complete =
      best && (!old_position_ || !(answers_[*best] < *old_position_));
  if (complete) choose(now);
}

// A leader that has stepped down serves nobody, whatever leases are left; but
// an order that is open may give it the lead.
void takeover::take_step_down(instant now, const position_seen& what) {
  if (!what.answered || !goal_.planned) return;
  if (what.leads) {
    if (what.term >= fence_term_) demote(what);
    return;
  }
  old_position_ = what.received;
  given_up_ = given_up_ || open_order_.empty();
  go_on(now);
}

void takeover::on(instant now, const leader_named& what) {
  if (phase_ != phase::naming) return;
  if (what.outcome == naming_outcome::accepted) {
    if (!repeats_ || settings_.tokens_checked) open_order_ = {};
    return write(now, phase::settling, lead_phase::settled, chosen_);
  }
  if (what.outcome == naming_outcome::refused) refused_revision_ = revision_;
  end(takeover_end::not_named);
}

void takeover::on(instant now, const takeover_tick&) {
  if (!running()) return;
  if (phase_ == phase::waiting) return go_on(now);
  if (phase_ == phase::asking) return tick_asking(now);
  if (now - entered_ > settings_.step_limit) end(takeover_end::no_duty);
}

void takeover::go_on(instant now) {
  bool ended = given_up_ || now - revoked_at_ >= lead_lease::outlasted;
  if (confirmed_ && ended) return ask_all(now);
  bool confirmable = now - entered_ < settings_.confirm_within;
  if (!confirmed_ && !confirmable) give_back(now);
}

void takeover::tick_asking(instant now) {
  auto limit = old_position_ ? settings_.catch_up : settings_.ask_for;
  if (now - entered_ >= limit) return choose(now);
  if (!old_position_ || now - asked_ < settings_.ask_again) return;
  asked_ = now;
  for (const auto& id : goal_.candidates) {
    actions_.emplace_back(ask_position{id});
  }
}

void takeover::enter(instant now, phase next) {
  phase_ = next;
  entered_ = now;
}

void takeover::write(instant now, phase next, lead_phase what,
                     const database_id& leader) {
  enter(now, next);
  actions_.emplace_back(write_duty{goal_.group, token_, self_, goal_.leader,
                                   revision_, what, leader, open_order_});
}

void takeover::ask_all(instant now) {
  enter(now, phase::asking);
  asked_ = now;
  for (const auto& id : goal_.candidates) {
    // With synchronous replicas an old leader may still acknowledge by one
    // that is not fenced.
    if (goal_.sync_replicas > 0) {
      actions_.emplace_back(fence_replica{id, fence_term_});
    } else {
      actions_.emplace_back(ask_position{id});
    }
  }
}

void takeover::choose(instant now) {
  // It might undo what another order does.
  bool bound = !settings_.tokens_checked && repeats_;
  if (bound) return name(now, open_order_);
  const database_id* best = furthest();
  if (best && enough_answers()) return name(now, *best);
  // The old leader may still serve some, unless it has stepped down.
  if (!old_position_) return give_back(now);
  end(takeover_end::no_candidate);
}

void takeover::name(instant now, const database_id& which) {
  chosen_ = open_order_ = which;
  write(now, phase::recording, lead_phase::named, chosen_);
}

// A commit was received by `sync_replicas` replicas; so many answers must
// hold at least one of them.
bool takeover::enough_answers() const {
  if (goal_.sync_replicas == 0) return !answers_.empty();
  return answers_.size() + goal_.sync_replicas > goal_.replicas;
}

const database_id* takeover::furthest() const {
  const database_id* best = nullptr;
  const log_position* most = nullptr;
  for (const auto& [id, received] : answers_) {
    if (most && !(*most < received)) continue;
    best = &id;
    most = &received;
  }
  return best;
}

// As long as an order is open its database is the only one that may lead.
void takeover::give_back(instant now) {
  bool open = !open_order_.empty();
  write(now, phase::giving_back, open ? lead_phase::named : lead_phase::settled,
        open ? open_order_ : goal_.leader);
}

void takeover::end(takeover_end how) {
  phase_ = phase::idle;
  actions_.emplace_back(takeover_ended{how});
}

}  // namespace toucanmux
