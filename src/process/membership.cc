#include "toucanmux/process/membership.h"

#include <algorithm>
#include <cmath>

#include "toucanmux/process/datagram.h"

namespace toucanmux {

namespace {

// What the envelope and a message's own numbers use, with some to spare.
constexpr std::size_t overhead_bytes = 200;
// The longest name and address that are taken from others.
constexpr std::size_t name_limit_bytes = 64;
// Comparing more domains at once would only repeat what a peer already sends.
constexpr std::uint32_t syncs_per_period = 4;
constexpr std::size_t domain_limit = 64;
constexpr std::size_t visitor_limit = 64;
// A seed is asked now and then even later: it may lead over a healed cut.
constexpr double seed_pings_per_second = 0.2;
// A seed that has not answered by then is away; the usual rate is enough.
constexpr int new_for_periods = 10;
// Alone in silence, a member doubts its own connection first.
constexpr int isolated_factor = 4;

bool sensible(const member& who) {
  return !who.id.empty() && who.id.value.size() <= name_limit_bytes &&
         who.domain.value.size() <= name_limit_bytes &&
         who.address.size() <= name_limit_bytes;
}

double seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

membership::membership(const settings& values)
    : values_(values),
      random_(values.random_seed),
      table_(values.self.domain),
      queue_(values.gossip_factor),
      self_{values.self, 0},
      unanswered_seeds_(values.seeds) {
  table_.apply_update(now_, self_);
  queue_.push(self_.info.id);
}

std::vector<membership::action> membership::step(instant now,
                                                 const event& what) {
  now_ = now;
  out_.clear();
  if (stopped_) return {};
  std::visit([this](const auto& got) { handle(got); }, what);
  return std::move(out_);
}

void membership::handle(const tick&) {
  notice_own_pause();
  check_probes();
  check_suspicions();
  if (now_ >= next_period_) start_period();
}

// A gap between two ticks means that this process stood still. What it did
// not hear meanwhile says nothing about the others.
void membership::notice_own_pause() {
  if (!ticked_) last_heard_ = now_;
  auto gap = now_ - last_tick_;
  if (ticked_ && gap > values_.period) {
    probes_.clear();
    for (auto& [id, until] : suspicions_) until += gap;
    last_heard_ += gap;
  }
  ticked_ = true;
  last_tick_ = now_;
}

void membership::check_probes() {
  for (auto it = probes_.begin(); it != probes_.end();) {
    auto& [sequence, one] = *it;
    if (one.asker.empty() && !one.relayed &&
        now_ - one.asked >= values_.ack_timeout) {
      one.relayed = true;
      ask_relays(one.target, sequence);
    }
    if (now_ - one.asked < values_.period) {
      ++it;
      continue;
    }
    record* silent = one.asker.empty() ? table_.find(one.target) : nullptr;
    it = probes_.erase(it);
    if (silent != nullptr && inside(silent->known.info)) suspect(*silent);
  }
}

void membership::check_suspicions() {
  bool isolated = now_ - last_heard_ > 2 * values_.period;
  auto more = isolated ? (isolated_factor - 1) * suspicion_time() : duration(0);
  std::vector<member_id> over;
  for (const auto& [id, until] : suspicions_) {
    if (now_ >= until + more) over.push_back(id);
  }
  for (const auto& id : over) {
    suspicions_.erase(id);
    const record* one = table_.find(id);
    if (one != nullptr && !one->dead()) declare_dead(*one);
  }
}

void membership::start_period() {
  next_period_ = now_ + values_.period;
  syncs_left_ = syncs_per_period;
  table_.forget_dead(now_ - values_.forget_after);
  if (visitors_.size() > visitor_limit) visitors_.clear();
  probe_next();
  contact_other_domain();
  contact_seed();
}

void membership::probe_next() {
  if (order_.empty()) {
    for (const record* one : table_.own().live) {
      if (one->known.info.id != self_.info.id) {
        order_.push_back(one->known.info.id);
      }
    }
    for (std::size_t i = order_.size(); i > 1; --i) {
      std::swap(order_[i - 1], order_[pick(i)]);
    }
  }
  while (!order_.empty()) {
    const record* next = table_.find(order_.back());
    order_.pop_back();
    if (next == nullptr || next->dead()) continue;
    auto sequence = ++last_sequence_;
    probes_[sequence] = {next->known.info.id, now_, false, {}, 0};
    send_ping(next->known.info, sequence);
    return;
  }
}

// All pools of a domain together keep the number of contacts, so that it does
// not grow with them. Entries are not known in other domains; only one that
// has found nobody of its own asks there, to spare the seeds.
void membership::contact_other_domain() {
  if (joined_ && self_.info.role != member_role::pool) return;
  std::vector<const member_table::domain_view*> others;
  for (const auto& [key, view] : table_.domains()) {
    if (&view != &table_.own() && !view.live.empty()) others.push_back(&view);
  }
  if (others.empty()) return;
  double share = values_.contacts * static_cast<double>(others.size()) *
                 seconds(values_.period) /
                 static_cast<double>(table_.own().live_pools);
  if (joined_ && !chance(share)) return;
  const record* peer = random_peer(*others[pick(others.size())]);
  if (peer != nullptr) send_ping(peer->known.info, ++last_sequence_);
}

// A member that has met only its own failure domain knows of no other one, so
// a new member asks each seed once, whatever it has heard.
void membership::contact_seed() {
  periods_ = std::min(periods_ + 1, new_for_periods + 1);
  bool is_new = periods_ <= new_for_periods && !unanswered_seeds_.empty();
  double share = joined_ ? seed_pings_per_second * seconds(values_.period) /
                               static_cast<double>(table_.own().live.size())
                         : 1;
  if (!is_new && !chance(share)) return;
  const auto* seed = is_new ? &unanswered_seeds_[pick(unanswered_seeds_.size())]
                            : choose_seed();
  if (seed == nullptr) return;
  if (seed->address == self_.info.address &&
      seed->port == self_.info.control_port) {
    return seed_answered(*seed);
  }
  member to;
  to.address = seed->address;
  to.control_port = seed->port;
  if (is_new) asked_seeds_[last_sequence_ + 1] = *seed;
  send_ping(to, ++last_sequence_);
}

const seed_address* membership::choose_seed() {
  auto known = values_.seeds.size() + hints_.size();
  if (known == 0) return nullptr;
  auto chosen = pick(known);
  if (chosen < values_.seeds.size()) return &values_.seeds[chosen];
  return &hints_[chosen - values_.seeds.size()];
}

// Takes a copy: the seed may be an element of the list.
void membership::seed_answered(seed_address seed) {
  std::erase_if(unanswered_seeds_, [&](const seed_address& one) {
    return one.address == seed.address && one.port == seed.port;
  });
}

void membership::send_ping(const member& to, std::uint64_t sequence) {
  ping message;
  message.sequence = sequence;
  message.self = self_;
  message.digest = digest_;
  message.domains = table_.domain_digests(inside(to));
  if (message.domains.size() > domain_limit) {
    message.domains.resize(domain_limit);
  }
  auto used = wire_size(self_) + digest_.size() +
              message.domains.size() * sizeof(domain_digest);
  // The suspect itself must hear of it, to be able to deny it.
  const record* target = table_.find(to.id);
  if (target != nullptr && target->known.info.state == member_state::suspect) {
    message.updates.push_back(target->known);
    used += wire_size(target->known);
  }
  for (auto& update : gossip(inside(to), used)) {
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

void membership::handle(const received<ping>& got) {
  const auto& message = got.message;
  if (message.self.info.id != got.from || !sensible(message.self.info)) return;
  learn(message.self);
  if (table_.find(got.from) == nullptr) visitors_[got.from] = message.self.info;
  const member* from = heard_from(got.from);
  if (from == nullptr) return;
  member to = *from;
  learn_all(message.updates);
  answer_ping(to, message);
  tell_peer_digest(got.from, message.digest);
  compare_domains(to, message.domains);
}

void membership::answer_ping(const member& to, const ping& message) {
  ack reply{message.sequence, self_.info.id, digest_, {}};
  auto used = digest_.size();
  auto add = [&](const member_update& update) {
    used += wire_size(update);
    reply.updates.push_back(update);
  };
  // A newcomer asked a seed and does not know its name yet.
  if (!knows_own_domain(message)) add(self_);
  // Whoever is wrongly held for dead hears of it, and denies it.
  const record* known = table_.find(to.id);
  if (known != nullptr && known->known.info.state != member_state::alive) {
    add(known->known);
  }
  for (auto& update : gossip(inside(to), used)) {
    reply.updates.push_back(std::move(update));
  }
  send_to(to, std::move(reply));
}

bool membership::knows_own_domain(const ping& message) const {
  bool same = inside(message.self.info);
  auto own = member_table::key_of(self_.info.domain);
  auto mine = table_.domain_digests(same);
  auto find = [&](const auto& digests) {
    return std::find_if(digests.begin(), digests.end(),
                        [&](const auto& one) { return one.domain == own; });
  };
  auto theirs = find(message.domains);
  return theirs != message.domains.end() &&
         theirs->members_hash == find(mine)->members_hash;
}

void membership::handle(const received<ack>& got) {
  const auto& message = got.message;
  learn_all(message.updates);
  heard_from(got.from);
  if (got.from == message.alive_member) {
    tell_peer_digest(got.from, message.digest);
  }
  answered(message.alive_member);
  auto asked = asked_seeds_.extract(message.sequence);
  if (!asked.empty()) seed_answered(asked.mapped());
  auto it = probes_.find(message.sequence);
  if (it == probes_.end() || it->second.target != message.alive_member) return;
  probe done = std::move(it->second);
  probes_.erase(it);
  const record* asker = table_.find(done.asker);
  if (asker == nullptr) return;
  send_to(asker->known.info, ack{done.asker_sequence, done.target, {}, {}});
}

// A suspicion that others also hold ends only by a refutation; one that is
// only kept here, about a leaving member, ends with its answer.
void membership::answered(const member_id& who) {
  const record* one = table_.find(who);
  if (one == nullptr) return;
  if (one->known.info.state == member_state::leaving) suspicions_.erase(who);
}

void membership::handle(const received<ping_request>& got) {
  const member* asker = heard_from(got.from);
  const record* target = table_.find(got.message.target);
  if (asker == nullptr || target == nullptr) return;
  auto sequence = ++last_sequence_;
  probes_[sequence] = {got.message.target, now_, true, got.from,
                       got.message.sequence};
  send_ping(target->known.info, sequence);
}

void membership::compare_domains(const member& from,
                                 std::span<const domain_digest> theirs) {
  auto mine = table_.domain_digests(inside(from));
  for (const auto& other : theirs) {
    bool known = std::any_of(mine.begin(), mine.end(), [&](const auto& one) {
      return one.domain == other.domain;
    });
    if (!known) mine.push_back({other.domain, 0});
  }
  // The asker's domain first: its members are what a new one needs most. The
  // others in any order, so that none waits for all before it.
  for (std::size_t i = mine.size(); i > 1; --i) {
    std::swap(mine[i - 1], mine[pick(i)]);
  }
  auto first = member_table::key_of(from.domain);
  std::partition(mine.begin(), mine.end(),
                 [&](const auto& one) { return one.domain == first; });
  for (const auto& one : mine) {
    auto it = std::find_if(theirs.begin(), theirs.end(), [&](const auto& two) {
      return two.domain == one.domain;
    });
    auto members = it == theirs.end() ? 0 : it->members_hash;
    if (members == one.members_hash) continue;
    if (syncs_left_ == 0) return;
    --syncs_left_;
    send_buckets(from, one.domain);
  }
}

void membership::send_buckets(const member& to, std::uint32_t domain) {
  auto buckets = table_.digests(domain, inside(to));
  send_to(to, bucket_digests{domain, {buckets.begin(), buckets.end()}});
}

void membership::handle(const received<bucket_digests>& got) {
  const auto& message = got.message;
  const member* from = heard_from(got.from);
  if (from == nullptr) return;
  if (message.buckets.size() != member_table::bucket_count) return;
  member to = *from;
  auto mine = table_.digests(message.domain, inside(to));
  std::uint64_t differing = 0;
  for (std::size_t i = 0; i < mine.size(); ++i) {
    if (mine[i] != message.buckets[i]) differing |= std::uint64_t{1} << i;
  }
  if (differing == 0) return;
  auto members = table_.members_in(message.domain, differing, inside(to));
  send_members(to, message.domain, members, differing);
}

// Starts at a random member, so that what does not fit this time comes later.
void membership::send_members(const member& to, std::uint32_t domain,
                              std::span<const record* const> members,
                              std::uint64_t wanted) {
  auto start = members.empty() ? 0 : pick(members.size());
  std::size_t done = 0;
  for (std::uint32_t count = 0; count < values_.sync_datagrams; ++count) {
    bucket_members message{domain, count == 0 ? wanted : 0, {}};
    std::size_t used = overhead_bytes;
    for (; done < members.size(); ++done) {
      const auto& one = members[(start + done) % members.size()]->known;
      used += wire_size(one);
      if (used > datagram_limit_bytes) break;
      message.updates.push_back(one);
    }
    send_to(to, std::move(message));
    if (done == members.size()) return;
  }
}

void membership::handle(const received<bucket_members>& got) {
  const auto& message = got.message;
  const member* from = heard_from(got.from);
  if (from == nullptr) return;
  member to = *from;
  std::vector<const record*> better;
  for (const auto& update : message.updates) {
    learn(update);
    const record* known = table_.find(update.info.id);
    if (known != nullptr && member_table::newer(known->known, update)) {
      better.push_back(known);
    }
  }
  if (message.requested_buckets != 0) {
    auto mine = table_.members_in(message.domain, message.requested_buckets,
                                  inside(to));
    for (const record* one : mine) {
      bool told = std::any_of(message.updates.begin(), message.updates.end(),
                              [&](const auto& update) {
                                return update.info.id == one->known.info.id;
                              });
      if (!told) better.push_back(one);
    }
  }
  if (!better.empty()) send_members(to, message.domain, better, 0);
}

void membership::handle(const set_digest& got) {
  digest_ = got.digest;
  if (!got.urgent) return;
  for (std::uint32_t i = 0; i < values_.urgent_pings; ++i) {
    const record* peer = random_peer(table_.own());
    if (peer != nullptr) send_ping(peer->known.info, ++last_sequence_);
  }
}

void membership::handle(const instance_list& got) {
  hints_.clear();
  for (const auto& one : got.members) {
    if (one.id != self_.info.id) {
      hints_.push_back({one.address, one.control_port});
    }
    if (one.state != member_state::leaving) continue;
    if (one.id == self_.info.id) {
      if (self_.info.state == member_state::alive)
        out_.push_back(told_to_leave());
      continue;
    }
    const record* known = table_.find(one.id);
    // The list may still speak of an earlier start of the same name.
    if (known == nullptr || known->dead()) continue;
    if (one.incarnation != 0 &&
        one.incarnation != known->known.info.incarnation) {
      continue;
    }
    auto update = known->known;
    update.info.state = member_state::leaving;
    learn(update);
  }
}

void membership::handle(const leave&) {
  if (self_.info.state == member_state::alive) {
    change_self(member_state::leaving);
  }
}

void membership::handle(const stop&) {
  self_.info.state = member_state::dead;
  auto last = self_;
  for (std::uint32_t i = 0; i < values_.urgent_pings; ++i) {
    const record* peer = random_peer(table_.own());
    if (peer == nullptr) break;
    ack message;
    message.sequence = 0;
    message.alive_member = self_.info.id;
    message.updates.push_back(last);
    send_to(peer->known.info, std::move(message));
  }
  stopped_ = true;
}

void membership::learn_all(std::span<const member_update> updates) {
  for (const auto& update : updates) learn(update);
}

void membership::learn(const member_update& update) {
  if (!sensible(update.info)) return;
  if (update.info.id == self_.info.id) return learn_self(update);
  const record* before = table_.find(update.info.id);
  // Nobody needs to hear that an unknown one is dead.
  if (before == nullptr && update.info.state == member_state::dead) return;
  record* changed = table_.apply_update(now_, update);
  if (changed == nullptr) return;
  const auto& who = changed->known.info;
  queue_.push(who.id);
  suspicions_.erase(who.id);
  if (who.state == member_state::suspect && inside(who)) {
    suspicions_[who.id] = now_ + suspicion_time();
  }
  out_.push_back(member_changed{who});
}

void membership::learn_self(const member_update& update) {
  if (!member_table::newer(update, self_)) return;
  // A greater incarnation is a later start of this name: it is right.
  if (update.info.incarnation != self_.info.incarnation) return;
  if (update.info.state == member_state::leaving) {
    change_self(member_state::leaving);
    out_.push_back(told_to_leave());
    return;
  }
  self_.refutations = update.refutations + 1;
  change_self(self_.info.state);
}

void membership::change_self(member_state state) {
  self_.info.state = state;
  table_.apply_update(now_, self_);
  queue_.push(self_.info.id);
}

void membership::suspect(record& one) {
  auto update = one.known;
  if (update.info.state == member_state::leaving) {
    suspicions_.try_emplace(update.info.id, now_ + suspicion_time());
    return;
  }
  if (update.info.state != member_state::alive) return;
  update.info.state = member_state::suspect;
  learn(update);
}

void membership::declare_dead(const record& one) {
  auto update = one.known;
  update.info.state = member_state::dead;
  learn(update);
}

void membership::tell_peer_digest(const member_id& from,
                                  const std::string& digest) {
  if (!digest.empty()) out_.push_back(peer_digest{from, digest});
}

const member* membership::heard_from(const member_id& id) {
  last_heard_ = now_;
  const record* one = table_.find(id);
  if (one != nullptr) {
    if (inside(one->known.info)) joined_ = true;
    return &one->known.info;
  }
  auto visitor = visitors_.find(id);
  return visitor == visitors_.end() ? nullptr : &visitor->second;
}

const membership::record* membership::random_peer(
    const member_table::domain_view& view) {
  if (view.live.empty()) return nullptr;
  const record* one = view.live[pick(view.live.size())];
  if (one->known.info.id != self_.info.id) return one;
  if (view.live.size() == 1) return nullptr;
  return view.live[(one->live_index + 1) % view.live.size()];
}

duration membership::suspicion_time() const {
  auto members = static_cast<double>(table_.own().live.size());
  double factor =
      values_.suspicion_factor * std::max(1.0, std::log10(members + 1));
  return duration(static_cast<duration::rep>(
      factor * static_cast<double>(values_.period.count())));
}

std::vector<member_update> membership::gossip(bool inside, std::size_t used) {
  used += overhead_bytes;
  if (used >= datagram_limit_bytes) return {};
  return queue_.select_updates(table_, datagram_limit_bytes - used, !inside);
}

template <class Message>
void membership::send_to(const member& to, Message message) {
  out_.push_back(
      send<Message>{to.id, to.address, to.control_port, std::move(message)});
}

// A seed's domain is not known yet; the few of the same domain lose nothing
// by being treated as of another one.
bool membership::inside(const member& other) const {
  return other.domain == self_.info.domain;
}

bool membership::chance(double probability) {
  constexpr double scale = 0x1.0p-53;
  return static_cast<double>(random_() >> 11U) * scale < probability;
}

}  // namespace toucanmux
