#include "proxy/peer-service.h"

#include <algorithm>
#include <array>

#include "toucanmux/codec.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/process/rendezvous.h"
#include "toucanmux/proxy/peer-frame.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using role = peer_directory::role;
using scope = peer_report::scope;

constexpr duration near_interval = milliseconds(400);
// Traffic between failure domains is expensive.
constexpr duration far_interval = milliseconds(1200);
// While a team is near its limit or a leader is failing.
constexpr duration urgent_near_interval = milliseconds(200);
constexpr duration urgent_far_interval = milliseconds(400);
// How often hubs report the teams that are not near their limit, which make up
// most of the bytes. With longer intervals operations within the rate are
// refused.
constexpr duration full_hub_report_interval = milliseconds(400);
// Limit on the cost of reports for one instance: with more peers, each of them
// gets reports less often.
constexpr double max_datagrams_per_second = 70;
// Longer than the interval between confirmations by the store.
constexpr duration store_timeout = milliseconds(1500);
// Confirmations that pass through two hubs are older.
constexpr duration store_timeout_behind_hubs = milliseconds(2500);
// Two report intervals between failure domains.
constexpr duration replacer_timeout = far_interval * 2;
// Beyond this age, three urgent reports are missing.
constexpr duration active_timeout = milliseconds(1500);
constexpr duration max_reported_age = std::chrono::seconds(1000);
// How long a changed leader record is included in reports.
constexpr duration leader_record_report_time = std::chrono::seconds(3);
constexpr std::size_t max_leader_records = 24;
constexpr std::ptrdiff_t max_backup_readers = 4;
// Size of an encoded leader record.
constexpr std::size_t leader_record_bytes = 29;
// A silent peer gets a report only in every fifth round.
constexpr unsigned silent_rounds = 5;
// Instances of a failure domain that get the sums in one round while the
// domain's hub is unknown.
constexpr std::size_t hub_attempts = 6;
// Bytes of a datagram for a report's lists, and the size of an encoded item of
// the list `gone`.
constexpr std::size_t max_report_list_bytes = 1080;
constexpr std::size_t gone_bytes = 4;
constexpr std::size_t max_gone = 120;
// With more groups, positions are sent on request instead of in each report.
constexpr std::size_t max_shared_groups = 16;
// The reply to a request has to fit into a datagram.
constexpr std::size_t max_requested_groups = 40;

// Distributes a list over the parts of a report.
template <class Item>
class part_filler {
 public:
  explicit part_filler(std::span<const Item> items) : remaining_(items) {}

  bool has_items() const { return !remaining_.empty(); }
  // Moves as many items as fit into `free_bytes`, and subtracts their size.
  void fill(std::vector<Item>& out, std::size_t& free_bytes) {
    auto count = std::min(remaining_.size(), free_bytes / sizeof(Item));
    out.assign(remaining_.begin(),
               remaining_.begin() + static_cast<std::ptrdiff_t>(count));
    remaining_ = remaining_.subspan(count);
    free_bytes -= count * sizeof(Item);
  }

 private:
  std::span<const Item> remaining_;
};

std::size_t encoded_size(std::span<const drained_domains_report> drained) {
  constexpr std::size_t fixed_bytes = 16;
  std::size_t out = 0;
  for (const auto& each : drained)
    out += fixed_bytes + each.domains.items.size() * sizeof(std::uint32_t);
  return out;
}

// What the lists that are not distributed over parts leave of a datagram.
std::size_t free_list_bytes(const peer_report& report) {
  auto used = report.gone.items.size() * gone_bytes +
              report.leader_records.items.size() * leader_record_bytes +
              report.loads.bytes() + encoded_size(report.drained.items);
  return max_report_list_bytes - std::min(used, max_report_list_bytes);
}

// Rounded up and capped: an age at the cap is too old to confirm anything.
std::uint32_t reported_age_ms(duration age) {
  auto age_ms = std::chrono::ceil<milliseconds>(age);
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      age_ms.count(), 0, max_reported_age.count() / 1000));
}

std::uint64_t stamp_of(instant at) {
  return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

}  // namespace

member_id peer_service::domain_member_id(const domain_id& domain) {
  return member_id("*" + domain.value);
}

// The counts of a hub's sums restart with another hub and with another process
// of the same hub.
std::uint64_t peer_service::sums_incarnation(const peer& hub) {
  return hub.incarnation ^ stable_hash(hub.record.id.value);
}

peer_service::peer_service(proxy_state& state, handlers callbacks)
    : state_(state),
      callbacks_(std::move(callbacks)),
      port_(state.loop, state.settings.peer_address,
            [this](auto bytes, const auto& from) {
              handle_datagram(bytes, from);
            }),
      incarnation_(stamp_of(boot_time())),
      peers_(state.settings.self, state.settings.domain,
             state.settings.cpu_millicores),
      loads_(state),
      members_(std::make_shared<const std::vector<member_id>>(
          1, state.settings.self)) {}

void peer_service::add(const store_api::member_record& record) {
  if (!peers_.add(state_.loop.now(), record)) return;
  update_members();
  update_expected_peers();
  expedite_reports();
}

// The capacity in the store's record is the same for all instances; reports of
// most peers reach only their hub in a large fleet.
std::vector<sharing_instance> peer_service::sharing_instances() const {
  const auto& settings = state_.settings;
  auto port = settings.relay_address.port;
  std::vector<sharing_instance> out;
  if (!state_.stopping) {
    out.push_back({{settings.self, settings.domain, settings.cpu_millicores},
                   settings.relay_address});
  }
  for (const auto& [id, entry] : peers_.all()) {
    if (entry.leaving || !peers_.is_alive(state_.loop.now(), entry)) continue;
    auto capacity =
        entry.record.capacity ? entry.record.capacity : entry.capacity;
    out.push_back(
        {{id, entry.record.domain, capacity}, {entry.record.address.ip, port}});
  }
  return out;
}

void peer_service::remove(const member_id& id) {
  peers_.remove(id);
  state_.rate_limits.remove_peer(id);
  update_members();
}

std::vector<store_api::member_record> peer_service::long_silent_members()
    const {
  return peers_.long_silent_members(state_.loop.now());
}

bool peer_service::lacks_member_records() const {
  return peers_.lacks_member_records(state_.loop.now());
}

bool peer_service::may_replace_leaders() const {
  return peers_.own_role() != role::member;
}

std::vector<member_id> peer_service::leader_replacers() const {
  std::vector<member_id> out;
  bool hubs_only = peers_.own_role() != role::mesh;
  for (const auto& [id, entry] : peers_.all()) {
    bool is_replacer = entry.ever_heard && !entry.leaving &&
                       state_.loop.now() - entry.heard_at < replacer_timeout;
    if (is_replacer && (!hubs_only || entry.is_hub)) out.push_back(id);
  }
  return out;
}

bool peer_service::is_domain_reader() const {
  return peers_.domain_reader(state_.loop.now()) == nullptr;
}

bool peer_service::is_backup_reader() const {
  auto own = std::find(near_members_.begin(), near_members_.end(),
                       state_.settings.self);
  return own - near_members_.begin() < max_backup_readers;
}

bool peer_service::is_fleet_reader() const {
  return peers_.outranks_all_hubs(state_.loop.now());
}

store_version peer_service::reader_upstream_version() const {
  const auto* reader = peers_.domain_reader(state_.loop.now());
  return reader ? reader->upstream_version : store_version{};
}

std::vector<member_id> peer_service::active_peers() const {
  std::vector<member_id> out;
  for (const auto& [id, entry] : peers_.all()) {
    bool is_silent = state_.loop.now() - entry.heard_at > active_timeout;
    if (entry.ever_heard && !entry.leaving && !is_silent) out.push_back(id);
  }
  return out;
}

bool peer_service::is_active(std::uint32_t member_hash) const {
  auto recently_heard = active_peers();
  return std::any_of(
      recently_heard.begin(), recently_heard.end(),
      [&](const auto& id) { return short_hash(id.value) == member_hash; });
}

std::vector<store_recovery::peer_knowledge> peer_service::leader_knowledge(
    instant since) const {
  std::vector<store_recovery::peer_knowledge> out;
  for (const auto& [id, entry] : peers_.all()) {
    bool counts = entry.ever_heard && !entry.leaving &&
                  peers_.is_alive(state_.loop.now(), entry);
    if (!counts) continue;
    out.push_back({{entry.leader_generation, entry.leader_digest},
                   entry.heard_at > since});
  }
  return out;
}

bool peer_service::reader_follows(std::uint64_t generation) const {
  const auto* reader = peers_.domain_reader(state_.loop.now());
  return !reader || reader->leader_generation == generation;
}

std::size_t peer_service::own_turn(std::string_view task,
                                   std::vector<member_id> others) const {
  const auto& self = state_.settings.self;
  others.push_back(self);
  auto turns = choose_owners(task, others, others.size());
  return static_cast<std::size_t>(std::find(turns.begin(), turns.end(), self) -
                                  turns.begin());
}

bool peer_service::leader_records_differ() const {
  const auto* reader = peers_.domain_reader(state_.loop.now());
  return reader && reader->leader_digest != state_.leader_leases.digest();
}

void peer_service::report_now() {
  expedite_reports();
  tick();
}

bool peer_service::peer_has_newer_config() const {
  const auto& all = peers_.all();
  return std::any_of(all.begin(), all.end(), [&](const auto& item) {
    return item.second.config_version > state_.config->version();
  });
}

void peer_service::update_members() {
  auto alive = peers_.members(state_.loop.now());
  if (alive == *members_) return;
  members_ = std::make_shared<const std::vector<member_id>>(std::move(alive));
  near_members_.clear();
  for (const auto& id : *members_) {
    auto known = peers_.all().find(id);
    bool self = known == peers_.all().end();
    if (self || peers_.is_near(known->second)) near_members_.push_back(id);
  }
  if (peers_.own_role() != role::mesh) update_expected_peers();
  callbacks_.members_changed();
}

// The role decides which peers' reports the rate limits expect.
void peer_service::update_expected_peers() {
  instant now = state_.loop.now();
  auto& limits = state_.rate_limits;
  if (peers_.own_role() == role::member) {
    auto others = static_cast<double>(member_count()) - 1;
    return limits.add_peer(now, domain_member_id({}), others, false, true);
  }
  bool mesh = peers_.own_role() == role::mesh;
  for (const auto& [id, entry] : peers_.all()) {
    bool near = peers_.is_near(entry);
    if (!mesh && !(near && peers_.is_alive(now, entry))) continue;
    limits.add_peer(now, id, 1, near);
  }
  if (mesh) return;
  for (const auto& domain : peers_.other_domains()) {
    auto size = static_cast<double>(peers_.count_alive(now, domain));
    limits.add_peer(now, domain_member_id(domain), size, false);
  }
}

void peer_service::update_role() {
  if (!peers_.update_role(state_.loop.now())) return;
  constexpr std::array<std::string_view, 3> names{"mesh", "hub", "member"};
  const auto* hub = peers_.domain_reader(state_.loop.now());
  state_.log.write(
      journal_kind::belief, "role_changed",
      {{"role", names[static_cast<std::size_t>(peers_.own_role())]},
       {"hub", hub ? hub->record.id.value : std::string()},
       {"members", std::uint64_t{member_count()}}});
  state_.rate_limits.remove_all_peers();
  loads_.clear();
  update_expected_peers();
  expedite_reports();
  next_full_report_ = {};
}

// Grows with the number of peers so that the datagrams a second stay bounded.
duration peer_service::min_report_interval() const {
  auto peers = static_cast<double>(peers_.all().size());
  std::chrono::duration<double> out(peers / max_datagrams_per_second);
  return std::chrono::duration_cast<duration>(out);
}

bool peer_service::is_urgent() const {
  if (state_.rate_limits.any_team_near_limit() || lacks_store()) return true;
  return std::any_of(
      state_.groups.begin(), state_.groups.end(),
      [](const auto& item) { return item.second->watch().failing(); });
}

bool peer_service::lacks_store() const {
  bool mesh = peers_.own_role() == role::mesh;
  return state_.leader_leases.confirmed() &&
         state_.leader_leases.age(state_.loop.now()) >
             (mesh ? store_timeout : store_timeout_behind_hubs);
}

// An instance that is cut off from the store keeps the confirmations of others,
// but would miss the changes that it reads for its failure domain. The end of
// the confirmations must not end this state, or two readers take turns.
bool peer_service::can_not_read_store() const {
  return lacks_store() || state_.contact.lost(state_.loop.now());
}

// Strictly increasing, even while the clock does not advance.
std::uint64_t peer_service::next_stamp() {
  last_stamp_ = std::max(last_stamp_ + 1, stamp_of(boot_time()));
  return last_stamp_;
}

void peer_service::tick() {
  peers_.set_lacks_store(can_not_read_store());
  update_role();
  update_members();
  choose_probers();
  loads_.tick();
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
  auto min_gap = min_report_interval();
  bool report_needed =
      state_.rate_limits.needs_report() && now >= last_far_report_ + min_gap;
  if (now < next_near_report_ && now < next_far_report_ && !report_needed)
    return;
  bool urgent = is_urgent();
  if (now >= next_near_report_ || report_needed) {
    auto interval = urgent ? urgent_near_interval : near_interval;
    next_near_report_ = now + interval;
    bool to_all = is_domain_reader() || now >= next_broadcast_ || report_needed;
    if (to_all) next_broadcast_ = now + std::max<duration>(interval, min_gap);
    send_near(to_all);
  }
  if (now >= next_far_report_ || report_needed) {
    auto interval = urgent ? urgent_far_interval : far_interval;
    next_far_report_ = now + std::max<duration>(interval, min_gap);
    last_far_report_ = now;
    send_far();
    state_.rate_limits.mark_reported();
    if (now >= next_full_report_) next_full_report_ = now + far_interval;
  }
}

void peer_service::tick_hub() {
  instant now = state_.loop.now();
  if (now < next_near_report_ && !state_.rate_limits.needs_report()) return;
  next_near_report_ =
      now + (is_urgent() ? urgent_near_interval : near_interval);
  send_near(true);
  send_to_hubs();
  state_.rate_limits.mark_reported();
}

void peer_service::tick_member() {
  instant now = state_.loop.now();
  if (now < next_near_report_ && !state_.rate_limits.needs_report()) return;
  next_near_report_ =
      now + (is_urgent() ? urgent_near_interval : near_interval);
  const peer* hub = peers_.domain_reader(now);
  if (!hub) return;
  send_parts(make_parts({}), *hub);
  state_.rate_limits.mark_reported();
}

// The receiver counts the ages back from its own stamp that is echoed with the
// report. That stamp may have been received after the turn began, so the ages
// are taken at the current time.
peer_report peer_service::make_report(const report_options& options) const {
  instant now = boot_time();
  peer_report out;
  out.sender_scope = options.sender_scope;
  out.domain = short_hash(state_.settings.domain.value);
  out.leaving = state_.stopping;
  out.levels_settled = state_.rate_limits.settled(now);
  out.lacks_store = can_not_read_store();
  out.wants_reply = lacks_store() && !options.is_reply;
  out.capacity = state_.settings.cpu_millicores;
  out.known_peers = static_cast<std::uint32_t>(peers_.all().size());
  auto generation = state_.store.current();
  out.store_generation = static_cast<std::uint32_t>(generation);
  if (upstream_version_.generation == generation)
    out.upstream_revision = upstream_version_.revision;
  const auto& upstreams = state_.upstream_confirmation;
  out.upstream_age_ms = reported_age_ms(
      upstreams.confirmed() ? upstreams.age(now) : max_reported_age);
  if (auto drained = state_.domains.drained.report(now, generation))
    out.drained.items.push_back(std::move(*drained));
  bool domain = options.sender_scope == scope::domain;
  if (state_.confirmation.confirmed()) {
    out.config_version = state_.config->version();
    out.config_digest = state_.config->digest();
    out.config_age_ms = reported_age_ms(state_.confirmation.age(now));
  }
  out.leader_generation =
      static_cast<std::uint32_t>(state_.leader_leases.generation());
  out.leader_digest = state_.leader_leases.digest();
  out.leader_age_ms = reported_age_ms(state_.leader_leases.confirmed()
                                          ? state_.leader_leases.age(now)
                                          : max_reported_age);
  if (domain) out.knowers_hash = peers_.knowers_hash(out.leader_digest);
  // A new process lacks all records, also those that did not change lately.
  out.leader_records.items = state_.leader_leases.recent(
      now, options.is_reply ? max_reported_age : leader_record_report_time);
  if (out.leader_records.items.size() > max_leader_records)
    out.leader_records.items.resize(max_leader_records);
  bool mesh = peers_.own_role() == role::mesh;
  auto domain_size =
      domain ? peers_.count_alive(now, state_.settings.domain) + 1 : 1;
  for (const auto& [id, group] : state_.groups) {
    auto position = shares_positions_ && !domain
                        ? position_of(*group)
                        : std::optional<group_position>();
    if (position) out.positions.items.push_back(*position);
    // With hubs, sightings are only sent for a leader that some instance finds
    // failing.
    if (!mesh && !group->watch().is_suspected(now)) continue;
    auto sighting = group->watch().sighting(now, id);
    if (domain) sighting.speaks_for = static_cast<std::uint16_t>(domain_size);
    out.sightings.items.push_back(sighting);
  }
  if (options.sender_scope != scope::self) {
    out.gone.items = peers_.gone_members(now, domain);
    if (out.gone.items.size() > max_gone) out.gone.items.resize(max_gone);
  }
  return out;
}

// Returns several parts if the report exceeds a datagram.
peer_service::report_parts peer_service::make_parts(
    const report_options& options) {
  using use_scope = rate_ledger::scope;
  constexpr std::array<use_scope, 3> scopes{use_scope::own, use_scope::domain,
                                            use_scope::fleet};
  auto reported_scope = scopes[static_cast<std::size_t>(options.sender_scope)];
  peer_report report = make_report(options);
  auto uses = state_.rate_limits.report(options.all_teams, reported_scope);
  if (options.sender_scope == scope::domain)
    state_.rate_limits.mark_domain_reported(uses);
  auto sightings = std::move(report.sightings.items);
  auto positions = std::move(report.positions.items);
  part_filler<team_usage> next_uses(uses);
  part_filler<group_sighting> next_sightings(sightings);
  part_filler<group_position> next_positions(positions);
  report.loads.items = loads_.loads(options.sender_scope);
  // Leader records and members that are gone are more urgent.
  if (free_list_bytes(report) == 0) report.loads.items.reset();
  const load_list loads = report.loads;
  report_parts out;
  report.first_stamp = next_stamp();
  report.stamp = report.first_stamp;
  report.all_teams = options.all_teams;
  report.total_uses = static_cast<std::uint32_t>(uses.size());
  do {
    auto free_bytes = free_list_bytes(report);
    next_positions.fill(report.positions.items, free_bytes);
    next_sightings.fill(report.sightings.items, free_bytes);
    next_uses.fill(report.uses.items, free_bytes);
    if (options.sender_scope == scope::self) {
      peer_usage_.record_sent(report.stamp, report.uses.items);
    }
    out.push_back(encode(peer_message(report)));
    report.is_first_part = false;
    report.gone.items.clear();
    report.drained.items.clear();
    report.leader_records.items.clear();
    report.loads.items.reset();
    report.stamp = next_stamp();
  } while (next_uses.has_items() || next_sightings.has_items() ||
           next_positions.has_items());
  loads_.record_sent(options.sender_scope, report.first_stamp, loads, out);
  return out;
}

void peer_service::send_near(bool to_all) {
  instant now = state_.loop.now();
  ++round_;
  bool hub = peers_.own_role() == role::hub;
  auto bodies = make_parts({hub ? scope::fleet : scope::self, true, false});
  const peer* reader = peers_.domain_reader(now);
  for (const auto& [id, entry] : peers_.all()) {
    if (!peers_.is_near(entry) || (!to_all && &entry != reader)) continue;
    if (!peers_.is_alive(now, entry) && round_ % silent_rounds != 0) continue;
    send_parts(bodies, entry);
  }
}

void peer_service::send_far() {
  instant now = state_.loop.now();
  ++round_;
  auto bodies = make_parts({scope::self, now >= next_full_report_, false});
  for (const auto& [id, entry] : peers_.all()) {
    if (peers_.is_near(entry)) continue;
    if (!peers_.is_alive(now, entry) && round_ % silent_rounds != 0) continue;
    send_parts(bodies, entry);
  }
}

// While a domain's hub is unknown, its instances are tried in turn; each
// answers with the name of its hub.
void peer_service::send_to_hubs() {
  instant now = state_.loop.now();
  bool all_teams = now >= next_full_report_;
  if (all_teams) next_full_report_ = now + full_hub_report_interval;
  auto bodies = make_parts({scope::domain, all_teams, false});
  for (const auto& domain : peers_.other_domains()) {
    if (const peer* hub = peers_.hub_of(now, domain)) {
      send_parts(bodies, *hub);
      continue;
    }
    std::vector<const peer*> candidates;
    for (const auto& [id, entry] : peers_.all()) {
      if (entry.record.domain == domain) candidates.push_back(&entry);
    }
    auto attempts = std::min(hub_attempts, candidates.size());
    for (std::size_t i = 0; i < attempts; ++i) {
      send_parts(bodies,
                 *candidates[(round_ * hub_attempts + i) % candidates.size()]);
    }
  }
}

void peer_service::send_parts(const report_parts& bodies, const peer& to) {
  for (const auto& body : bodies) send(body, to.last_stamp, to.record.address);
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

void peer_service::send_upstream_update(const upstream_update& update) {
  instant now = state_.loop.now();
  auto body = encode(peer_message(update));
  for (const auto& [id, entry] : peers_.all()) {
    bool is_recipient = peers_.is_near(entry) && peers_.is_alive(now, entry);
    if (is_recipient) send(body, 0, entry.record.address);
  }
}

// The instance that probes a leader for the failure domain: the domain reader
// or, with many groups, one member per group, chosen by the group's hash. Null
// if it is this instance.
const peer* peer_service::prober_of(const upstream_group& group,
                                    const peer* reader) const {
  bool few_groups = state_.groups.size() <= max_shared_groups;
  if (few_groups || near_members_.empty()) return reader;
  auto member_index = group.hash() % near_members_.size();
  auto known = peers_.all().find(near_members_[member_index]);
  return known != peers_.all().end() ? &known->second : nullptr;
}

// In a large fleet, or where connections are scarce, one instance of the
// failure domain probes a leader and shares its position.
void peer_service::choose_probers() {
  using probing = upstream_group::probe_mode;
  instant now = state_.loop.now();
  bool mesh = peers_.own_role() == role::mesh;
  bool hub = peers_.own_role() == role::hub;
  bool few_groups = state_.groups.size() <= max_shared_groups;
  const peer* reader = peers_.domain_reader(now);
  shares_positions_ = false;
  std::map<const peer*, position_request> requests;
  for (const auto& [id, group] : state_.groups) {
    if (mesh && !group->borrows_leader_connections()) {
      group->set_probe_mode(probing::own);
      continue;
    }
    const peer* prober = prober_of(*group, reader);
    if (few_groups && !prober) {
      shares_positions_ = true;
      group->request_samples();
    }
    // A hub probes a leader itself before it replaces it.
    bool probes_itself = hub && group->watch().is_suspected(now);
    group->set_probe_mode(prober && !probes_itself ? probing::none
                                                   : probing::shared);
    if (!prober || !group->needs_samples()) continue;
    auto& hashes = requests[prober].groups.items;
    if (hashes.size() < max_requested_groups) hashes.push_back(group->hash());
  }
  for (auto& [prober, request] : requests) {
    request.stamp = stamp_of(boot_time());
    send(encode(peer_message(request)), 0, prober->record.address);
  }
}

// The age is taken at the current time, as in make_report().
std::optional<group_position> peer_service::position_of(
    upstream_group& group) const {
  auto newest = group.samples().newest();
  if (!newest) return {};
  auto age = std::chrono::ceil<milliseconds>(boot_time() -
                                             group.samples().newest_sent_at());
  if (age > position_samples::retention) return {};
  return group_position{group.hash(), *newest,
                        static_cast<std::uint32_t>(age.count())};
}

}  // namespace toucanmux
