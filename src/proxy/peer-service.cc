#include "proxy/peer-service.h"

#include <algorithm>
#include <array>

#include "toucanmux/codec.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/proxy/peer-frame.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using role = peer_directory::role;
using scope = peer_report::scope;

constexpr duration near_interval = milliseconds(400);
// Bytes between failure domains are dear.
constexpr duration far_interval = milliseconds(1200);
// While a team is near its limit or a leader fails.
constexpr duration urgent_near_interval = milliseconds(200);
constexpr duration urgent_far_interval = milliseconds(400);
// So often hubs tell each other of the teams that are not near their limit,
// most of their bytes. Longer gaps refuse operations that are inside the rate.
constexpr duration full_sums_interval = milliseconds(400);
// Datagrams a second that reports may cost an instance; more peers hear from
// it less often.
constexpr double most_datagrams = 70;
// Longer than the interval at which proofs of the store come.
constexpr duration store_missed = milliseconds(1500);
// Proofs that come over two hubs are older.
constexpr duration store_missed_behind_hubs = milliseconds(2500);
// Peers that were heard within two of their intervals.
constexpr duration heard_lately = far_interval * 2;
// Three urgent reports are missing otherwise.
constexpr duration active_lasts = milliseconds(1500);
constexpr duration oldest_shown = std::chrono::seconds(1000);
// Records of leaders are told for so long after they became known.
constexpr duration lead_news_last = std::chrono::seconds(3);
constexpr std::size_t most_leads = 24;
constexpr std::ptrdiff_t scouts = 4;
// What a record takes of a datagram.
constexpr std::size_t lead_bytes = 21;
// A silent peer hears from this instance less often.
constexpr unsigned silent_every = 5;
// Instances of a failure domain that are tried until its hub is known.
constexpr std::size_t hub_tries = 6;
// What a report's lists may take of a datagram, and what their items take.
constexpr std::size_t report_bytes = 1080;
constexpr std::size_t gone_bytes = 4;
constexpr std::size_t most_gone = 120;
// Positions of more groups are not passed on in each report, but asked for.
constexpr std::size_t most_shared_groups = 16;
// The answer to a question has to fit into a datagram.
constexpr std::size_t most_asked = 40;

// Deals a list out to the parts of a report.
template <class Item>
class part_filler {
 public:
  explicit part_filler(std::span<const Item> items) : rest_(items) {}

  bool left() const { return !rest_.empty(); }
  // Takes what fits into the bytes that are left.
  void fill(std::vector<Item>& out, std::size_t& room) {
    auto count = std::min(rest_.size(), room / sizeof(Item));
    out.assign(rest_.begin(),
               rest_.begin() + static_cast<std::ptrdiff_t>(count));
    rest_ = rest_.subspan(count);
    room -= count * sizeof(Item);
  }

 private:
  std::span<const Item> rest_;
};

// Rounded up, and cut where it proves nothing any more.
std::uint32_t shown_age(duration age) {
  auto shown = std::chrono::ceil<milliseconds>(age);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(shown.count(), 0, oldest_shown.count() / 1000));
}

std::uint64_t stamp_of(instant at) {
  return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

}  // namespace

member_id peer_service::all_of(const domain_id& domain) {
  return member_id("*" + domain.value);
}

// Sums begin anew with another hub and with another process of it.
std::uint64_t peer_service::incarnation_of(const peer& hub) {
  return hub.incarnation ^ stable_hash(hub.record.id.value);
}

peer_service::peer_service(proxy_state& state, handlers told)
    : state_(state),
      told_(std::move(told)),
      port_(state.loop, state.settings.peer_address,
            [this](auto bytes, const auto& from) { take(bytes, from); }),
      incarnation_(stamp_of(boot_time())),
      peers_(state.settings.self, state.settings.domain,
             state.settings.cpu_millicores),
      last_members_(std::make_shared<const std::vector<member_id>>(
          1, state.settings.self)) {}

void peer_service::add(const store_api::member_record& record) {
  if (!peers_.add(state_.loop.now(), record)) return;
  note_members();
  expect_peers();
  hurry();
}

void peer_service::remove(const member_id& id) {
  peers_.remove(id);
  state_.rate_limits.forget_peer(id);
  note_members();
}

std::vector<store_api::member_record> peer_service::long_silent() const {
  return peers_.long_silent(state_.loop.now());
}

bool peer_service::lacks_records() const {
  return peers_.lacks_records(state_.loop.now());
}

bool peer_service::replaces_leaders() const {
  return peers_.own_role() != role::member;
}

std::vector<member_id> peer_service::replacers() const {
  std::vector<member_id> out;
  bool hubs_only = peers_.own_role() != role::mesh;
  for (const auto& [id, entry] : peers_.all()) {
    bool counts = entry.ever_heard && !entry.leaving &&
                  state_.loop.now() - entry.heard < heard_lately;
    if (counts && (!hubs_only || entry.is_hub)) out.push_back(id);
  }
  return out;
}

bool peer_service::reads_for_domain() const {
  return peers_.reader(state_.loop.now()) == nullptr;
}

bool peer_service::scouts_for_domain() const {
  auto own = std::find(near_members_.begin(), near_members_.end(),
                       state_.settings.self);
  return own - near_members_.begin() < scouts;
}

bool peer_service::reads_for_all() const {
  return peers_.goes_before_hubs(state_.loop.now());
}

std::uint64_t peer_service::upstream_revision() const {
  const auto* reader = peers_.reader(state_.loop.now());
  return reader ? reader->upstream_revision : 0;
}

std::vector<member_id> peer_service::active() const {
  std::vector<member_id> out;
  for (const auto& [id, entry] : peers_.all()) {
    bool silent = state_.loop.now() - entry.heard > active_lasts;
    if (entry.ever_heard && !entry.leaving && !silent) out.push_back(id);
  }
  return out;
}

bool peer_service::hears(std::uint32_t member) const {
  auto heard = active();
  return std::any_of(heard.begin(), heard.end(), [&](const auto& id) {
    return short_hash(id.value) == member;
  });
}

bool peer_service::leads_differ_elsewhere() const {
  const auto* reader = peers_.reader(state_.loop.now());
  return reader && reader->lead_digest != state_.leader_leases.digest();
}

void peer_service::announce() {
  hurry();
  tick();
}

bool peer_service::config_is_newer_elsewhere() const {
  const auto& all = peers_.all();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    return item.second.config_revision > state_.config->revision();
  });
}

void peer_service::note_members() {
  auto now = peers_.members(state_.loop.now());
  if (now == *last_members_) return;
  last_members_ =
      std::make_shared<const std::vector<member_id>>(std::move(now));
  near_members_.clear();
  for (const auto& id : *last_members_) {
    auto known = peers_.all().find(id);
    bool self = known == peers_.all().end();
    if (self || peers_.is_near(known->second)) near_members_.push_back(id);
  }
  if (peers_.own_role() != role::mesh) expect_peers();
  told_.members_changed();
}

// Whose reports the limits count depends on the role.
void peer_service::expect_peers() {
  instant now = state_.loop.now();
  auto& limits = state_.rate_limits;
  if (peers_.own_role() == role::member) {
    auto others = static_cast<double>(member_count()) - 1;
    return limits.expect_peer(now, all_of({}), others, false, true);
  }
  bool mesh = peers_.own_role() == role::mesh;
  for (const auto& [id, entry] : peers_.all()) {
    bool near = peers_.is_near(entry);
    if (!mesh && !(near && peers_.lives(now, entry))) continue;
    limits.expect_peer(now, id, 1, near);
  }
  if (mesh) return;
  for (const auto& domain : peers_.other_domains()) {
    auto size = static_cast<double>(peers_.size_of(now, domain));
    limits.expect_peer(now, all_of(domain), size, false);
  }
}

void peer_service::change_role() {
  if (!peers_.update_role(state_.loop.now())) return;
  constexpr std::array<std::string_view, 3> names{"mesh", "hub", "member"};
  const auto* hub = peers_.reader(state_.loop.now());
  state_.log.write(
      journal_kind::belief, "role_changed",
      {{"role", names[static_cast<std::size_t>(peers_.own_role())]},
       {"hub", hub ? hub->record.id.value : std::string()},
       {"members", std::uint64_t{member_count()}}});
  state_.rate_limits.forget_peers();
  expect_peers();
  hurry();
  next_full_ = {};
}

// More peers hear from an instance less often.
duration peer_service::least_interval() const {
  auto peers = static_cast<double>(peers_.all().size());
  std::chrono::duration<double> out(peers / most_datagrams);
  return std::chrono::duration_cast<duration>(out);
}

bool peer_service::is_urgent() const {
  if (state_.rate_limits.pressed() || lacks_store()) return true;
  return std::any_of(
      state_.groups.begin(), state_.groups.end(),
      [](const auto& item) { return item.second->watch().failing(); });
}

bool peer_service::lacks_store() const {
  bool mesh = peers_.own_role() == role::mesh;
  return state_.leader_leases.proven() &&
         state_.leader_leases.age(state_.loop.now()) >
             (mesh ? store_missed : store_missed_behind_hubs);
}

// Each is larger than the one before, though the clock may stand still.
std::uint64_t peer_service::next_stamp() {
  last_stamp_ = std::max(last_stamp_ + 1, stamp_of(boot_time()));
  return last_stamp_;
}

void peer_service::tick() {
  peers_.set_lacks_store(lacks_store());
  change_role();
  note_members();
  choose_probers();
  switch (peers_.own_role()) {
    case role::mesh:
      return tick_mesh();
    case role::hub:
      return tick_hub();
    case role::member:
      return tick_member();
  }
}

void peer_service::tick_mesh() {
  instant now = state_.loop.now();
  auto least = least_interval();
  bool wanted = state_.rate_limits.wants_report() && now >= last_far_ + least;
  if (now < next_near_ && now < next_far_ && !wanted) return;
  bool urgent = is_urgent();
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
    state_.rate_limits.reported();
    if (now >= next_full_) next_full_ = now + far_interval;
  }
}

void peer_service::tick_hub() {
  instant now = state_.loop.now();
  if (now < next_near_ && !state_.rate_limits.wants_report()) return;
  next_near_ = now + (is_urgent() ? urgent_near_interval : near_interval);
  send_near(true);
  send_to_hubs();
  state_.rate_limits.reported();
}

void peer_service::tick_member() {
  instant now = state_.loop.now();
  if (now < next_near_ && !state_.rate_limits.wants_report()) return;
  next_near_ = now + (is_urgent() ? urgent_near_interval : near_interval);
  const peer* hub = peers_.reader(now);
  if (!hub) return;
  send_parts(make_parts({}), *hub);
  state_.rate_limits.reported();
}

peer_report peer_service::make_report(const contents& what) const {
  instant now = state_.loop.now();
  peer_report out;
  out.whose = what.whose;
  out.domain = short_hash(state_.settings.domain.value);
  out.leaving = state_.stopping;
  out.settled = state_.rate_limits.settled(now);
  out.lacks_store = lacks_store();
  out.wants_reply = out.lacks_store && !what.reply;
  out.capacity = state_.settings.cpu_millicores;
  out.known = static_cast<std::uint32_t>(peers_.all().size());
  out.upstream_revision = upstream_revision_;
  bool domain = what.whose == scope::domain;
  if (state_.confirmation.proven()) {
    out.config_revision = state_.config->revision();
    out.config_age_ms = shown_age(state_.confirmation.age(now));
  }
  out.lead_digest = state_.leader_leases.digest();
  out.lead_age_ms =
      shown_age(state_.leader_leases.proven() ? state_.leader_leases.age(now)
                                              : oldest_shown);
  if (domain) out.lead_knowers = peers_.knowers(out.lead_digest);
  // A new process lacks the records that all others have known for long.
  out.leads.items = state_.leader_leases.recent(
      now, what.reply ? oldest_shown : lead_news_last);
  if (out.leads.items.size() > most_leads) out.leads.items.resize(most_leads);
  bool mesh = peers_.own_role() == role::mesh;
  auto near = domain ? peers_.size_of(now, state_.settings.domain) + 1 : 1;
  for (const auto& [id, group] : state_.groups) {
    auto position = shares_positions_ && !domain
                        ? position_of(*group)
                        : std::optional<group_position>();
    if (position) out.positions.items.push_back(*position);
    // Sightings matter only where somebody finds the leader failing.
    if (!mesh && !group->watch().disputed(now)) continue;
    auto sighting = group->watch().sighting(now, id);
    if (domain) sighting.speaks_for = static_cast<std::uint16_t>(near);
    out.sightings.items.push_back(sighting);
  }
  if (what.whose != scope::self) {
    out.gone.items = peers_.gone(now, domain);
    if (out.gone.items.size() > most_gone) out.gone.items.resize(most_gone);
  }
  return out;
}

// Several if there is more than a datagram holds.
peer_service::parts peer_service::make_parts(const contents& what) {
  using use_scope = rate_ledger::scope;
  constexpr std::array<use_scope, 3> scopes{use_scope::own, use_scope::domain,
                                            use_scope::fleet};
  auto whose = scopes[static_cast<std::size_t>(what.whose)];
  peer_report report = make_report(what);
  auto uses = state_.rate_limits.report(what.all_teams, whose);
  if (what.whose == scope::domain) state_.rate_limits.domain_reported(uses);
  auto sightings = std::move(report.sightings.items);
  auto positions = std::move(report.positions.items);
  part_filler<team_use> next_uses(uses);
  part_filler<group_sighting> next_sightings(sightings);
  part_filler<group_position> next_positions(positions);
  parts out;
  report.cycle = next_stamp();
  report.stamp = report.cycle;
  report.all_teams = what.all_teams;
  report.uses_in_all = static_cast<std::uint32_t>(uses.size());
  do {
    auto room = report_bytes - report.gone.items.size() * gone_bytes -
                report.leads.items.size() * lead_bytes;
    next_positions.fill(report.positions.items, room);
    next_sightings.fill(report.sightings.items, room);
    next_uses.fill(report.uses.items, room);
    if (what.whose == scope::self) {
      others_.sent(report.stamp, report.uses.items);
    }
    out.push_back(encode(peer_message(report)));
    report.head = false;
    report.gone.items.clear();
    report.leads.items.clear();
    report.stamp = next_stamp();
  } while (next_uses.left() || next_sightings.left() || next_positions.left());
  return out;
}

void peer_service::send_near(bool to_all) {
  instant now = state_.loop.now();
  ++turn_;
  bool hub = peers_.own_role() == role::hub;
  auto bodies = make_parts({hub ? scope::fleet : scope::self, true, false});
  const peer* reader = peers_.reader(now);
  for (const auto& [id, entry] : peers_.all()) {
    if (!peers_.is_near(entry) || (!to_all && &entry != reader)) continue;
    if (!peers_.lives(now, entry) && turn_ % silent_every != 0) continue;
    send_parts(bodies, entry);
  }
}

void peer_service::send_far() {
  instant now = state_.loop.now();
  ++turn_;
  auto bodies = make_parts({scope::self, now >= next_full_, false});
  for (const auto& [id, entry] : peers_.all()) {
    if (peers_.is_near(entry)) continue;
    if (!peers_.lives(now, entry) && turn_ % silent_every != 0) continue;
    send_parts(bodies, entry);
  }
}

// Until a domain's hub is known its instances are tried by turns; they answer
// who it is.
void peer_service::send_to_hubs() {
  instant now = state_.loop.now();
  bool all_teams = now >= next_full_;
  if (all_teams) next_full_ = now + full_sums_interval;
  auto bodies = make_parts({scope::domain, all_teams, false});
  for (const auto& domain : peers_.other_domains()) {
    if (const peer* hub = peers_.hub_of(now, domain)) {
      send_parts(bodies, *hub);
      continue;
    }
    std::vector<const peer*> tried;
    for (const auto& [id, entry] : peers_.all()) {
      if (entry.record.domain == domain) tried.push_back(&entry);
    }
    auto tries = std::min(hub_tries, tried.size());
    for (std::size_t i = 0; i < tries; ++i) {
      send_parts(bodies, *tried[(turn_ * hub_tries + i) % tried.size()]);
    }
  }
}

void peer_service::send_parts(const parts& bodies, const peer& to) {
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
    state_.log.write(journal_kind::dependency, "report_not_sent",
                     {{"reason", e.what()}});
  }
}

void peer_service::tell(const upstream_news& news) {
  instant now = state_.loop.now();
  auto body = encode(peer_message(news));
  for (const auto& [id, entry] : peers_.all()) {
    bool wanted = peers_.is_near(entry) && peers_.lives(now, entry);
    if (wanted) send(body, 0, entry.record.address);
  }
}

// Who probes the leaders where not everybody does: the domain's reader, or all
// by turns if there are many groups.
const peer* peer_service::prober_of(const upstream_group& group,
                                    const peer* reader) const {
  bool few = state_.groups.size() <= most_shared_groups;
  if (few || near_members_.empty()) return reader;
  auto turn = group.hash() % near_members_.size();
  auto known = peers_.all().find(near_members_[turn]);
  return known != peers_.all().end() ? &known->second : nullptr;
}

// Where instances are many or connections are few, one instance of the domain
// probes a leader, and passes its position on.
void peer_service::choose_probers() {
  using probing = upstream_group::probing;
  instant now = state_.loop.now();
  bool mesh = peers_.own_role() == role::mesh;
  bool hub = peers_.own_role() == role::hub;
  bool few = state_.groups.size() <= most_shared_groups;
  const peer* reader = peers_.reader(now);
  shares_positions_ = false;
  std::map<const peer*, position_question> questions;
  for (const auto& [id, group] : state_.groups) {
    if (mesh && !group->borrows()) {
      group->set_probing(probing::own);
      continue;
    }
    const peer* prober = prober_of(*group, reader);
    if (few && !prober) {
      shares_positions_ = true;
      group->want_samples();
    }
    // Hubs look for themselves before they replace a leader.
    bool looks = hub && group->watch().disputed(now);
    group->set_probing(prober && !looks ? probing::none : probing::shared);
    if (!prober || !group->needs_samples()) continue;
    auto& asked = questions[prober].groups.items;
    if (asked.size() < most_asked) asked.push_back(group->hash());
  }
  for (auto& [prober, question] : questions) {
    question.stamp = stamp_of(boot_time());
    send(encode(peer_message(question)), 0, prober->record.address);
  }
}

std::optional<group_position> peer_service::position_of(
    upstream_group& group) const {
  auto newest = group.samples().newest();
  if (!newest) return {};
  auto age = std::chrono::ceil<milliseconds>(state_.loop.now() -
                                             group.samples().newest_time());
  if (age > position_samples::keep) return {};
  return group_position{group.hash(), *newest,
                        static_cast<std::uint32_t>(age.count())};
}

}  // namespace toucanmux
