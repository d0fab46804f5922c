#include "toucanmux/request/request-attempts.h"

#include <algorithm>

namespace toucanmux {

namespace {

// The low eight bits of an attempt's id number the attempts of its request.
constexpr unsigned attempt_bits = 8;
constexpr std::uint32_t doubling_limit = 6;

// Whether the pool refused the statement before queueing it. Another pool may
// own the database by now.
bool is_pool_refusal(reason_code reason) {
  return reason == reason_code::leaving || reason == reason_code::not_ready;
}

// Owners change one at a time, so one of the first two owners has the database.
std::uint32_t other_owner(std::uint32_t owner_index) { return 1 - owner_index; }

// Whether another database, or the same one after a short delay, may accept the
// statement.
bool is_transient(reason_code reason, bool is_read) {
  switch (reason) {
    case reason_code::connection_lost:
    case reason_code::no_upstream:
    case reason_code::upstream_full:
    case reason_code::upstream_error:
      return true;
    case reason_code::queue_full:
    case reason_code::deadline:
    case reason_code::no_primary:
      return is_read;
    default:
      return false;
  }
}

}  // namespace

request_attempts::actions request_attempts::step(instant now,
                                                 const event& new_event) {
  now_ = now;
  if (state_ == state::finished) return {};
  std::visit([this](const auto& e) { handle(e); }, new_event);
  return std::exchange(actions_, {});
}

void request_attempts::handle(const request_started& e) {
  if (state_ != state::idle) return;
  access_ = e.access;
  step_ = e.step;
  transaction_ = e.transaction;
  required_ = e.required;
  has_idempotency_key_ = e.has_idempotency_key;
  writes_open_ = e.writes_open;
  writes_retry_after_ = e.retry_after;
  attempt_id_ = e.request << attempt_bits;
  deadline_ = now_ + e.time_left;
  set_candidates(e.candidates);
  if (now_ >= deadline_) {
    return finish(outcome_code::not_run, reason_code::deadline, duration(0));
  }
  wake_time_ = deadline_;
  actions_.push_back(wake_at{wake_time_});
  route();
}

void request_attempts::handle(const candidates_changed& e) {
  if (state_ == state::idle) return;
  writes_open_ = e.writes_open;
  writes_retry_after_ = e.retry_after;
  set_candidates(e.candidates);
  if (state_ != state::waiting) return;
  if (!is_read()) {
    check_primary();
    return;
  }
  if (!backing_off_ && best_replica(duration(0)) != nullptr) route();
}

void request_attempts::handle(const attempt_answered& e) {
  if (state_ != state::sent || e.id != attempt_id_) return;
  last_reason_ = e.reason;
  last_retry_after_ = e.retry_after;
  switch (e.outcome) {
    case outcome_code::done:
      return handle_done(e);
    case outcome_code::failed:
      return relay(e);
    case outcome_code::behind:
      return handle_stale_answer();
    case outcome_code::moved:
      return redirect(reason_code::no_upstream, e.retry_after);
    case outcome_code::not_run:
      return handle_not_run(e);
    case outcome_code::unknown:
      return handle_unknown(e);
  }
}

// The pool has already checked the position. The entry checks it again in case
// a pool of another version does not, so that a read never returns stale data.
void request_attempts::handle_done(const attempt_answered& e) {
  if (is_read() && !is_fresh(e)) return handle_stale_answer();
  relay(e);
}

// A primary of a later term has all writes acknowledged in earlier terms,
// though its log may be shorter than that of an earlier primary.
bool request_attempts::is_fresh(const attempt_answered& e) const {
  if (e.position.covers(required_)) return true;
  return !e.from_replica && e.position.term > required_.term;
}

void request_attempts::handle_stale_answer() {
  may_have_run_ = true;
  last_reason_ = reason_code::no_upstream;
  if (key_withdrawn_) {
    return finish(outcome_code::not_run, reason_code::key_refused, duration(0));
  }
  answer_was_stale_ = true;
  route();
}

void request_attempts::handle_not_run(const attempt_answered& e) {
  if (key_withdrawn_) {
    return finish(outcome_code::not_run, reason_code::key_refused, duration(0));
  }
  if (in_transaction()) return relay(e);
  if (is_pool_refusal(e.reason)) return redirect(e.reason, e.retry_after);
  if (is_transient(e.reason, is_read())) return retry(e.may_retry);
  finish(outcome_code::not_run, e.reason, e.retry_after);
}

void request_attempts::handle_unknown(const attempt_answered& e) {
  may_have_run_ = true;
  if (in_transaction()) return relay(e);
  if (is_read() || has_idempotency_key_) return retry(e.may_retry);
  finish(outcome_code::unknown, e.reason, e.retry_after);
}

void request_attempts::handle(const attempt_lost& e) {
  if (state_ != state::sent || e.id != attempt_id_) return;
  last_reason_ = reason_code::connection_lost;
  last_retry_after_ = settings_.default_retry_after;
  if (in_transaction()) return handle_lost_in_transaction(e.sent);
  if (!e.sent)
    return redirect(reason_code::connection_lost,
                    settings_.default_retry_after);
  if (opens_transaction()) {
    return finish(outcome_code::failed, reason_code::connection_lost,
                  settings_.default_retry_after);
  }
  may_have_run_ = true;
  if (auto* lost = find_current_candidate()) {
    lost->trial = trial_state::lost;
    lost->owner_index = other_owner(lost->owner_index);
  }
  if (is_read() || has_idempotency_key_) return retry(e.may_retry);
  finish(outcome_code::unknown, reason_code::connection_lost,
         settings_.default_retry_after);
}

// A pool rolls back the transactions of a lost link, so only a commit has an
// unknown outcome.
void request_attempts::handle_lost_in_transaction(bool sent) {
  if (!sent) {
    return finish(outcome_code::not_run, reason_code::transaction_gone,
                  duration(0));
  }
  may_have_run_ = true;
  auto outcome = step_ == statement_step::commit ? outcome_code::unknown
                                                 : outcome_code::failed;
  finish(outcome, reason_code::transaction_gone, duration(0));
}

void request_attempts::handle(const attempt_timer&) {
  if (state_ == state::idle || now_ < wake_time_) return;
  if (key_withdrawn_) {
    may_have_run_ = true;
    return finish(outcome_code::unknown, reason_code::key_refused, duration(0));
  }
  if (now_ >= deadline_) return handle_deadline();
  if (state_ != state::waiting) return;
  wake_time_ = deadline_;
  actions_.push_back(wake_at{wake_time_});
  route();
}

void request_attempts::handle_deadline() {
  if (state_ == state::waiting) {
    return finish(outcome_code::not_run, reason_code::deadline,
                  settings_.default_retry_after);
  }
  actions_.push_back(cancel_attempt{attempt_id_});
  may_have_run_ = true;
  bool may_take_effect = !in_transaction() || step_ == statement_step::commit;
  abandon_if_in_transaction();
  finish(may_take_effect && !opens_transaction() ? outcome_code::unknown
                                                 : outcome_code::failed,
         reason_code::deadline, settings_.default_retry_after);
}

void request_attempts::handle(const caller_gone&) {
  if (state_ == state::sent) actions_.push_back(cancel_attempt{attempt_id_});
  abandon_if_in_transaction();
  state_ = state::finished;
}

// A request without an attempt in flight ends at once. An attempt in flight is
// cancelled, and its answer or a short timeout decides the outcome.
void request_attempts::handle(const key_withdrawn&) {
  if (key_withdrawn_) return;
  key_withdrawn_ = true;
  if (state_ != state::sent) {
    return finish(outcome_code::not_run, reason_code::key_refused, duration(0));
  }
  actions_.push_back(cancel_attempt{attempt_id_});
  if (step_ != statement_step::commit) abandon_if_in_transaction();
  wake_time_ = std::min(deadline_, now_ + settings_.withdrawal_wait);
  actions_.push_back(wake_at{wake_time_});
}

void request_attempts::route() {
  backing_off_ = false;
  if (now_ >= deadline_) return handle_deadline();
  if (in_transaction()) return send_in_transaction();
  if (is_read()) return route_read();
  route_to_primary();
}

void request_attempts::route_read() {
  candidate_state* target =
      answer_was_stale_ ? nullptr : best_replica(duration(0));
  if (target == nullptr && wait_for_replica()) return;
  if (target == nullptr) target = find_primary();
  // Without a primary, try any replica: it may have caught up sooner than
  // estimated.
  if (target == nullptr) target = best_replica(duration::max());
  if (target == nullptr) target = find_lost_candidate();
  if (target != nullptr) return send(*target);
  auto retry_after = std::max(last_retry_after_, settings_.default_retry_after);
  finish(outcome_code::not_run, last_reason_, retry_after);
}

void request_attempts::route_to_primary() {
  if (check_primary()) send(*find_primary());
}

bool request_attempts::check_primary() {
  if (writes_open_ && find_primary() != nullptr) return true;
  auto retry_after =
      std::max(writes_retry_after_, settings_.default_retry_after);
  finish(outcome_code::not_run, reason_code::no_primary, retry_after);
  return false;
}

bool request_attempts::wait_for_replica() {
  if (has_waited_for_replica_ || answer_was_stale_) return false;
  auto* replica = best_replica(settings_.max_replica_wait);
  if (replica == nullptr) return false;
  auto fresh_at = waits_estimated_at_ + replica->target.wait;
  if (fresh_at >= deadline_) return false;
  has_waited_for_replica_ = true;
  wait_until(fresh_at);
  return true;
}

request_attempts::candidate_state* request_attempts::best_replica(
    duration max_wait) {
  candidate_state* best = nullptr;
  auto elapsed = now_ - waits_estimated_at_;
  for (auto& c : candidates_) {
    if (c.target.primary || c.trial != trial_state::untried) continue;
    if (c.target.wait > duration(0) && c.target.wait - elapsed > max_wait) {
      continue;
    }
    if (max_wait == duration(0)) return &c;
    if (best == nullptr || c.target.wait < best->target.wait) best = &c;
  }
  return best;
}

request_attempts::candidate_state* request_attempts::find_primary() {
  for (auto& c : candidates_) {
    if (!c.target.primary) continue;
    if (is_read() && c.trial != trial_state::untried) return nullptr;
    return &c;
  }
  return nullptr;
}

request_attempts::candidate_state* request_attempts::find_lost_candidate() {
  for (auto& c : candidates_) {
    if (c.trial == trial_state::lost) return &c;
  }
  return nullptr;
}

request_attempts::candidate_state* request_attempts::find_current_candidate() {
  for (auto& c : candidates_) {
    if (c.target.database == current_database_) return &c;
  }
  return nullptr;
}

void request_attempts::set_candidates(
    const std::vector<candidate>& candidates) {
  auto previous = std::exchange(candidates_, {});
  waits_estimated_at_ = now_;
  for (const auto& target : candidates) {
    auto it = std::find_if(previous.begin(), previous.end(),
                           [&](const candidate_state& c) {
                             return c.target.database == target.database;
                           });
    candidate_state c{target};
    if (it != previous.end()) {
      c.trial = it->trial;
      c.owner_index = it->owner_index;
    }
    candidates_.push_back(std::move(c));
  }
}

void request_attempts::send(candidate_state& next) {
  next.trial = trial_state::tried;
  current_database_ = next.target.database;
  push_send(next.target.database, next.owner_index);
}

void request_attempts::send_in_transaction() { push_send(database_id(), 0); }

void request_attempts::push_send(const database_id& database,
                                 std::uint32_t owner_index) {
  state_ = state::sent;
  ++attempt_id_;
  auto time_left = deadline_ - now_;
  time_left -= std::min(settings_.answer_margin, time_left / 4);
  actions_.push_back(send_attempt{attempt_id_, database, owner_index, time_left,
                                  std::exchange(next_is_retry_, false)});
}

// The statement did not run, so this uses no retry. The first redirect is
// followed at once. Later ones back off, as two pools whose views differ may
// each redirect to the other until the views agree.
void request_attempts::redirect(reason_code reason, duration retry_after) {
  last_reason_ = reason;
  last_retry_after_ = std::max(retry_after, settings_.default_retry_after);
  if (key_withdrawn_) {
    return finish(outcome_code::not_run, reason_code::key_refused, duration(0));
  }
  if (in_transaction()) {
    return finish(outcome_code::not_run, reason_code::transaction_gone,
                  duration(0));
  }
  if (++redirects_ > settings_.redirect_limit) {
    return finish(outcome_code::not_run, reason, last_retry_after_);
  }
  if (auto* current = find_current_candidate()) {
    current->trial = trial_state::untried;
    current->owner_index = other_owner(current->owner_index);
  }
  if (redirects_ == 1) return route();
  auto doublings = std::min(redirects_ - 2, doubling_limit);
  backing_off_ = true;
  wait_until(now_ + settings_.retry_delay * (1U << doublings));
}

void request_attempts::retry(bool allowed) {
  if (key_withdrawn_) {
    return finish(outcome_code::not_run, reason_code::key_refused, duration(0));
  }
  if (!allowed || retries_ >= settings_.retry_limit) {
    return finish(outcome_code::not_run, last_reason_, last_retry_after_);
  }
  ++retries_;
  next_is_retry_ = true;
  if (is_read()) return route();
  backing_off_ = true;
  wait_until(now_ + settings_.retry_delay * (1U << retries_));
}

// Ends the request if no time would be left after the wait.
void request_attempts::wait_until(instant at) {
  if (at >= deadline_) {
    return finish(outcome_code::not_run, last_reason_, last_retry_after_);
  }
  state_ = state::waiting;
  wake_time_ = at;
  actions_.push_back(wake_at{wake_time_});
}

void request_attempts::finish(outcome_code outcome, reason_code reason,
                              duration retry_after) {
  if (outcome == outcome_code::not_run && may_have_run_)
    outcome = outcome_code::unknown;
  state_ = state::finished;
  actions_.push_back(answer_caller{outcome, reason, {}, retry_after, false});
}

// Even if the latest attempt had no effect, the outcome is unknown when an
// earlier attempt may have run or may still run.
void request_attempts::relay(const attempt_answered& e) {
  state_ = state::finished;
  auto outcome = e.outcome;
  bool had_no_effect = outcome == outcome_code::not_run ||
                       (outcome == outcome_code::failed && !is_read());
  if (had_no_effect && may_have_run_) outcome = outcome_code::unknown;
  actions_.push_back(answer_caller{outcome, e.reason, e.position, e.retry_after,
                                   outcome == e.outcome});
}

void request_attempts::abandon_if_in_transaction() {
  if (in_transaction()) actions_.push_back(abandon_transaction{transaction_});
}

}  // namespace toucanmux
