#include "toucanmux/proxy/takeover.h"

#include <algorithm>

namespace toucanmux {

namespace {

// The generation makes up the high bits, so that a token rises although a
// restored store has lost the last one.
constexpr unsigned token_count_bits = 32;

std::uint64_t next_token(std::uint64_t generation, std::uint64_t last_token) {
  return std::max(generation << token_count_bits, last_token) + 1;
}

}  // namespace

std::vector<takeover_action> takeover::step(instant now,
                                            const takeover_event& event) {
  actions_.clear();
  std::visit([&](const auto& alternative) { on(now, alternative); }, event);
  return std::move(actions_);
}

void takeover::on(instant now, const takeover_start& start) {
  if (running()) return;
  request_ = start;
  failure_confirmed_ = !start.suspected;
  suspicion_withdrawn_ = leases_released_ = false;
  replica_positions_.clear();
  old_leader_position_.reset();
  pending_promotion_ = {};
  promotion_inherited_ = false;
  fence_term_ = start.term + 1;
  enter_phase(now, phase::reading_duty);
  actions_.emplace_back(read_duty{start.group});
}

void takeover::on(instant, const store_restored&) {
  if (running()) finish(takeover_outcome::no_duty);
}

void takeover::on(instant now, const failure_confirmed&) {
  if (!running()) return;
  failure_confirmed_ = true;
  suspicion_withdrawn_ = false;
  if (phase_ == phase::awaiting_leases) end_wait_if_due(now);
}

// The takeover can be undone until the replicas' positions are queried. A
// planned one can't: the leader was told to step down.
void takeover::on(instant now, const suspicion_withdrawn&) {
  bool undoable = phase_ == phase::reading_duty || phase_ == phase::revoking ||
                  phase_ == phase::awaiting_leases;
  // Without a leader, an answer of the last leader doesn't show that it leads.
  if (!undoable || request_.planned || request_.leaderless) return;
  suspicion_withdrawn_ = true;
  if (phase_ == phase::awaiting_leases) restore_leader(now);
}

void takeover::on(instant now, const leases_released&) {
  if (phase_ != phase::awaiting_leases) return;
  leases_released_ = true;
  end_wait_if_due(now);
}

void takeover::on(instant now, const duty_read& duty) {
  if (phase_ != phase::reading_duty) return;
  if (!duty.store_reached) return finish(takeover_outcome::no_duty);
  if (suspicion_withdrawn_) return finish(takeover_outcome::given_back);
  if (must_yield(now, duty)) return finish(takeover_outcome::yielded);
  // The store records another leader by now, whose failure was not examined.
  bool same_leader = duty.leader.empty() || duty.leader == request_.leader;
  if (!same_leader && !request_.leaderless)
    return finish(takeover_outcome::yielded);
  if (!same_leader) request_.leader = duty.leader;
  note_pending_promotion(now, duty);
  bool revoked = duty.exists && duty.phase == leadership_phase::revoked;
  revoked_before_ = revoked && duty.revision == request_.known_revision;
  revoked_at_ = request_.known_since;
  token_ = next_token(request_.generation, duty.token);
  duty_revision_ = duty.exists && !duty.inherited ? duty.revision : 0;
  write_record(now, phase::revoking, leadership_phase::revoked,
               request_.leader);
}

instant takeover::revision_seen_since(instant now, std::uint64_t revision) {
  if (revision == request_.known_revision) return request_.known_since;
  if (version_of(revision) != last_read_version_) {
    last_read_version_ = version_of(revision);
    last_read_since_ = now;
  }
  return last_read_since_;
}

// Whether another instance is replacing the leader. The duty object doesn't
// say since when, so that instance's timeout starts when the object's revision
// is first seen.
bool takeover::must_yield(instant now, const duty_read& duty) {
  if (!duty.exists || duty.holder == self_) return false;
  if (duty.phase == leadership_phase::settled) return false;
  bool holder_active =
      std::find(request_.responsive_peers.begin(),
                request_.responsive_peers.end(),
                duty.holder) != request_.responsive_peers.end();
  auto limit = holder_active ? settings_.active_holder_timeout
                             : settings_.silent_holder_timeout;
  return now - revision_seen_since(now, duty.revision) < limit;
}

// A promotion request without an answer may still take effect, even after a
// repeated request was answered.
void takeover::note_pending_promotion(instant now, const duty_read& duty) {
  if (!duty.exists || duty.pending_promotion.empty()) return;
  if (version_of(duty.revision) == refused_version_) return;
  auto max_age =
      settings_.promotion_lifetime + settings_.promotion_send_timeout;
  if (now - revision_seen_since(now, duty.revision) >= max_age) return;
  pending_promotion_ = duty.pending_promotion;
  promotion_inherited_ = true;
}

void takeover::on(instant now, const duty_written& result) {
  bool writing = phase_ == phase::revoking ||
                 phase_ == phase::recording_choice ||
                 phase_ == phase::settling || phase_ == phase::restoring_leader;
  if (!writing) return;
  if (phase_ == phase::settling) return finish(takeover_outcome::named);
  if (phase_ == phase::restoring_leader)
    return finish(takeover_outcome::given_back);
  if (result.outcome == duty_write_outcome::conflict)
    return finish(takeover_outcome::yielded);
  // The write may still take effect, but whether this instance holds the token
  // is unknown: don't use it.
  if (result.outcome == duty_write_outcome::unknown)
    return finish(takeover_outcome::no_duty);
  duty_revision_ = result.revision;
  advance_after_write(now);
}

void takeover::advance_after_write(instant now) {
  if (phase_ == phase::recording_choice) {
    // If this instance was paused, another one may have taken over.
    if (now - phase_entered_at_ > settings_.promotion_send_timeout) {
      return finish(takeover_outcome::not_named);
    }
    enter_phase(now, phase::promoting);
    actions_.emplace_back(
        request_promotion{request_.group, new_leader_, self_, token_});
    return;
  }
  if (!revoked_before_) revoked_at_ = now;
  if (suspicion_withdrawn_) return restore_leader(now);
  enter_phase(now, phase::awaiting_leases);
  if (request_.planned) request_step_down();
}

void takeover::demote(const position_received& reply) {
  fence_term_ = std::max(fence_term_, reply.term + 1);
  actions_.emplace_back(step_down{reply.database, fence_term_});
}

void takeover::request_step_down() {
  actions_.emplace_back(step_down{request_.leader, fence_term_});
}

void takeover::on(instant now, const position_received& reply) {
  if (phase_ == phase::awaiting_leases && reply.database == request_.leader) {
    return handle_step_down_reply(now, reply);
  }
  if (phase_ != phase::querying_positions) return;
  // A former leader may still accept writes. Demote it before it can be chosen:
  // instances use it as soon as it is recorded, before its promotion.
  if (reply.answered && reply.leads) return demote(reply);
  if (reply.answered) replica_positions_[reply.database] = reply.received;
  if (replica_positions_.size() < request_.candidates.size()) return;
  const database_id* best = most_advanced_replica();
  bool log_is_complete =
      best && (!old_leader_position_ ||
               !(replica_positions_[*best] < *old_leader_position_));
  if (log_is_complete) choose_leader(now);
}

// A leader that has stepped down accepts no writes, so the remaining leases
// don't matter; unless a pending promotion may make it the leader again.
void takeover::handle_step_down_reply(instant now,
                                      const position_received& reply) {
  if (!reply.answered || !request_.planned) return;
  if (reply.leads) {
    if (reply.term >= fence_term_) demote(reply);
    return;
  }
  old_leader_position_ = reply.received;
  leases_released_ = leases_released_ || pending_promotion_.empty();
  end_wait_if_due(now);
}

void takeover::on(instant now, const promotion_ended& result) {
  if (phase_ != phase::promoting) return;
  if (result.outcome == promotion_outcome::accepted) {
    if (!promotion_inherited_ || settings_.tokens_checked)
      pending_promotion_ = {};
    return write_record(now, phase::settling, leadership_phase::settled,
                        new_leader_);
  }
  if (result.outcome == promotion_outcome::refused)
    refused_version_ = version_of(duty_revision_);
  finish(takeover_outcome::not_named);
}

void takeover::on(instant now, const takeover_tick&) {
  if (!running()) return;
  if (phase_ == phase::awaiting_leases) return end_wait_if_due(now);
  if (phase_ == phase::querying_positions) return tick_position_query(now);
  if (now - phase_entered_at_ > settings_.step_timeout)
    finish(takeover_outcome::no_duty);
}

// Queries the positions once the failure is confirmed and the leases are
// released or expired, in either order.
void takeover::end_wait_if_due(instant now) {
  bool leases_ended =
      leases_released_ || now - revoked_at_ >= leader_lease::expiry_wait;
  if (failure_confirmed_ && leases_ended) return query_all_positions(now);
  bool confirmable = now - phase_entered_at_ < settings_.confirmation_timeout;
  if (!failure_confirmed_ && !confirmable) restore_leader(now);
}

void takeover::tick_position_query(instant now) {
  auto limit = old_leader_position_ ? settings_.catch_up_timeout
                                    : settings_.position_query_timeout;
  if (now - phase_entered_at_ >= limit) return choose_leader(now);
  if (!old_leader_position_ ||
      now - positions_queried_at_ < settings_.position_query_interval)
    return;
  positions_queried_at_ = now;
  for (const auto& id : request_.candidates) {
    actions_.emplace_back(query_position{id});
  }
}

void takeover::enter_phase(instant now, phase next) {
  phase_ = next;
  phase_entered_at_ = now;
}

void takeover::write_record(instant now, phase next,
                            leadership_phase record_phase,
                            const database_id& leader) {
  enter_phase(now, next);
  actions_.emplace_back(write_duty{request_.group, token_, self_,
                                   request_.leader, duty_revision_,
                                   record_phase, leader, pending_promotion_});
}

void takeover::query_all_positions(instant now) {
  enter_phase(now, phase::querying_positions);
  positions_queried_at_ = now;
  for (const auto& id : request_.candidates) {
    // Through a replica that is not fenced the old leader could still
    // acknowledge commits.
    if (request_.sync_replicas > 0) {
      actions_.emplace_back(fence_replica{id, fence_term_});
    } else {
      actions_.emplace_back(query_position{id});
    }
  }
}

void takeover::choose_leader(instant now) {
  // Without token checks the pending promotion could undo the promotion of
  // another database, so repeat it.
  bool must_repeat = !settings_.tokens_checked && promotion_inherited_;
  if (must_repeat) return record_choice(now, pending_promotion_);
  const database_id* best = most_advanced_replica();
  if (best && has_enough_positions()) return record_choice(now, *best);
  // Unless it has stepped down, peers may still reach the old leader.
  if (!old_leader_position_) return restore_leader(now);
  finish(takeover_outcome::no_candidate);
}

void takeover::record_choice(instant now, const database_id& database) {
  new_leader_ = pending_promotion_ = database;
  write_record(now, phase::recording_choice, leadership_phase::named,
               new_leader_);
}

// Each acknowledged commit is on `sync_replicas` replicas. The replicas that
// answered must include at least one of these.
// So does a replica with the whole log of a leader that has stepped down.
bool takeover::has_enough_positions() const {
  const database_id* best = most_advanced_replica();
  bool has_whole_log = best && old_leader_position_ &&
                       !(replica_positions_.at(*best) < *old_leader_position_);
  if (has_whole_log) return true;
  if (request_.sync_replicas == 0) return !replica_positions_.empty();
  return replica_positions_.size() + request_.sync_replicas >
         request_.replica_count;
}

const database_id* takeover::most_advanced_replica() const {
  const database_id* best = nullptr;
  const log_position* best_position = nullptr;
  for (const auto& [id, received] : replica_positions_) {
    if (best_position && !(*best_position < received)) continue;
    best = &id;
    best_position = &received;
  }
  return best;
}

// Restores the old leader, or records the database of a pending promotion,
// which must be the only possible leader until that promotion has expired.
void takeover::restore_leader(instant now) {
  bool promotion_pending = !pending_promotion_.empty();
  write_record(
      now, phase::restoring_leader,
      promotion_pending ? leadership_phase::named : leadership_phase::settled,
      promotion_pending ? pending_promotion_ : request_.leader);
}

void takeover::finish(takeover_outcome outcome) {
  phase_ = phase::idle;
  actions_.emplace_back(takeover_ended{outcome});
}

}  // namespace toucanmux
