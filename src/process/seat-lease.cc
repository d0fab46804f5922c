#include "toucanmux/process/seat-lease.h"

#include <algorithm>
#include <cereal/archives/json.hpp>
#include <sstream>

#include "toucanmux/error.h"
#include "toucanmux/process/seat-hash.h"

namespace toucanmux {

namespace {

constexpr std::string_view seat_kind = "seats";
constexpr duration platform_retry = std::chrono::milliseconds(500);

}  // namespace

std::string to_json(const seat_record& record) {
  std::ostringstream out;
  {
    cereal::JSONOutputArchive archive(
        out, cereal::JSONOutputArchive::Options::NoIndent());
    archive(cereal::make_nvp("holder", record.holder),
            cereal::make_nvp("epoch", record.epoch),
            cereal::make_nvp("nonce", record.nonce));
  }
  // JSONOutputArchive writes line breaks even with NoIndent; the values contain
  // none.
  std::string text = out.str();
  std::erase(text, '\n');
  return text;
}

seat_record parse_seat_record(const std::string& json) {
  seat_record record;
  try {
    std::istringstream in(json);
    cereal::JSONInputArchive archive(in);
    archive(cereal::make_nvp("holder", record.holder),
            cereal::make_nvp("epoch", record.epoch),
            cereal::make_nvp("nonce", record.nonce));
  } catch (const std::exception& e) {
    throw platform_error(std::string("invalid seat record; delete the platform "
                                     "object to recreate it: ") +
                         e.what());
  }
  return record;
}

std::string seat_key(const domain_id& domain, std::uint32_t seat) {
  return domain.value + "-" + std::to_string(seat);
}

seat_lease::seat_lease(const settings& values) : settings_(values) {}

std::vector<seat_lease::action> seat_lease::step(instant now,
                                                 const event& input) {
  actions_.clear();
  if (!running_) start(now);
  if (now - last_step_at_ > settings_.timing.pause_threshold) handle_pause(now);
  last_step_at_ = now;
  std::visit([&](const auto& item) { on(now, item); }, input);
  return std::move(actions_);
}

void seat_lease::start(instant now) {
  running_ = true;
  last_step_at_ = now;
  holder_heard_at_ = now;
  peer_heard_at_ = now - settings_.timing.reclaim_timeout;
}

// Messages were not processed during the pause, so that peers must not count as
// silent. Another instance may hold the seat by now.
void seat_lease::handle_pause(instant now) {
  for (auto& [id, state] : peers_) state.heard_at = now;
  peer_heard_at_ = now - settings_.timing.reclaim_timeout;
  holder_heard_at_ = now;
  if (phase_ != phase::following) start_verifying();
}

void seat_lease::on(instant now, const members_known& input) {
  for (auto& [id, state] : peers_) state.listed = false;
  for (const auto& id : input.members) {
    if (id == settings_.self) continue;
    auto [it, added] = peers_.try_emplace(id);
    it->second.listed = true;
    if (added) it->second.heard_at = now;
  }
}

void seat_lease::record_contact(instant now, const member_id& from) {
  if (from == settings_.self) return;
  peers_[from].heard_at = now;
  peer_heard_at_ = now;
}

void seat_lease::on(instant now, const peer_heard& input) {
  record_contact(now, input.from);
}

void seat_lease::on(instant now, const holder_heard& input) {
  record_contact(now, input.from);
  if (input.term.epoch < newest_epoch_) return;
  if (phase_ != phase::following && input.term.epoch <= own_term_.epoch) return;
  holder_heard_at_ = now;
  last_holder_ = input.from;
  follow(now, input.term.epoch);
}

void seat_lease::on(instant now, const release_heard& input) {
  record_contact(now, input.from);
  if (input.term.epoch > newest_epoch_) return follow(now, input.term.epoch);
  auto& state = peers_[input.from];
  state.released_term = std::max(state.released_term, input.term);
  open_if_released(now);
}

void seat_lease::on(instant now, const object_read& input) {
  pending_call_ = platform_call::none;
  if (phase_ != phase::following && phase_ != phase::verifying) return;
  if (input.result == read_result::unreachable) {
    retry_at_ = now + platform_retry;
    // Without the platform, the instances decide: one with an allocation of a
    // later epoch answers the announcement with that epoch, and this instance
    // follows the later holder.
    if (phase_ == phase::verifying) await_releases(now, own_term_.epoch);
    return;
  }
  seat_record stored;
  if (input.result == read_result::found)
    stored = parse_seat_record(input.value);
  std::string own_nonce = settings_.nonce + "/" + std::to_string(stored.epoch);
  if (stored.epoch >= newest_epoch_ && stored.nonce == own_nonce) {
    return await_releases(now, stored.epoch);
  }
  if (stored.epoch > newest_epoch_ || phase_ == phase::verifying) {
    holder_heard_at_ = now;
    return follow(now, stored.epoch);
  }
  retry_at_ = now + platform_retry;
  if (may_claim(now)) write(stored, input.version);
}

void seat_lease::on(instant now, const object_written& input) {
  pending_call_ = platform_call::none;
  if (input.result == write_result::written && written_epoch_ > newest_epoch_) {
    return await_releases(now, written_epoch_);
  }
  // The conflict may be with this instance's own write whose answer was lost.
  if (phase_ == phase::following) read();
}

void seat_lease::on(instant now, const tick&) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    bool forgotten = !it->second.listed && now - it->second.heard_at >=
                                               settings_.timing.reclaim_timeout;
    it = forgotten ? peers_.erase(it) : std::next(it);
  }
  if (phase_ == phase::granting && !has_peer_contact(now)) start_verifying();
  if (phase_ == phase::awaiting_releases) open_if_released(now);
  if (pending_call_ != platform_call::none || now < retry_at_) return;
  if (phase_ == phase::verifying && has_peer_contact(now)) read();
  if (phase_ == phase::following && may_claim(now)) read();
}

bool seat_lease::has_peer_contact(instant now) const {
  bool has_no_peers =
      std::none_of(peers_.begin(), peers_.end(),
                   [](auto& state) { return state.second.listed; });
  return has_no_peers ||
         now - peer_heard_at_ < settings_.timing.holder_contact_timeout;
}

bool seat_lease::may_claim(instant now) const {
  if (!has_peer_contact(now)) return false;
  // At the first start nobody holds the seat, and a holder would be heard
  // within two announcements.
  auto wait = newest_epoch_ == 0 ? settings_.timing.announce_interval * 2
                                 : settings_.timing.reclaim_timeout;
  return now - holder_heard_at_ >=
         wait + settings_.timing.candidate_stagger * candidate_rank(now);
}

// Returns the number of reachable peers with a higher priority. Each candidate
// waits for a different time, which makes conflicting writes rare.
int seat_lease::candidate_rank(instant now) const {
  auto priority = [&](const member_id& id) {
    return seat_hash(id.value + "/" + std::to_string(settings_.seat));
  };
  auto own = priority(settings_.self);
  return static_cast<int>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& state) {
        return state.second.listed &&
               now - state.second.heard_at < settings_.timing.reclaim_timeout &&
               priority(state.first) > own;
      }));
}

void seat_lease::read() {
  if (pending_call_ != platform_call::none) return;
  pending_call_ = platform_call::reading;
  actions_.emplace_back(read_object{
      std::string(seat_kind), seat_key(settings_.domain, settings_.seat)});
}

void seat_lease::write(const seat_record& stored, std::uint64_t version) {
  pending_call_ = platform_call::writing;
  written_epoch_ = std::max(stored.epoch, newest_epoch_) + 1;
  seat_record record{settings_.self, written_epoch_,
                     settings_.nonce + "/" + std::to_string(written_epoch_)};
  actions_.emplace_back(write_object{std::string(seat_kind),
                                     seat_key(settings_.domain, settings_.seat),
                                     version, to_json(record)});
}

void seat_lease::follow(instant, std::uint64_t epoch) {
  newest_epoch_ = std::max(newest_epoch_, epoch);
  if (phase_ == phase::following) return;
  phase_ = phase::following;
  actions_.emplace_back(stop_granting{});
}

void seat_lease::start_verifying() {
  phase_ = phase::verifying;
  actions_.emplace_back(stop_granting{});
}

void seat_lease::await_releases(instant now, std::uint64_t epoch) {
  newest_epoch_ = epoch;
  // Only a holder sends announcements periodically, so the silence of other
  // peers counts from this instance's announcement.
  for (auto& [id, state] : peers_) {
    if (id != last_holder_) state.heard_at = now;
  }
  if (own_term_.epoch != epoch) own_term_ = {epoch, 0};
  ++own_term_.round;
  phase_ = phase::awaiting_releases;
  actions_.emplace_back(hold_seat{own_term_, false});
  open_if_released(now);
}

void seat_lease::open_if_released(instant now) {
  if (phase_ != phase::awaiting_releases || !has_peer_contact(now)) return;
  for (const auto& [id, state] : peers_) {
    bool silent = now - state.heard_at >= settings_.timing.reclaim_timeout;
    if (state.released_term < own_term_ && !silent) return;
  }
  phase_ = phase::granting;
  actions_.emplace_back(hold_seat{own_term_, true});
}

}  // namespace toucanmux
