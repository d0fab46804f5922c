#include "toucanmux/process/membership.h"

#include <algorithm>
#include <cmath>

#include "toucanmux/process/datagram.h"

namespace toucanmux {

namespace {

// Upper bound for the envelope and the fixed-size fields of a message.
constexpr std::size_t overhead_bytes = 200;
// The longest name or address that is accepted from a peer.
constexpr std::size_t max_name_bytes = 64;
// Limits the domain synchronizations per period. Synchronizing more at once
// would mostly fetch what other peers are already sending.
constexpr std::uint32_t syncs_per_period = 4;
constexpr std::size_t max_domains = 64;
constexpr std::size_t max_foreign_entries = 64;
// Rate per failure domain after joining. Seeds are still pinged because they
// may reach members beyond a network partition that has healed.
constexpr double seed_pings_per_second = 0.2;
// A seed that has not replied after this many periods is considered down and is
// pinged only at the usual rate.
constexpr int new_member_periods = 10;
// A member that receives no messages at all may be isolated itself, so its
// suspicions last longer by this factor.
constexpr int isolated_suspicion_factor = 4;

bool is_valid(const member& info) {
  return !info.id.empty() && info.id.value.size() <= max_name_bytes &&
         info.domain.value.size() <= max_name_bytes &&
         info.address.size() <= max_name_bytes;
}

double to_seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

membership::membership(const settings& values)
    : values_(values),
      random_(values.random_seed),
      table_(values.self.domain),
      gossip_queue_(values.gossip_factor),
      self_{values.self, 0},
      unanswered_seeds_(values.seeds) {
  table_.apply_update(now_, self_);
  gossip_queue_.push(self_.info.id);
}

std::vector<membership::action> membership::step(instant now,
                                                 const event& new_event) {
  now_ = now;
  actions_.clear();
  if (stopped_) return {};
  std::visit([this](const auto& handled_event) { handle(handled_event); },
             new_event);
  return std::move(actions_);
}

void membership::handle(const tick&) {
  detect_pause();
  check_probes();
  check_suspicions();
  if (now_ >= next_period_at_) start_period();
}

// A long gap between two ticks means that this process was paused. Missing
// replies from that time are no evidence against peers.
void membership::detect_pause() {
  if (!ticked_) last_message_at_ = now_;
  auto gap = now_ - last_tick_at_;
  if (ticked_ && gap > values_.period) {
    probes_.clear();
    for (auto& [id, until] : suspicion_ends_) until += gap;
    last_message_at_ += gap;
  }
  ticked_ = true;
  last_tick_at_ = now_;
}

void membership::check_probes() {
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [sequence, pending] = *it;
    if (pending.requester.empty() && !pending.relays_asked &&
        now_ - pending.sent_at >= values_.ack_timeout) {
      pending.relays_asked = true;
      ask_relays(pending.target, sequence);
    }
    if (now_ - pending.sent_at < values_.period) {
      ++it;
      continue;
    }
    record* unanswered =
        pending.requester.empty() ? table_.find(pending.target) : nullptr;
    it = probes_.erase(it);
    if (unanswered != nullptr && in_own_domain(unanswered->known.info))
      suspect(*unanswered);
  }
}

void membership::check_suspicions() {
  bool isolated = now_ - last_message_at_ > 2 * values_.period;
  auto extension = isolated ? (isolated_suspicion_factor - 1) * suspicion_time()
                            : duration(0);
  std::vector<member_id> expired;
  for (const auto& [id, until] : suspicion_ends_) {
    if (now_ >= until + extension) expired.push_back(id);
  }
  for (const auto& id : expired) {
    suspicion_ends_.erase(id);
    const record* suspected = table_.find(id);
    if (suspected != nullptr && !suspected->dead()) declare_dead(*suspected);
  }
}

void membership::start_period() {
  next_period_at_ = now_ + values_.period;
  syncs_left_ = syncs_per_period;
  table_.forget_dead(now_ - values_.forget_after);
  if (foreign_entries_.size() > max_foreign_entries) foreign_entries_.clear();
  probe_next();
  contact_other_domain();
  contact_seed();
}

void membership::probe_next() {
  if (probe_order_.empty()) {
    for (const record* target : table_.own().live) {
      if (target->known.info.id != self_.info.id) {
        probe_order_.push_back(target->known.info.id);
      }
    }
    for (std::size_t i = probe_order_.size(); i > 1; --i) {
      std::swap(probe_order_[i - 1], probe_order_[random_below(i)]);
    }
  }
  while (!probe_order_.empty()) {
    const record* next = table_.find(probe_order_.back());
    probe_order_.pop_back();
    if (next == nullptr || next->dead()) continue;
    auto sequence = ++last_sequence_;
    probes_[sequence] = {next->known.info.id, now_, false, {}, 0};
    send_ping(next->known.info, sequence);
    return;
  }
}

// The pools of a failure domain share the contact rate, so that it does not
// grow with their number. Entries are not known in other domains; only an entry
// that has not joined contacts other domains, to take load off the seeds.
void membership::contact_other_domain() {
  if (joined_ && self_.info.role != member_role::pool) return;
  std::vector<const member_table::domain_view*> other_domains;
  for (const auto& [key, view] : table_.domains()) {
    if (&view != &table_.own() && !view.live.empty())
      other_domains.push_back(&view);
  }
  if (other_domains.empty()) return;
  double probability =
      values_.contacts * static_cast<double>(other_domains.size()) *
      to_seconds(values_.period) / static_cast<double>(table_.own().live_pools);
  if (joined_ && !chance(probability)) return;
  const record* peer =
      random_peer(*other_domains[random_below(other_domains.size())]);
  if (peer != nullptr) send_ping(peer->known.info, ++last_sequence_);
}

// Otherwise members of one failure domain could find each other and never learn
// of the other domains: a new member pings each seed until the seed replies,
// even if the member has already joined.
void membership::contact_seed() {
  periods_since_start_ =
      std::min(periods_since_start_ + 1, new_member_periods + 1);
  bool is_new =
      periods_since_start_ <= new_member_periods && !unanswered_seeds_.empty();
  double probability =
      joined_ ? seed_pings_per_second * to_seconds(values_.period) /
                    static_cast<double>(table_.own().live.size())
              : 1;
  if (!is_new && !chance(probability)) return;
  const auto* seed =
      is_new ? &unanswered_seeds_[random_below(unanswered_seeds_.size())]
             : choose_seed();
  if (seed == nullptr) return;
  if (seed->address == self_.info.address &&
      seed->port == self_.info.control_port) {
    return remove_unanswered_seed(*seed);
  }
  member to;
  to.address = seed->address;
  to.control_port = seed->port;
  if (is_new) pinged_seeds_[last_sequence_ + 1] = *seed;
  send_ping(to, ++last_sequence_);
}

const seed_address* membership::choose_seed() {
  auto address_count = values_.seeds.size() + platform_addresses_.size();
  if (address_count == 0) return nullptr;
  auto chosen = random_below(address_count);
  if (chosen < values_.seeds.size()) return &values_.seeds[chosen];
  return &platform_addresses_[chosen - values_.seeds.size()];
}

// Takes a copy because the argument may be an element of the list.
void membership::remove_unanswered_seed(seed_address seed) {
  std::erase_if(unanswered_seeds_, [&](const seed_address& listed) {
    return listed.address == seed.address && listed.port == seed.port;
  });
}

void membership::send_ping(const member& to, std::uint64_t sequence) {
  ping message;
  message.sequence = sequence;
  message.self = self_;
  message.digest = digest_;
  message.domains = table_.domain_digests(in_own_domain(to));
  if (message.domains.size() > max_domains) {
    message.domains.resize(max_domains);
  }
  auto used_bytes = wire_size(self_) + digest_.size() +
                    message.domains.size() * sizeof(domain_digest);
  // A suspected member must learn of the suspicion to be able to refute it.
  const record* target = table_.find(to.id);
  if (target != nullptr && target->known.info.state == member_state::suspect) {
    message.updates.push_back(target->known);
    used_bytes += wire_size(target->known);
  }
  for (auto& update : gossip(in_own_domain(to), used_bytes)) {
    message.updates.push_back(std::move(update));
  }
  send_to(to, std::move(message));
}

void membership::ask_relays(const member_id& target, std::uint64_t sequence) {
  const auto& view = table_.own();
  std::vector<const record*> chosen;
  for (std::uint32_t tries = 0;
       tries < 3 * values_.relays && chosen.size() < values_.relays; ++tries) {
    const record* relay = random_peer(view);
    if (relay == nullptr || relay->known.info.id == target) continue;
    if (std::find(chosen.begin(), chosen.end(), relay) != chosen.end()) {
      continue;
    }
    chosen.push_back(relay);
    send_to(relay->known.info, ping_request{sequence, target});
  }
}

void membership::handle(const received<ping>& received_ping) {
  const auto& message = received_ping.message;
  if (message.self.info.id != received_ping.from ||
      !is_valid(message.self.info))
    return;
  apply_update(message.self);
  if (table_.find(received_ping.from) == nullptr)
    foreign_entries_[received_ping.from] = message.self.info;
  const member* from = record_contact(received_ping.from);
  if (from == nullptr) return;
  member to = *from;
  apply_updates(message.updates);
  answer_ping(to, message);
  report_peer_digest(received_ping.from, message.digest);
  compare_domains(to, message.domains);
}

void membership::answer_ping(const member& to, const ping& message) {
  ack reply{message.sequence, self_.info.id, digest_, {}};
  auto used_bytes = digest_.size();
  auto add = [&](const member_update& update) {
    used_bytes += wire_size(update);
    reply.updates.push_back(update);
  };
  // A new member that pings a seed does not know the seed's identity yet.
  if (!own_domain_view_matches(message)) add(self_);
  // A member that is not considered alive learns of it and can refute it.
  const record* existing = table_.find(to.id);
  if (existing != nullptr &&
      existing->known.info.state != member_state::alive) {
    add(existing->known);
  }
  for (auto& update : gossip(in_own_domain(to), used_bytes)) {
    reply.updates.push_back(std::move(update));
  }
  send_to(to, std::move(reply));
}

bool membership::own_domain_view_matches(const ping& message) const {
  bool same_domain = in_own_domain(message.self.info);
  auto own_key = member_table::key_of(self_.info.domain);
  auto own_digests = table_.domain_digests(same_domain);
  auto find = [&](const auto& digests) {
    return std::find_if(digests.begin(), digests.end(), [&](const auto& entry) {
      return entry.domain == own_key;
    });
  };
  auto their_digest = find(message.domains);
  return their_digest != message.domains.end() &&
         their_digest->members_hash == find(own_digests)->members_hash;
}

void membership::handle(const received<ack>& received_ack) {
  const auto& message = received_ack.message;
  apply_updates(message.updates);
  record_contact(received_ack.from);
  if (received_ack.from == message.subject) {
    report_peer_digest(received_ack.from, message.digest);
  }
  end_local_suspicion(message.subject);
  auto pinged = pinged_seeds_.extract(message.sequence);
  if (!pinged.empty()) remove_unanswered_seed(pinged.mapped());
  auto it = probes_.find(message.sequence);
  if (it == probes_.end() || it->second.target != message.subject) return;
  probe finished = std::move(it->second);
  probes_.erase(it);
  const record* requester = table_.find(finished.requester);
  if (requester == nullptr) return;
  send_to(requester->known.info,
          ack{finished.requester_sequence, finished.target, {}, {}});
}

// A suspicion that was spread by gossip ends only by a refutation. The
// suspicion of a leaving member is only local and ends with the member's reply.
void membership::end_local_suspicion(const member_id& id) {
  const record* suspected = table_.find(id);
  if (suspected == nullptr) return;
  if (suspected->known.info.state == member_state::leaving)
    suspicion_ends_.erase(id);
}

void membership::handle(const received<ping_request>& received_request) {
  const member* requester = record_contact(received_request.from);
  const record* target = table_.find(received_request.message.target);
  if (requester == nullptr || target == nullptr) return;
  auto sequence = ++last_sequence_;
  probes_[sequence] = {received_request.message.target, now_, true,
                       received_request.from,
                       received_request.message.sequence};
  send_ping(target->known.info, sequence);
}

void membership::compare_domains(const member& from,
                                 std::span<const domain_digest> their_digests) {
  auto own_digests = table_.domain_digests(in_own_domain(from));
  for (const auto& their_digest : their_digests) {
    bool known = std::any_of(own_digests.begin(), own_digests.end(),
                             [&](const auto& own_digest) {
                               return own_digest.domain == their_digest.domain;
                             });
    if (!known) own_digests.push_back({their_digest.domain, 0});
  }
  // The sender's domain comes first because a new member needs the members of
  // its own domain before all others. The other domains come in random order,
  // so that the limit does not always skip the same ones.
  for (std::size_t i = own_digests.size(); i > 1; --i) {
    std::swap(own_digests[i - 1], own_digests[random_below(i)]);
  }
  auto sender_domain = member_table::key_of(from.domain);
  std::partition(own_digests.begin(), own_digests.end(),
                 [&](const auto& own_digest) {
                   return own_digest.domain == sender_domain;
                 });
  for (const auto& own_digest : own_digests) {
    auto it = std::find_if(their_digests.begin(), their_digests.end(),
                           [&](const auto& their_digest) {
                             return their_digest.domain == own_digest.domain;
                           });
    auto their_hash = it == their_digests.end() ? 0 : it->members_hash;
    if (their_hash == own_digest.members_hash) continue;
    if (syncs_left_ == 0) return;
    --syncs_left_;
    send_buckets(from, own_digest.domain);
  }
}

void membership::send_buckets(const member& to, std::uint32_t domain) {
  auto buckets = table_.digests(domain, in_own_domain(to));
  send_to(to, bucket_digests{domain, {buckets.begin(), buckets.end()}});
}

void membership::handle(const received<bucket_digests>& received_digests) {
  const auto& message = received_digests.message;
  const member* from = record_contact(received_digests.from);
  if (from == nullptr) return;
  if (message.buckets.size() != member_table::bucket_count) return;
  member to = *from;
  auto own_digests = table_.digests(message.domain, in_own_domain(to));
  std::uint64_t differing = 0;
  for (std::size_t i = 0; i < own_digests.size(); ++i) {
    if (own_digests[i] != message.buckets[i])
      differing |= std::uint64_t{1} << i;
  }
  if (differing == 0) return;
  auto members =
      table_.members_in(message.domain, differing, in_own_domain(to));
  send_members(to, message.domain, members, differing);
}

// Starts at a random member, so that members beyond the datagram limit are sent
// at a later synchronization.
void membership::send_members(const member& to, std::uint32_t domain,
                              std::span<const record* const> members,
                              std::uint64_t requested_buckets) {
  auto start = members.empty() ? 0 : random_below(members.size());
  std::size_t sent_count = 0;
  for (std::uint32_t count = 0; count < values_.sync_datagrams; ++count) {
    bucket_members message{domain, count == 0 ? requested_buckets : 0, {}};
    std::size_t used_bytes = overhead_bytes;
    for (; sent_count < members.size(); ++sent_count) {
      const auto& update =
          members[(start + sent_count) % members.size()]->known;
      used_bytes += wire_size(update);
      if (used_bytes > datagram_limit_bytes) break;
      message.updates.push_back(update);
    }
    send_to(to, std::move(message));
    if (sent_count == members.size()) return;
  }
}

void membership::handle(const received<bucket_members>& received_members) {
  const auto& message = received_members.message;
  const member* from = record_contact(received_members.from);
  if (from == nullptr) return;
  member to = *from;
  std::vector<const record*> newer_here;
  for (const auto& update : message.updates) {
    apply_update(update);
    const record* existing = table_.find(update.info.id);
    if (existing != nullptr && member_table::newer(existing->known, update)) {
      newer_here.push_back(existing);
    }
  }
  if (message.requested_buckets != 0) {
    auto own_members = table_.members_in(
        message.domain, message.requested_buckets, in_own_domain(to));
    for (const record* own_member : own_members) {
      bool already_sent =
          std::any_of(message.updates.begin(), message.updates.end(),
                      [&](const auto& update) {
                        return update.info.id == own_member->known.info.id;
                      });
      if (!already_sent) newer_here.push_back(own_member);
    }
  }
  if (!newer_here.empty()) send_members(to, message.domain, newer_here, 0);
}

void membership::handle(const set_digest& change) {
  digest_ = change.digest;
  if (!change.urgent) return;
  for (std::uint32_t i = 0; i < values_.urgent_pings; ++i) {
    const record* peer = random_peer(table_.own());
    if (peer != nullptr) send_ping(peer->known.info, ++last_sequence_);
  }
}

void membership::handle(const instance_list& list) {
  platform_addresses_.clear();
  for (const auto& listed : list.members) {
    bool reachable = !listed.address.empty() && listed.control_port != 0;
    if (listed.id != self_.info.id && reachable) {
      platform_addresses_.push_back({listed.address, listed.control_port});
    }
    if (listed.state != member_state::leaving) continue;
    if (listed.id == self_.info.id) {
      if (self_.info.state == member_state::alive)
        actions_.push_back(told_to_leave());
      continue;
    }
    const record* existing = table_.find(listed.id);
    // The list may still describe an earlier incarnation of the same member.
    if (existing == nullptr || existing->dead()) continue;
    if (listed.incarnation != 0 &&
        listed.incarnation != existing->known.info.incarnation) {
      continue;
    }
    auto update = existing->known;
    update.info.state = member_state::leaving;
    apply_update(update);
  }
}

void membership::handle(const leave&) {
  if (self_.info.state == member_state::alive) {
    change_self(member_state::leaving);
  }
}

void membership::handle(const stop&) {
  self_.info.state = member_state::dead;
  auto final_update = self_;
  for (std::uint32_t i = 0; i < values_.urgent_pings; ++i) {
    const record* peer = random_peer(table_.own());
    if (peer == nullptr) break;
    ack message;
    message.sequence = 0;
    message.subject = self_.info.id;
    message.updates.push_back(final_update);
    send_to(peer->known.info, std::move(message));
  }
  stopped_ = true;
}

void membership::apply_updates(std::span<const member_update> updates) {
  for (const auto& update : updates) apply_update(update);
}

void membership::apply_update(const member_update& update) {
  if (!is_valid(update.info)) return;
  if (update.info.id == self_.info.id) return apply_update_about_self(update);
  const record* existing = table_.find(update.info.id);
  // The death of an unknown member is not spread.
  if (existing == nullptr && update.info.state == member_state::dead) return;
  record* changed = table_.apply_update(now_, update);
  if (changed == nullptr) return;
  const auto& info = changed->known.info;
  gossip_queue_.push(info.id);
  suspicion_ends_.erase(info.id);
  if (info.state == member_state::suspect && in_own_domain(info)) {
    suspicion_ends_[info.id] = now_ + suspicion_time();
  }
  actions_.push_back(member_changed{info});
}

void membership::apply_update_about_self(const member_update& update) {
  if (!member_table::newer(update, self_)) return;
  // A greater incarnation belongs to a later process with the same name, so its
  // state is not refuted.
  if (update.info.incarnation != self_.info.incarnation) return;
  if (update.info.state == member_state::leaving) {
    change_self(member_state::leaving);
    actions_.push_back(told_to_leave());
    return;
  }
  self_.refutations = update.refutations + 1;
  change_self(self_.info.state);
}

void membership::change_self(member_state state) {
  self_.info.state = state;
  table_.apply_update(now_, self_);
  gossip_queue_.push(self_.info.id);
}

void membership::suspect(record& target) {
  auto update = target.known;
  if (update.info.state == member_state::leaving) {
    suspicion_ends_.try_emplace(update.info.id, now_ + suspicion_time());
    return;
  }
  if (update.info.state != member_state::alive) return;
  update.info.state = member_state::suspect;
  apply_update(update);
}

void membership::declare_dead(const record& target) {
  auto update = target.known;
  update.info.state = member_state::dead;
  apply_update(update);
}

void membership::report_peer_digest(const member_id& from,
                                    const std::string& digest) {
  if (!digest.empty()) actions_.push_back(peer_digest{from, digest});
}

const member* membership::record_contact(const member_id& id) {
  last_message_at_ = now_;
  const record* found = table_.find(id);
  if (found != nullptr) {
    if (in_own_domain(found->known.info)) joined_ = true;
    return &found->known.info;
  }
  auto foreign_entry = foreign_entries_.find(id);
  return foreign_entry == foreign_entries_.end() ? nullptr
                                                 : &foreign_entry->second;
}

const membership::record* membership::random_peer(
    const member_table::domain_view& view) {
  if (view.live.empty()) return nullptr;
  const record* chosen = view.live[random_below(view.live.size())];
  if (chosen->known.info.id != self_.info.id) return chosen;
  if (view.live.size() == 1) return nullptr;
  return view.live[(chosen->live_index + 1) % view.live.size()];
}

duration membership::suspicion_time() const {
  auto members = static_cast<double>(table_.own().live.size());
  double factor =
      values_.suspicion_factor * std::max(1.0, std::log10(members + 1));
  return duration(static_cast<duration::rep>(
      factor * static_cast<double>(values_.period.count())));
}

std::vector<member_update> membership::gossip(bool to_own_domain,
                                              std::size_t used_bytes) {
  used_bytes += overhead_bytes;
  if (used_bytes >= datagram_limit_bytes) return {};
  return gossip_queue_.select_updates(table_, datagram_limit_bytes - used_bytes,
                                      !to_own_domain);
}

template <class Message>
void membership::send_to(const member& to, Message message) {
  actions_.push_back(
      send<Message>{to.id, to.address, to.control_port, std::move(message)});
}

// The failure domain of a seed is unknown until it replies. Treating a seed of
// the same domain as one of another domain is harmless: the message only
// carries less gossip.
bool membership::in_own_domain(const member& info) const {
  return info.domain == self_.info.domain;
}

bool membership::chance(double probability) {
  constexpr double scale = 0x1.0p-53;
  return static_cast<double>(random_() >> 11U) * scale < probability;
}

}  // namespace toucanmux
