#include "toucanmux/process/instance-limits.h"

#include <algorithm>

#include "toucanmux/error.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/process/seat-hash.h"

namespace toucanmux {

namespace {

// Bytes of a datagram that are not entries of teams.
constexpr std::size_t envelope_bytes = 300;
constexpr std::size_t batch_bytes = datagram_limit_bytes - envelope_bytes;
// Upper bound of an encoded entry without the team's name.
constexpr std::size_t max_entry_bytes = 88;
constexpr duration lender_refresh_interval = std::chrono::seconds(5);
constexpr duration missing_lender_interval = std::chrono::milliseconds(500);

// Sends the entries in as many messages as the datagram limit requires.
template <class Entry, class Send>
void send_split(const std::vector<Entry>& entries, const Send& send_one) {
  std::vector<Entry> part;
  std::size_t bytes = 0;
  for (const auto& entry : entries) {
    std::size_t size = max_entry_bytes + entry.team.value.size();
    if (!part.empty() && bytes + size > batch_bytes) {
      send_one(std::exchange(part, {}));
      bytes = 0;
    }
    part.push_back(entry);
    bytes += size;
  }
  if (!part.empty()) send_one(std::move(part));
}

}  // namespace

instance_limits::instance_limits(const settings& values) : settings_(values) {
  auto nonce = values.self.value + "/" + std::to_string(values.incarnation);
  slots_.reserve(values.seats);
  for (std::uint32_t i = 0; i < values.seats; ++i) {
    slots_.emplace_back(seat::settings{values.domain, values.timing},
                        seat_lease::settings{values.self, values.domain, i,
                                             nonce, values.timing});
  }
}

std::vector<instance_limits::action> instance_limits::step(instant now,
                                                           const event& input) {
  actions_.clear();
  if (!running_) {
    running_ = true;
    last_step_at_ = now;
  }
  if (now - last_step_at_ > settings_.timing.pause_threshold) handle_pause(now);
  last_step_at_ = std::max(last_step_at_, now);
  std::visit([&](const auto& item) { on(now, item); }, input);
  send_batches(now);
  return std::move(actions_);
}

bool instance_limits::has_waiting_requests() const {
  return !waiting_teams_.empty() ||
         std::any_of(slots_.begin(), slots_.end(), [](const auto& slot) {
           return slot.granter.has_pending_requests();
         });
}

bool instance_limits::ready() const {
  return std::all_of(slots_.begin(), slots_.end(), [](const auto& slot) {
    return slot.contact != seat_contact::none;
  });
}

std::size_t instance_limits::open_seat_count() const {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(),
                    [](const auto& slot) { return slot.open; }));
}

std::uint32_t instance_limits::seat_of(const team_id& team) const {
  return static_cast<std::uint32_t>(seat_hash(team.value) % slots_.size());
}

// The seat may have reclaimed the allocations during the pause.
void instance_limits::handle_pause(instant now) {
  peer_heard_at_ = now - settings_.timing.reclaim_timeout;
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    revoke_allocations(now, i);
    set_contact(now, i, seat_contact::none);
  }
  step_leases(now, tick{});
}

void instance_limits::on(instant now, const limits_configured& input) {
  double share = settings_.domain_share;
  if (share <= 0) {
    share = 1.0 / static_cast<double>(
                      std::max<std::size_t>(1, settings_.domains.size()));
  }
  std::vector<std::vector<team_limit>> slices(slots_.size());
  std::unordered_set<team_id> configured;
  for (const auto& limit : input.teams) {
    configured.insert(limit.team);
    slices[seat_of(limit.team)].push_back(
        {limit.team, limit.rate * share, limit.burst * share});
    buckets_.try_emplace(limit.team,
                         team_bucket::settings{limit.team, settings_.timing});
  }
  std::erase_if(buckets_,
                [&](auto& entry) { return !configured.contains(entry.first); });
  std::erase_if(waiting_teams_,
                [&](auto& team) { return !configured.contains(team); });
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    auto& slot = slots_[i];
    slot.teams.clear();
    for (const auto& limit : slices[i]) slot.teams.push_back(limit.team);
    step_seat(now, i, seat_configured{std::move(slices[i])});
    for (const auto& team : slot.teams) {
      step_bucket(now, team, contact_changed{slot.contact});
    }
  }
}

void instance_limits::on(instant now, const members_known& input) {
  peers_.clear();
  for (const auto& id : input.members) {
    if (id != settings_.self) peers_.push_back(id);
  }
  std::sort(peers_.begin(), peers_.end());
  step_leases(now, input);
}

void instance_limits::on(instant now, const team_arrival& input) {
  if (!buckets_.contains(input.team)) {
    actions_.emplace_back(refused{input.request, duration(0)});
    return;
  }
  step_bucket(now, input.team, arrival{input.request});
}

void instance_limits::on(instant now, const limits_received& received) {
  // A message from a lender in another failure domain does not show that this
  // instance reaches its own domain.
  if (std::binary_search(peers_.begin(), peers_.end(), received.from)) {
    on(now, peer_heard{received.from});
  }
  std::visit([&](const auto& message) { handle(now, received, message); },
             received.message);
}

void instance_limits::on(instant now, const peer_heard& input) {
  record_contact(now, input.from);
  step_leases(now, input);
}

void instance_limits::record_contact(instant now, const member_id& from) {
  if (from == settings_.self) return;
  peer_heard_at_ = std::max(peer_heard_at_, now);
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    auto& slot = slots_[i];
    if (slot.holder != from) continue;
    slot.holder_heard_at = std::max(slot.holder_heard_at, now);
    if (slot.contact != seat_contact::fallback) continue;
    set_contact(now, i, seat_contact::holder);
  }
}

void instance_limits::on(instant now, const object_read& input) {
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    if (input.key == seat_key(settings_.domain, i)) {
      return step_lease(now, i, input);
    }
    if (input.result != read_result::found) continue;
    for (const auto& domain : settings_.domains) {
      if (input.key != seat_key(domain, i)) continue;
      record_lender(now, i, domain, parse_seat_record(input.value).holder);
    }
  }
}

void instance_limits::on(instant now, const object_written& input) {
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    if (input.key == seat_key(settings_.domain, i)) step_lease(now, i, input);
  }
}

void instance_limits::on(instant now, const tick&) {
  auto teams =
      std::vector<team_id>(waiting_teams_.begin(), waiting_teams_.end());
  for (const auto& team : teams) step_bucket(now, team, tick{});
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    step_lease(now, i, tick{});
    step_seat(now, i, tick{});
    check_contact(now, i);
    if (now - slots_[i].renewed_at >= settings_.timing.renewal_interval) {
      renew_seat(now, i);
    }
    read_lenders(now, i);
  }
  if (now - announced_at_ >= settings_.timing.announce_interval) announce(now);
}

void instance_limits::renew_seat(instant now, std::uint32_t seat) {
  slots_[seat].renewed_at = now;
  for (const auto& team : slots_[seat].teams) step_bucket(now, team, renew{});
}

// The holder counts as dead only if peers were heard `holder_timeout` later
// than the holder. A failure domain has no partial partitions, so a live holder
// would be heard too. If no peer is heard, this instance itself is isolated.
void instance_limits::check_contact(instant now, std::uint32_t seat) {
  auto& slot = slots_[seat];
  if (slot.contact == seat_contact::none || slot.holder == settings_.self) {
    return;
  }
  auto last_heard_at = std::max(peer_heard_at_, slot.holder_heard_at);
  if (now - last_heard_at >= settings_.timing.peer_contact_timeout) {
    set_contact(now, seat, seat_contact::none);
    return;
  }
  if (peer_heard_at_ - slot.holder_heard_at >=
      settings_.timing.holder_timeout) {
    set_contact(now, seat, seat_contact::fallback);
  }
}

void instance_limits::set_contact(instant now, std::uint32_t seat,
                                  seat_contact contact) {
  auto& slot = slots_[seat];
  if (slot.contact == contact) return;
  slot.contact = contact;
  for (const auto& team : slot.teams) {
    step_bucket(now, team, contact_changed{contact});
  }
  if (contact == seat_contact::holder) renew_seat(now, seat);
}

void instance_limits::revoke_allocations(instant now, std::uint32_t seat) {
  for (const auto& team : slots_[seat].teams) step_bucket(now, team, revoke{});
}

void instance_limits::announce(instant now) {
  announced_at_ = now;
  seats_held message;
  for (std::uint32_t i = 0; i < slots_.size(); ++i) {
    const auto& slot = slots_[i];
    if (slot.lease_held) message.seats.push_back({i, slot.own_term, slot.open});
  }
  if (message.seats.empty()) return;
  for (const auto& to : peers_) send(to, message);
}

void instance_limits::apply_hold(instant now, std::uint32_t seat,
                                 const hold_seat& state) {
  auto& slot = slots_[seat];
  slot.lease_held = true;
  slot.open = state.open;
  slot.own_term = state.term;
  if (state.open) {
    step_seat(now, seat, seat_opened{});
  } else {
    step_seat(now, seat, seat_closed{});
  }
  apply_notice(now, settings_.self, {seat, state.term, state.open});
  announce(now);
}

void instance_limits::close_seat(instant now, std::uint32_t seat) {
  auto& slot = slots_[seat];
  slot.lease_held = false;
  slot.open = false;
  step_seat(now, seat, seat_closed{});
  if (slot.holder != settings_.self) return;
  revoke_allocations(now, seat);
  set_contact(now, seat, seat_contact::none);
}

void instance_limits::apply_notice(instant now, const member_id& from,
                                   const seat_notice& notice) {
  auto& slot = slots_[notice.seat];
  if (notice.term < slot.term) return;
  if (notice.term > slot.term) {
    revoke_allocations(now, notice.seat);
    set_contact(now, notice.seat, seat_contact::none);
  }
  slot.term = notice.term;
  slot.holder = from;
  slot.holder_heard_at = std::max(slot.holder_heard_at, now);
  set_contact(now, notice.seat,
              notice.open ? seat_contact::holder : seat_contact::none);
}

void instance_limits::handle(instant now, const limits_received& received,
                             const seats_held& message) {
  seats_released released;
  for (const auto& seat : message.seats) {
    if (!is_valid_seat(seat.seat)) continue;
    step_lease(now, seat.seat, holder_heard{received.from, seat.term});
    apply_notice(now, received.from, seat);
    if (!seat.open || seat.term < slots_[seat.seat].term) {
      released.seats.push_back({seat.seat, slots_[seat.seat].term, false});
    }
  }
  if (!released.seats.empty()) send(received.from, std::move(released));
}

void instance_limits::handle(instant now, const limits_received& received,
                             const seats_released& message) {
  for (const auto& seat : message.seats) {
    if (!is_valid_seat(seat.seat)) continue;
    step_lease(now, seat.seat, release_heard{received.from, seat.term});
  }
}

void instance_limits::handle(instant now, const limits_received& received,
                             const grant_request& message) {
  if (!is_valid_seat(message.seat)) return;
  const auto& slot = slots_[message.seat];
  if (!slot.open || message.term != slot.own_term) return;
  for (const auto& request : message.teams) {
    step_seat(
        now, message.seat,
        grant_request_received{received.from, received.incarnation, request});
  }
}

void instance_limits::handle(instant now, const limits_received& received,
                             const grant_reply& message) {
  if (!is_valid_seat(message.seat)) return;
  const auto& slot = slots_[message.seat];
  if (message.term != slot.term || received.from != slot.holder) return;
  for (const auto& grant : message.teams) {
    if (!buckets_.contains(grant.team)) continue;
    step_bucket(now, grant.team, grant);
  }
}

void instance_limits::handle(instant now, const limits_received& received,
                             const loan_request& message) {
  if (!is_valid_seat(message.seat)) return;
  record_lender(now, message.seat, message.from, received.from);
  for (const auto& request : message.teams) {
    step_seat(now, message.seat, loan_request_received{message.from, request});
  }
}

void instance_limits::handle(instant now, const limits_received&,
                             const loan_reply& message) {
  if (!is_valid_seat(message.seat)) return;
  for (const auto& loan : message.teams) {
    step_seat(now, message.seat, loan_received{message.from, loan});
  }
}

void instance_limits::step_bucket(instant now, const team_id& team,
                                  const team_bucket::event& input) {
  auto it = buckets_.find(team);
  if (it == buckets_.end()) return;
  auto seat = seat_of(team);
  for (auto& output : it->second.step(now, input)) {
    std::visit(
        overloaded{[&](team_grant_request& request) {
                     auto& slot = slots_[seat];
                     batches_[{slot.holder, seat}].grant_requests.push_back(
                         std::move(request));
                   },
                   [&](auto& decision) { actions_.emplace_back(decision); }},
        output);
  }
  if (it->second.has_waiting_requests()) {
    waiting_teams_.insert(team);
  } else {
    waiting_teams_.erase(team);
  }
}

void instance_limits::step_seat(instant now, std::uint32_t seat,
                                const seat::event& input) {
  auto& slot = slots_[seat];
  for (auto& output : slot.granter.step(now, input)) {
    std::visit(
        overloaded{
            [&](send_grant& sent) {
              batches_[{sent.to, seat}].grants.push_back(std::move(sent.grant));
            },
            [&](request_loan& request) {
              batches_[{slot.lenders[request.to], seat}]
                  .loan_requests.push_back(std::move(request.request));
            },
            [&](send_loan& sent) {
              batches_[{slot.lenders[sent.to], seat}].loans.push_back(
                  std::move(sent.loan));
            }},
        output);
  }
}

void instance_limits::step_leases(instant now, const seat_lease::event& input) {
  for (std::uint32_t i = 0; i < slots_.size(); ++i) step_lease(now, i, input);
}

void instance_limits::step_lease(instant now, std::uint32_t seat,
                                 const seat_lease::event& input) {
  for (auto& output : slots_[seat].lease.step(now, input)) {
    std::visit(
        overloaded{[&](hold_seat& held) { apply_hold(now, seat, held); },
                   [&](stop_granting&) { close_seat(now, seat); },
                   [&](auto& request) { actions_.emplace_back(request); }},
        output);
  }
}

void instance_limits::record_lender(instant now, std::uint32_t seat,
                                    const domain_id& domain,
                                    const member_id& holder) {
  if (domain == settings_.domain) return;
  auto& slot = slots_[seat];
  if (std::exchange(slot.lenders[domain], holder) == holder) return;
  lenders_known lenders;
  for (const auto& [id, member] : slot.lenders) lenders.domains.push_back(id);
  step_seat(now, seat, lenders);
}

void instance_limits::read_lenders(instant now, std::uint32_t seat) {
  auto& slot = slots_[seat];
  if (!slot.open) return;
  bool all_known = slot.lenders.size() + 1 >= settings_.domains.size();
  if (now - slot.lenders_read_at <
      (all_known ? lender_refresh_interval : missing_lender_interval)) {
    return;
  }
  slot.lenders_read_at = now;
  for (const auto& domain : settings_.domains) {
    if (domain == settings_.domain) continue;
    actions_.emplace_back(read_object{"seats", seat_key(domain, seat)});
  }
}

void instance_limits::send(const member_id& to, limits_message message) {
  outbox_.push_back({to, std::move(message)});
}

// Entries of one step to the same destination and seat share a message.
// Messages to this instance are handled without sending.
void instance_limits::send_batches(instant now) {
  while (!batches_.empty() || !outbox_.empty()) {
    auto batches = std::exchange(batches_, {});
    for (const auto& [key, entries] : batches) {
      const auto& to = key.to;
      auto index = key.seat;
      const auto& slot = slots_[index];
      send_split(entries.grant_requests, [&](auto part) {
        send(to, grant_request{index, slot.term, std::move(part)});
      });
      send_split(entries.grants, [&](auto part) {
        send(to, grant_reply{index, slot.own_term, std::move(part)});
      });
      send_split(entries.loan_requests, [&](auto part) {
        send(to, loan_request{index, settings_.domain, std::move(part)});
      });
      send_split(entries.loans, [&](auto part) {
        send(to, loan_reply{index, settings_.domain, std::move(part)});
      });
    }
    for (auto& message : std::exchange(outbox_, {})) {
      if (message.to.empty()) continue;
      if (message.to != settings_.self) {
        actions_.emplace_back(std::move(message));
        continue;
      }
      on(now, limits_received{settings_.self, settings_.incarnation,
                              std::move(message.message)});
    }
  }
}

}  // namespace toucanmux
