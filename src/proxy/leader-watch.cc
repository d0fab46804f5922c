#include "toucanmux/proxy/leader-watch.h"

#include <algorithm>
#include <limits>

#include "toucanmux/hash.h"

namespace toucanmux {

void leader_watch::set_leader(const database_id& leader) {
  if (leader == leader_) return;
  leader_ = leader;
  last_answer_at_.reset();
  failing_since_.reset();
  first_read_.reset();
  read_requested_at_.reset();
  heartbeats_stopped_ = false;
}

void leader_watch::leader_answered(instant now) {
  last_answer_at_ = now;
  failing_since_.reset();
  first_read_.reset();
  heartbeats_stopped_ = false;
}

void leader_watch::leader_failed(instant now) {
  if (!failing_since_) failing_since_ = now;
}

void leader_watch::apply_sighting(instant now, const member_id& peer,
                                  const group_sighting& report) {
  peers_[peer] = {now, report};
}

void leader_watch::apply_entry(instant now,
                               std::optional<std::uint64_t> sequence) {
  read_requested_at_.reset();
  if (!failing_since_) return;
  if (!first_read_ || first_read_->sequence != sequence) {
    first_read_ = heartbeat_read{now, sequence};
    heartbeats_stopped_ = false;
    return;
  }
  if (now - first_read_->read_at < settings_.heartbeat_check_interval) return;
  // Entries also expire while the store is unreachable.
  bool expired_in_outage =
      !sequence && now - store_unreachable_at_ < settings_.entry_recovery_time;
  heartbeats_stopped_ = !expired_in_outage;
}

leader_watch::verdict leader_watch::check(instant now,
                                          std::size_t member_count) {
  if (!failing_since_) return verdict::keep;
  // Reads start before `suspect_after` has passed: comparing two heartbeats
  // takes longer than all other conditions.
  bool read_due = !first_read_ || now - first_read_->read_at >=
                                      settings_.heartbeat_check_interval;
  bool read_pending =
      read_requested_at_ &&
      now - *read_requested_at_ < settings_.heartbeat_check_interval;
  if (!heartbeats_stopped_ && read_due && !read_pending) {
    read_requested_at_ = now;
    return verdict::read_entry;
  }
  if (now - *failing_since_ < settings_.suspect_after) return verdict::keep;
  if (most_instances_cut_off(now, member_count)) return verdict::failed;
  if (!heartbeats_stopped_ || !peers_agree(now, member_count))
    return verdict::keep;
  return verdict::failed;
}

group_sighting leader_watch::sighting(instant now,
                                      const group_id& group) const {
  bool failing =
      failing_since_ && now - *failing_since_ >= settings_.suspect_after / 2;
  constexpr std::int64_t cap = std::numeric_limits<std::uint16_t>::max();
  std::int64_t age = cap;
  if (last_answer_at_) {
    age = std::chrono::floor<std::chrono::milliseconds>(now - *last_answer_at_)
              .count();
  }
  auto answered =
      static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, cap));
  return {short_hash(group.value), short_hash(leader_.value), failing, answered,
          1};
}

// Whether the sighting is recent and of the present leader.
bool leader_watch::is_current(instant now,
                              const peer_sighting& sighting) const {
  return now - sighting.received_at < settings_.sighting_lifetime &&
         sighting.report.leader == short_hash(leader_.value);
}

bool leader_watch::is_suspected(instant now) const {
  return failing() ||
         std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
           return item.second.report.failing && is_current(now, item.second);
         });
}

std::vector<member_id> leader_watch::peers_seeing_failure(instant now) const {
  std::vector<member_id> out;
  for (const auto& [id, peer] : peers_) {
    if (peer.report.failing && is_current(now, peer)) out.push_back(id);
  }
  return out;
}

leader_watch::peer_findings leader_watch::count_peer_findings(
    instant now) const {
  peer_findings out;
  for (const auto& [id, peer] : peers_) {
    if (!is_current(now, peer)) continue;
    auto answered =
        peer.received_at - std::chrono::milliseconds(peer.report.answered_ms);
    if (peer.report.failing) {
      ++out.failing;
    } else if (answered > *failing_since_) {
      ++out.reached;
    }
  }
  return out;
}

bool leader_watch::peers_agree(instant now, std::size_t member_count) const {
  if (member_count <= 1) return true;
  auto found = count_peer_findings(now);
  // Peers in neither count have had no contact with the leader since it failed
  // here.
  return found.failing > 0 && found.failing >= found.reached;
}

bool leader_watch::is_unreachable(instant now, std::size_t member_count) const {
  if (!failing_since_) return false;
  if (now - *failing_since_ < settings_.suspect_after) return false;
  if (member_count <= 1) return true;
  auto found = count_peer_findings(now);
  return found.failing > 0 && found.reached == 0;
}

bool leader_watch::most_instances_cut_off(instant now,
                                          std::size_t member_count) const {
  if (now - *failing_since_ < settings_.cut_off_timeout) return false;
  std::size_t failing = 1;
  for (const auto& [id, peer] : peers_) {
    if (peer.report.failing && is_current(now, peer)) {
      failing += peer.report.speaks_for;
    }
  }
  return failing * 3 >= member_count * 2;
}

}  // namespace toucanmux
