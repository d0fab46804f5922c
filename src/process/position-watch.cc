#include "toucanmux/process/position-watch.h"

#include <algorithm>

namespace toucanmux {

std::vector<position_watch::action> position_watch::step(
    instant now, const event& new_event) {
  std::visit([&](const auto& e) { handle(now, e); }, new_event);
  const auto* request = std::get_if<age_wanted>(&new_event);
  if (!request) return {};
  return {age_found{age_bound(now, request->position)}};
}

void position_watch::handle(instant now, const heartbeat_confirmed& heartbeat) {
  if (heartbeat.sent_at > now) return;
  auto later = std::find_if(
      heartbeats_.begin(), heartbeats_.end(),
      [&](const auto& known) { return known.sent_at > heartbeat.sent_at; });
  // Of heartbeats closer to each other than the spacing, only the last is kept.
  bool replaces_last =
      later == heartbeats_.end() && heartbeats_.size() >= 2 &&
      heartbeats_.back().sent_at - heartbeats_[heartbeats_.size() - 2].sent_at <
          settings_.spacing;
  if (replaces_last) {
    heartbeats_.back() = {heartbeat.sent_at, heartbeat.position};
  } else {
    heartbeats_.insert(later, {heartbeat.sent_at, heartbeat.position});
  }
  while (now - heartbeats_.front().sent_at > settings_.history &&
         heartbeats_.size() > 1) {
    heartbeats_.pop_front();
  }
}

// `echo_age` and `heartbeat_age` are differences of the peer's clock, so they
// hold without synchronized clocks. The stamp left this pool before it reached
// the peer, so the heartbeat was sent at `sent_at` or later.
void position_watch::handle(instant now, const heartbeat_reported& report) {
  if (report.echo == instant{} || report.position == log_position{}) return;
  auto sent_at = report.echo + report.echo_age - report.heartbeat_age;
  handle(now, heartbeat_confirmed{std::min(sent_at, now), report.position});
}

void position_watch::handle(instant now, const replay_seen& replay) {
  auto& polls = replay_histories_[replay.database];
  polls.previous_at = polls.latest_at;
  polls.previous = polls.latest;
  polls.latest_at = now;
  polls.latest = replay.position;
}

duration position_watch::age_bound(instant now,
                                   const log_position& position) const {
  auto covered = std::find_if(
      heartbeats_.rbegin(), heartbeats_.rend(),
      [&](const auto& known) { return position.covers(known.position); });
  if (covered == heartbeats_.rend()) return duration(-1);
  return now - covered->sent_at;
}

log_position position_watch::estimate(instant now,
                                      const database_id& database) const {
  auto it = replay_histories_.find(database);
  if (it == replay_histories_.end()) return {};
  const auto& polls = it->second;
  auto poll_interval = polls.latest_at - polls.previous_at;
  bool comparable = polls.previous.term == polls.latest.term &&
                    polls.previous.lsn <= polls.latest.lsn &&
                    poll_interval > duration(0);
  if (!comparable || heartbeats_.empty()) return polls.latest;
  const auto& confirmed = heartbeats_.back().position;
  if (confirmed.term != polls.latest.term) return polls.latest;
  auto replay_rate =
      static_cast<double>(polls.latest.lsn - polls.previous.lsn) /
      static_cast<double>(poll_interval.count());
  auto extrapolation =
      std::min(now - polls.latest_at, settings_.estimate_limit);
  auto lsn = polls.latest.lsn +
             static_cast<std::uint64_t>(
                 replay_rate * static_cast<double>(extrapolation.count()));
  auto limit = std::max(confirmed.lsn, polls.latest.lsn);
  return {polls.latest.term, std::min(lsn, limit)};
}

}  // namespace toucanmux
