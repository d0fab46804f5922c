#include "proxy/peer-service.h"

#include <algorithm>

#include "toucanmux/codec.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/proxy/peer-frame.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration near_interval = milliseconds(400);
// Bytes between failure domains are dear.
constexpr duration far_interval = milliseconds(1200);
// While a team is near its limit or a leader fails.
constexpr duration urgent_near_interval = milliseconds(200);
constexpr duration urgent_far_interval = milliseconds(400);
// Datagrams a second that reports may cost an instance; more peers hear from
// it less often.
constexpr double most_datagrams = 70;
// A peer that has said nothing for so long is no member: its connections and
// its readiness are gone.
constexpr duration member_lasts = seconds(10);
// A peer this fresh can be counted on for reading the configuration.
constexpr duration reader_fresh = milliseconds(1500);
// Longer than the interval at which proofs of the store come.
constexpr duration store_missed = milliseconds(1500);
constexpr duration record_kept = seconds(60);
// A silent peer hears from this instance less often.
constexpr unsigned silent_every = 5;
// What a report's lists may take of a datagram, and what their items take.
constexpr std::size_t report_bytes = 1100;
constexpr std::size_t use_bytes = 16;
constexpr std::size_t sighting_bytes = 11;
constexpr std::size_t least_uses = 8;

std::uint64_t stamp_of(instant at) {
  return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

}  // namespace

peer_service::peer_service(proxy_state& state, handlers told)
    : state_(state),
      told_(std::move(told)),
      port_(state.loop, state.settings.peers,
            [this](auto bytes, const auto& from) { take(bytes, from); }),
      incarnation_(stamp_of(boot_time())),
      last_members_{state.settings.self} {}

void peer_service::add(const store_api::member_record& record) {
  if (record.id == state_.settings.self) return;
  auto [at, fresh] = peers_.try_emplace(record.id);
  at->second.record = record;
  if (!fresh) return;
  at->second.known = state_.loop.now();
  state_.limits.expect_peer(state_.loop.now(), record.id);
  note_members();
  hurry();
}

void peer_service::remove(const member_id& id) {
  peers_.erase(id);
  state_.limits.forget_peer(id);
  note_members();
}

bool peer_service::lives(const peer& what) const {
  instant now = state_.loop.now();
  if (what.leaving && now - what.heard > seconds(1)) return false;
  return now - std::max(what.heard, what.known) < member_lasts;
}

std::vector<member_id> peer_service::find_members() const {
  std::vector<member_id> out{state_.settings.self};
  for (const auto& [id, entry] : peers_) {
    if (lives(entry)) out.push_back(id);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<member_id> peer_service::heard_lately() const {
  std::vector<member_id> out;
  for (const auto& [id, entry] : peers_) {
    bool counts = entry.ever_heard && !entry.leaving &&
                  state_.loop.now() - entry.heard < far_interval * 2;
    if (counts) out.push_back(id);
  }
  return out;
}

std::size_t peer_service::heard_within(duration age) const {
  auto count = std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.ever_heard && state_.loop.now() - p.second.heard < age;
  });
  return static_cast<std::size_t>(count);
}

void peer_service::note_members() {
  auto now = find_members();
  if (now == last_members_) return;
  last_members_ = std::move(now);
  told_.members_changed();
}

bool peer_service::reads_before_self(const member_id& id,
                                     const peer& other) const {
  auto own = state_.settings.capacity;
  if (other.capacity != own) return other.capacity > own;
  return stable_hash(id.value) < stable_hash(state_.settings.self.value);
}

// Nothing if it is this instance itself.
const peer_service::peer* peer_service::domain_reader() const {
  const peer* best = nullptr;
  std::uint64_t best_hash = 0;
  for (const auto& [id, entry] : peers_) {
    bool may = is_near(entry) && !entry.leaving && !entry.lacks_store &&
               entry.ever_heard &&
               state_.loop.now() - entry.heard < reader_fresh;
    if (!may || !reads_before_self(id, entry)) continue;
    auto hash = stable_hash(id.value);
    bool better = !best || entry.capacity > best->capacity ||
                  (entry.capacity == best->capacity && hash < best_hash);
    if (!better) continue;
    best = &entry;
    best_hash = hash;
  }
  return best;
}

std::uint64_t peer_service::upstream_revision() const {
  const auto* reader = domain_reader();
  return reader ? reader->upstream_revision : 0;
}

bool peer_service::config_is_newer_elsewhere() const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.second.config_revision > state_.config->revision();
  });
}

std::vector<store_api::member_record> peer_service::long_silent() const {
  std::vector<store_api::member_record> out;
  for (const auto& [id, entry] : peers_) {
    auto last = std::max(entry.heard, entry.known);
    if (state_.loop.now() - last > record_kept) out.push_back(entry.record);
  }
  return out;
}

// More peers hear from an instance less often.
duration peer_service::least_interval() const {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      static_cast<double>(peers_.size()) / most_datagrams));
}

void peer_service::tick() {
  instant now = state_.loop.now();
  note_members();
  ask_positions();
  auto least = least_interval();
  state_.limits.expect_reports_every(least);
  bool wanted = state_.limits.wants_report() && now >= last_far_ + least;
  if (now < next_near_ && now < next_far_ && !wanted) return;
  bool urgent = state_.limits.pressed() || lacks_store();
  for (const auto& [id, group] : state_.groups) {
    urgent = urgent || group->watch().failing();
  }
  if (now >= next_near_ || wanted) {
    auto interval = urgent ? urgent_near_interval : near_interval;
    next_near_ = now + interval;
    bool to_all = reads_for_domain() || now >= next_mesh_ || wanted;
    if (to_all) next_mesh_ = now + std::max<duration>(interval, least);
    send_near(to_all);
  }
  if (now >= next_far_ || wanted) {
    auto interval = urgent ? urgent_far_interval : far_interval;
    next_far_ = now + std::max<duration>(interval, least);
    last_far_ = now;
    send_far();
    state_.limits.reported();
    if (now >= next_full_) next_full_ = now + far_interval;
  }
}

// Only peers can tell then whether this instance is on the losing side of a
// partition.
bool peer_service::lacks_store() const {
  return state_.proof.proven() &&
         state_.partition.silent_for(state_.loop.now()) > store_missed;
}

bool peer_service::is_near(const peer& what) const {
  return what.record.domain == state_.settings.domain;
}

peer_report peer_service::make_report() const {
  instant now = state_.loop.now();
  peer_report out;
  out.domain = short_hash(state_.settings.domain.value);
  out.leaving = state_.stopping;
  out.settled = state_.limits.settled(now);
  out.lacks_store = lacks_store();
  out.capacity = state_.settings.capacity;
  out.upstream_revision = upstream_revision_;
  if (state_.proof.proven()) {
    out.config_revision = state_.config->revision();
    auto age = std::chrono::ceil<milliseconds>(state_.proof.age(now));
    out.config_age_ms = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age.count(), 0, 1'000'000));
  }
  for (const auto& [id, group] : state_.groups) {
    out.sightings.items.push_back(group->watch().sighting(now, id));
  }
  return out;
}

// Several if there are more teams than a datagram holds; only the first one
// names the groups.
std::vector<std::string> peer_service::make_reports(purpose what_for) const {
  auto uses = state_.limits.report(what_for != purpose::pressed_teams);
  std::span<const team_use> rest(uses);
  std::vector<std::string> out;
  auto report = make_report();
  report.wants_reply = report.lacks_store && what_for != purpose::reply;
  auto stamp = stamp_of(boot_time());
  do {
    auto used = report.sightings.items.size() * sighting_bytes;
    auto room = used < report_bytes ? (report_bytes - used) / use_bytes : 0;
    auto part = rest.first(std::min(rest.size(), std::max(room, least_uses)));
    report.uses.items.assign(part.begin(), part.end());
    report.stamp = stamp++;
    out.push_back(encode(peer_message(report)));
    report.sightings.items.clear();
    rest = rest.subspan(part.size());
  } while (!rest.empty());
  return out;
}

void peer_service::send_near(bool to_all) {
  if (peers_.empty()) return;
  ++turn_;
  auto bodies = make_reports(purpose::full);
  const peer* reader = domain_reader();
  for (auto& [id, entry] : peers_) {
    if (!is_near(entry) || (!to_all && &entry != reader)) continue;
    if (!lives(entry) && turn_ % silent_every != 0) continue;
    send_report(bodies, entry);
  }
}

void peer_service::send_far() {
  ++turn_;
  bool full = state_.loop.now() >= next_full_;
  auto bodies = make_reports(full ? purpose::full : purpose::pressed_teams);
  for (auto& [id, entry] : peers_) {
    if (is_near(entry)) continue;
    if (!lives(entry) && turn_ % silent_every != 0) continue;
    send_report(bodies, entry);
  }
}

void peer_service::send_report(const std::vector<std::string>& bodies,
                               const peer& to) {
  for (const auto& body : bodies) send(body, to.stamp, to.record.address);
}

void peer_service::send(const std::string& body, std::uint64_t echo,
                        const inet_address& to) {
  datagram message;
  message.part = control_part::membership;
  message.from = state_.settings.self;
  message.incarnation = incarnation_;
  message.payload = encode(peer_frame{echo, body});
  try {
    port_.send(pack(message), to);
  } catch (const protocol_error& e) {
    state_.log.write(journal_event::dependency, "report_not_sent",
                     {{"reason", e.what()}});
  }
}

void peer_service::tell(const upstream_news& news) {
  auto body = encode(peer_message(news));
  for (const auto& [id, entry] : peers_) {
    if (is_near(entry) && lives(entry)) send(body, 0, entry.record.address);
  }
}

// Where connections are few, one instance of the domain probes the leaders,
// and the others ask it when a read needs a fresh position.
void peer_service::ask_positions() {
  const peer* reader = domain_reader();
  bool wanted = false;
  for (const auto& [id, group] : state_.groups) {
    group->set_prober(!reader);
    wanted = wanted || group->needs_samples();
  }
  if (!reader || !wanted) return;
  position_question question{stamp_of(boot_time())};
  send(encode(peer_message(question)), 0, reader->record.address);
}

// The name is only compared with this instance's own.
domain_id peer_service::domain_of(std::uint32_t hash) const {
  const auto& own = state_.settings.domain;
  if (short_hash(own.value) == hash) return own;
  return domain_id("#" + std::to_string(hash));
}

void peer_service::take(std::span<const char> bytes, const inet_address& from) {
  try {
    auto envelope = unpack_datagram(bytes);
    auto frame = decode<peer_frame>(envelope.payload);
    auto message = decode<peer_message>(frame.body);
    if (envelope.from == state_.settings.self) return;
    std::visit(overloaded{[&](const peer_report& report) {
                            take_report(envelope, from, frame.echo, report);
                          },
                          [&](const position_question& question) {
                            answer_positions(from, question);
                          },
                          [&](const position_answer& a) { take_positions(a); },
                          [&](const upstream_news& news) {
                            told_.upstreams_changed(news);
                          }},
               message);
  } catch (const protocol_error& e) {
    state_.log.write(journal_event::dependency, "bad_datagram",
                     {{"from", to_text(from)}, {"reason", e.what()}});
  }
}

void peer_service::take_report(const datagram& envelope,
                               const inet_address& from, std::uint64_t echo,
                               const peer_report& report) {
  instant now = state_.loop.now();
  const member_id& id = envelope.from;
  auto [at, fresh] = peers_.try_emplace(id);
  peer& entry = at->second;
  if (fresh) {
    entry.record = {id, domain_of(report.domain), from};
    entry.known = now;
  }
  bool restarted = entry.incarnation != envelope.incarnation;
  if (!restarted && report.stamp <= entry.stamp) return;  // Came late.
  entry.incarnation = envelope.incarnation;
  entry.record.address = from;
  entry.stamp = report.stamp;
  entry.echoed = echo;
  entry.heard = now;
  entry.ever_heard = true;
  entry.leaving = report.leaving;
  entry.lacks_store = report.lacks_store;
  entry.capacity = report.capacity;
  entry.upstream_revision = report.upstream_revision;
  entry.config_revision = report.config_revision;
  state_.limits.take_report(now, id, envelope.incarnation, report.settled,
                            report.uses.items);
  for (const auto& sighting : report.sightings.items) {
    for (auto& [name, group] : state_.groups) {
      if (short_hash(name.value) != sighting.group) continue;
      group->watch().take_sighting(now, id, sighting);
    }
  }
  take_proof(entry, report);
  if (fresh || restarted) note_members();
  // A new process waits for what its peers know, and one without the store
  // for a sign that it is not alone.
  bool replies = fresh || restarted || report.wants_reply;
  if (!replies || report.sightings.items.empty()) return;
  send_report(make_reports(purpose::reply), entry);
}

void peer_service::answer_positions(const inet_address& to,
                                    const position_question& question) {
  instant now = state_.loop.now();
  position_answer out;
  out.echo = question.stamp;
  for (const auto& [id, group] : state_.groups) {
    group->want_samples();
    auto newest = group->samples().newest();
    if (!newest) continue;
    auto age =
        std::chrono::ceil<milliseconds>(now - group->samples().newest_time());
    if (age > position_samples::keep) continue;
    out.positions.items.push_back({short_hash(id.value), *newest,
                                   static_cast<std::uint32_t>(age.count())});
  }
  send(encode(peer_message(out)), 0, to);
}

// The peer answered after the question was sent, so the position is no older
// than the question less the age that the answer names.
void peer_service::take_positions(const position_answer& answer) {
  instant asked(duration(static_cast<std::int64_t>(answer.echo)));
  // Stamps of an earlier process prove nothing to this one.
  if (answer.echo < incarnation_ || asked > state_.loop.now()) return;
  for (const auto& item : answer.positions.items) {
    for (auto& [name, group] : state_.groups) {
      if (short_hash(name.value) != item.group) continue;
      group->samples().note(asked - milliseconds(item.age_ms), item.position);
    }
  }
}

// A peer that has heard our stamp sent its report after it, so what it proves
// is no older than the stamp less the age that it names. A report that was
// long on its way, or that waited while this process was suspended, proves no
// more than that.
void peer_service::take_proof(const peer& from, const peer_report& report) {
  bool same = report.config_revision != 0 &&
              report.config_revision == state_.config->revision();
  // Stamps of an earlier process prove nothing to this one.
  if (!same || from.echoed < incarnation_) return;
  instant sent(duration(static_cast<std::int64_t>(from.echoed)));
  if (sent > state_.loop.now()) return;
  instant proven = sent - milliseconds(report.config_age_ms);
  state_.proof.prove(proven);
  state_.partition.store_answered(proven);
}

}  // namespace toucanmux
