#include "toucanmux/process/failure-detector.h"

#include <algorithm>

namespace toucanmux {

std::vector<failure_detector::action> failure_detector::step(
    instant now, const event& new_event) {
  reset_after_pause(now);
  std::visit([&](const auto& e) { handle(now, e); }, new_event);
  std::vector<action> actions;
  if (heartbeat_due(now)) {
    in_flight_ = true;
    check_requested_ = false;
    heartbeat_sent_at_ = now;
    next_at_ = now + settings_.heartbeat_interval;
    actions.push_back(send_heartbeat{primary_});
  }
  auto current = health(now);
  if (current != reported_health_) actions.push_back(health_changed{current});
  reported_health_ = current;
  return actions;
}

// Observations from before a pause of this process don't describe the present,
// so all timeouts start again.
void failure_detector::reset_after_pause(instant now) {
  bool paused = now - last_step_at_ > settings_.pause_after;
  last_step_at_ = now;
  if (!paused) return;
  last_healthy_at_ = now;
  replica_advanced_at_ = now;
  failures_ = 0;
}

bool failure_detector::heartbeat_due(instant now) const {
  if (term_ == 0 || in_flight_ || now < next_at_) return false;
  if (owns_primary_) return true;
  return check_requested_ || !replica_advances(now);
}

void failure_detector::handle(instant, const group_tick&) {}

void failure_detector::handle(instant now, const primary_changed& change) {
  if (change.term == term_ && change.primary == primary_) {
    owns_primary_ = change.owned;
    return;
  }
  term_ = change.term;
  primary_ = change.primary;
  owns_primary_ = change.owned;
  in_flight_ = false;
  next_at_ = now;
  last_healthy_at_ = now;
  replica_advanced_at_ = now;
  failures_ = 0;
  last_result_ = heartbeat_result::ok;
  confirmed_position_ = {};
  replica_received_ = {};
}

void failure_detector::handle(instant now, const heartbeat_ended& end) {
  if (end.database != primary_ || !in_flight_) return;
  in_flight_ = false;
  last_result_ = end.result;
  if (end.result != heartbeat_result::ok) {
    ++failures_;
    if (end.result == heartbeat_result::refused) {
      next_at_ = now + settings_.refused_interval;
    }
    return;
  }
  failures_ = 0;
  // A success shows that the primary was healthy when the heartbeat was sent,
  // even if the answer arrived much later.
  last_healthy_at_ = std::max(last_healthy_at_, heartbeat_sent_at_);
  confirmed_position_ = end.position;
  confirmed_sent_at_ = heartbeat_sent_at_;
}

void failure_detector::handle(instant now, const replica_seen& replica) {
  const auto& status = replica.status;
  replica_streaming_ = status.streaming && !status.fenced;
  if (status.received <= replica_received_) return;
  replica_received_ = status.received;
  if (!replica_streaming_) return;
  replica_advanced_at_ = now;
  last_healthy_at_ = now;
  failures_ = 0;
}

void failure_detector::handle(instant now, const peer_suspects&) {
  check_requested_ = true;
  if (!in_flight_ && failures_ == 0) next_at_ = std::min(next_at_, now);
}

// Heartbeats that failed before the promotion don't count against the new
// primary.
void failure_detector::handle(instant now, const primary_promoted&) {
  failures_ = 0;
  next_at_ = now;
}

primary_health failure_detector::health(instant now) const {
  if (term_ == 0) return primary_health::unsure;
  auto unconfirmed_for = now - last_healthy_at_;
  bool refused = failures_ >= 2 && last_result_ == heartbeat_result::refused;
  if (refused && unconfirmed_for >= settings_.refused_after &&
      !replica_streaming_) {
    return primary_health::suspect;
  }
  bool not_promoted =
      failures_ >= 2 && last_result_ == heartbeat_result::not_primary;
  if (not_promoted && unconfirmed_for >= settings_.promotion_timeout) {
    return primary_health::suspect;
  }
  bool unanswered = failures_ > 0 || (in_flight_ && now - heartbeat_sent_at_ >=
                                                        settings_.stall_after);
  if (unanswered && unconfirmed_for >= settings_.silent_after) {
    return primary_health::suspect;
  }
  if (failures_ == 0 && unconfirmed_for < settings_.stall_after) {
    return primary_health::healthy;
  }
  return primary_health::unsure;
}

}  // namespace toucanmux
