#include "toucanmux/proxy/leader-watch.h"

#include <algorithm>
#include <limits>

#include "toucanmux/hash.h"

namespace toucanmux {

void leader_watch::set_leader(const database_id& leader) {
  if (leader == leader_) return;
  leader_ = leader;
  answered_.reset();
  failing_since_.reset();
  first_look_.reset();
  asked_.reset();
  stopped_ = false;
}

void leader_watch::leader_answered(instant now) {
  answered_ = now;
  failing_since_.reset();
  first_look_.reset();
  stopped_ = false;
}

void leader_watch::leader_failed(instant now) {
  if (!failing_since_) failing_since_ = now;
}

void leader_watch::take_sighting(instant now, const member_id& peer,
                                 const group_sighting& what) {
  peers_[peer] = {now, what};
}

void leader_watch::take_entry(instant now,
                              std::optional<std::uint64_t> sequence) {
  asked_.reset();
  if (!failing_since_) return;
  if (!first_look_ || first_look_->sequence != sequence) {
    first_look_ = entry_look{now, sequence};
    stopped_ = false;
    return;
  }
  if (now - first_look_->at < settings_.between_looks) return;
  // An entry may lapse only because the store was away.
  bool lapsed = !sequence && now - store_away_ < settings_.entries_return;
  stopped_ = !lapsed;
}

leader_watch::verdict leader_watch::check(instant now, std::size_t members) {
  if (!failing_since_) return verdict::fine;
  // The looks begin at once: they take longer than anything else here.
  bool due = !first_look_ || now - first_look_->at >= settings_.between_looks;
  bool waiting = asked_ && now - *asked_ < settings_.between_looks;
  if (!stopped_ && due && !waiting) {
    asked_ = now;
    return verdict::look;
  }
  if (now - *failing_since_ < settings_.suspect_after) return verdict::fine;
  if (most_are_cut_off(now, members)) return verdict::failed;
  if (!stopped_ || !peers_agree(now, members)) return verdict::fine;
  return verdict::failed;
}

group_sighting leader_watch::sighting(instant now,
                                      const group_id& group) const {
  bool failing =
      failing_since_ && now - *failing_since_ >= settings_.suspect_after / 2;
  constexpr std::int64_t cap = std::numeric_limits<std::uint16_t>::max();
  std::int64_t age = cap;
  if (answered_) {
    age =
        std::chrono::floor<std::chrono::milliseconds>(now - *answered_).count();
  }
  auto answered =
      static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, cap));
  return {short_hash(group.value), short_hash(leader_.value), failing, answered,
          1};
}

// A sighting that is recent and of the present leader.
bool leader_watch::counts(instant now, const seen& what) const {
  return now - what.at < settings_.sighting_lasts &&
         what.what.leader == short_hash(leader_.value);
}

bool leader_watch::disputed(instant now) const {
  return failing() ||
         std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
           return item.second.what.failing && counts(now, item.second);
         });
}

std::vector<member_id> leader_watch::failing_with(instant now) const {
  std::vector<member_id> out;
  for (const auto& [id, peer] : peers_) {
    if (peer.what.failing && counts(now, peer)) out.push_back(id);
  }
  return out;
}

leader_watch::findings leader_watch::of_peers(instant now) const {
  findings out;
  for (const auto& [id, peer] : peers_) {
    if (!counts(now, peer)) continue;
    auto answered = peer.at - std::chrono::milliseconds(peer.what.answered_ms);
    if (peer.what.failing) {
      ++out.failing;
    } else if (answered > *failing_since_) {
      ++out.reached;
    }
  }
  return out;
}

bool leader_watch::peers_agree(instant now, std::size_t members) const {
  if (members <= 1) return true;
  auto found = of_peers(now);
  // Peers that have not asked since know nothing of it.
  return found.failing > 0 && found.failing >= found.reached;
}

bool leader_watch::unreached(instant now, std::size_t members) const {
  if (!failing_since_) return false;
  if (now - *failing_since_ < settings_.suspect_after) return false;
  if (members <= 1) return true;
  auto found = of_peers(now);
  return found.failing > 0 && found.reached == 0;
}

bool leader_watch::most_are_cut_off(instant now, std::size_t members) const {
  if (now - *failing_since_ < settings_.cut_off_after) return false;
  std::size_t failing = 1;
  for (const auto& [id, peer] : peers_) {
    if (peer.what.failing && counts(now, peer)) {
      failing += peer.what.speaks_for;
    }
  }
  return failing * 3 >= members * 2;
}

}  // namespace toucanmux
