#include "proxy/upstream-group.h"

#include <algorithm>

#include "proxy/connections/connection-sharing.h"
#include "proxy/erase-deferred.h"
#include "proxy/journal.h"
#include "toucanmux/hash.h"
#include "toucanmux/proxy/connections/connection-share.h"
#include "toucanmux/proxy/domain/domain-rules.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// TCP sends a lost connection request again after 1 s.
constexpr duration connect_timeout = milliseconds(1200);
// How long no connection is opened after the database refused one for exceeding
// its connection limit.
constexpr duration full_backoff = milliseconds(250);
// Backoff before reads go to a lagging database again; doubled each time.
constexpr duration min_lag_backoff = milliseconds(250);
constexpr duration max_lag_backoff = milliseconds(2000);
// A draining leader gets no new statements from this long before the drain
// timeout; a draining replica gets none at all.
constexpr duration drain_margin = milliseconds(2000);
// The slot of a removed database is reused no sooner than this.
constexpr duration slot_retention = seconds(60);
// Weight of one statement in the moving average of response times.
constexpr double response_weight = 0.2;

// For groups without rules.
const domain_rules no_rules;

leader_watch::settings watch_settings(duration heartbeat) {
  leader_watch::settings out;
  out.heartbeat_check_interval = heartbeat + heartbeat / 8;
  return out;
}

}  // namespace

/// A control request to one database, sent over an idle link or a new one.
class upstream_group::control_request final : public link_user {
 public:
  control_request(link_purpose purpose, std::uint64_t term, status_handler done)
      : purpose_(purpose), term_(term), done_(std::move(done)) {}

  void start(upstream_link& link) {
    link.set_user(this);
    link.send_control_request(purpose_, term_);
    link_ = &link;
  }
  /// Waits for a link that was opened for this request to become ready.
  void wait_for(upstream_link& link) { link_ = &link; }
  bool waits_for(const upstream_link& link) const { return link_ == &link; }
  bool ended() const { return !done_; }

  void on_answer(upstream_link& link, const link_answer& answer) override {
    link_ = nullptr;
    end(answer.ok ? wire::parse_status(answer.rows) : std::nullopt);
    link.release();
  }
  void on_link_lost(upstream_link&) override { end({}); }
  void on_link_silent(upstream_link&) override {}
  void end(std::optional<wire::upstream_status> status) {
    link_ = nullptr;
    auto done = std::move(done_);
    done_ = nullptr;
    if (done) done(status);
  }

 private:
  link_purpose purpose_;
  std::uint64_t term_;
  status_handler done_;
  upstream_link* link_ = nullptr;
};

upstream_group::upstream_group(event_loop& loop, journal& log,
                               const group_id& id, const member_id& self,
                               const domain_id& domain,
                               const leader_lease& leases, duration heartbeat,
                               duration drain_timeout)
    : loop_(loop),
      log_(log),
      id_(id),
      hash_(short_hash(id.value)),
      self_(self),
      domain_(domain),
      leases_(leases),
      drain_timeout_(drain_timeout),
      rules_(&no_rules),
      members_(std::make_shared<const std::vector<member_id>>()),
      watch_(watch_settings(heartbeat)),
      placement_seed_(stable_hash(self.value)) {}

upstream_group::~upstream_group() = default;

void upstream_group::set_sharing(connection_sharing* sharing) {
  if (sharing == sharing_) return;
  sharing_ = sharing;
  for (auto& up : upstreams_) update_allowance(*up);
}

void upstream_group::set_members(
    std::shared_ptr<const std::vector<member_id>> members) {
  members_ = std::move(members);
  for (auto& up : upstreams_) update_allowance(*up);
  close_surplus_links();
}

// The quota is at least one connection, since an instance has to be able to
// find out which database leads.
void upstream_group::update_allowance(upstream& database) const {
  const connection_owners* owners =
      sharing_ ? &sharing_->owners_of(database.entry, policy_.max_connections)
               : nullptr;
  if (owners && !owners->empty()) {
    database.allowance = owners->allowance(self_, sharing_->instance_count());
  } else {
    database.allowance = compute_allowance(
        self_, *members_, database.entry.id.value, policy_.max_connections);
  }
  database.allowance.limit = std::max(1U, database.allowance.limit);
}

void upstream_group::set_entry(const upstream_entry& entry,
                               instant changed_after) {
  auto found =
      std::find_if(upstreams_.begin(), upstreams_.end(),
                   [&](const auto& up) { return up->entry.id == entry.id; });
  if (found == upstreams_.end()) found = find_free_slot(entry.id);
  upstream& up = **found;
  if (is_outdated(up, entry)) return;
  bool restarted =
      up.entry.born_ms != entry.born_ms || up.entry.address != entry.address;
  if (entry.claims_lead && (!up.entry.claims_lead || restarted)) {
    up.leadership_version = entry.version;
    up.denied_leadership = false;
  }
  if (entry.claims_lead != up.entry.claims_lead) up.denied_leadership = false;
  up.entry = entry;
  up.removed_at.reset();
  if (restarted) {
    up.suspended = false;
    up.consecutive_failures = 0;
  }
  if (!entry.draining) up.draining_since.reset();
  if (entry.draining && !up.draining_since)
    up.draining_since = std::min(loop_.now(), changed_after);
  note_warm_up(up);
  update_allowance(up);
  update_leader();
  schedule_serve();
}

// A restored store shows entries that their databases have replaced since. An
// entry that was removed without draining may have expired while the store was
// away; the heartbeats that bring it back change nothing but its sequence.
bool upstream_group::is_outdated(const upstream& known,
                                 const upstream_entry& entry) {
  bool restored = known.entry.version.generation != 0 &&
                  entry.version.generation > known.entry.version.generation;
  bool older = entry.born_ms == known.entry.born_ms &&
               entry.sequence <= known.entry.sequence;
  bool expired = known.removed_at && !known.entry.draining;
  return restored && older && !expired;
}

// Slots of databases that were removed long ago are reused, so that the list of
// candidates does not grow without bound.
upstream_group::upstream_slot upstream_group::find_free_slot(
    const database_id& id) {
  auto unused =
      std::find_if(upstreams_.begin(), upstreams_.end(), [&](const auto& up) {
        return up->removed_at && up->links.empty() &&
               loop_.now() - *up->removed_at > slot_retention;
      });
  if (unused == upstreams_.end()) {
    upstreams_.push_back(nullptr);
    unused = upstreams_.end() - 1;
  }
  *unused = std::make_unique<upstream>();
  (*unused)->entry.id = id;
  return unused;
}

void upstream_group::remove_entry(const database_id& id) {
  for (auto& up : upstreams_) {
    if (up->entry.id == id && !up->removed_at) up->removed_at = loop_.now();
  }
  schedule_check();
}

bool upstream_group::removal_is_final(const upstream& database) const {
  return database.removed_at &&
         loop_.now() - *database.removed_at > removed_use_period;
}

bool upstream_group::usable(const upstream& database) const {
  if (removal_is_final(database)) return false;
  instant now = loop_.now();
  if (database.draining_since &&
      now - *database.draining_since > drain_timeout_ - drain_margin) {
    return false;
  }
  return !database.suspended;
}

// The leader by discovery: of the databases that claim leadership, the one that
// began to claim it last.
std::optional<std::size_t> upstream_group::claimed_leader_index() const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const upstream& up = *upstreams_[i];
    if (!up.entry.claims_lead || up.denied_leadership || removal_is_final(up))
      continue;
    if (!best || upstreams_[*best]->leadership_version < up.leadership_version)
      best = i;
  }
  return best;
}

// The store's record takes precedence over the databases' claims: a former
// leader may not know that it was replaced.
std::optional<std::size_t> upstream_group::expected_leader_index() const {
  const leader_record* stored = record();
  if (!stored) return claimed_leader_index();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const upstream& up = *upstreams_[i];
    if (short_hash(up.entry.id.value) == stored->leader &&
        !removal_is_final(up)) {
      return i;
    }
  }
  return {};
}

std::optional<std::size_t> upstream_group::leader_index() const {
  const leader_record* stored = record();
  if (!stored) return claimed_leader_index();
  if (stored->phase == leadership_phase::revoked) return {};
  auto index = expected_leader_index();
  if (!index) return {};
  const upstream& up = *upstreams_[*index];
  bool confirmed = !up.denied_leadership &&
                   (up.entry.claims_lead || up.confirmed_leadership);
  return confirmed ? index : std::nullopt;
}

bool upstream_group::leads(std::size_t index) const {
  return leases_.valid(boot_time()) && leader_index() == index;
}

// The known leader record was active when it was last confirmed.
std::optional<bool> upstream_group::led_since(std::size_t index,
                                              instant since) const {
  const leader_record* stored = record();
  if (stored && stored->phase == leadership_phase::revoked) return {};
  if (expected_leader_index() != index) return false;
  if (!leases_.confirmed() || leases_.confirmed_at() < since) return {};
  return true;
}

void upstream_group::note_naming(const leader_record& stored) {
  if (stored.phase == leadership_phase::revoked) named_at_.reset();
  if (stored.phase == leadership_phase::named)
    named_at_ = leases_.known_since(hash_);
}

void upstream_group::measure_promotion() {
  if (!named_at_ || !leader_index()) return;
  promotion_time_->record(loop_.now() - *named_at_);
  named_at_.reset();
}

void upstream_group::update_leader() {
  const leader_record* stored = record();
  if (stored && stored->version() != seen_record_.version()) {
    bool inherited = stored->generation != seen_record_.generation &&
                     stored->leader == seen_record_.leader &&
                     stored->phase == seen_record_.phase;
    seen_record_ = *stored;
    if (!inherited) {
      previous_term_ = leader_term();
      for (auto& up : upstreams_) up->confirmed_leadership = false;
      note_naming(*stored);
    }
  }
  if (auto expected = expected_leader_index()) {
    watch_.set_leader(upstreams_[*expected]->entry.id);
  }
  measure_promotion();
  auto index = leader_index();
  if (index) {
    leaderless_since_.reset();
  } else if (!leaderless_since_) {
    leaderless_since_ = loop_.now();
    schedule_check();
  }
  if (!index) return;
  const auto& id = upstreams_[*index]->entry.id;
  if (logged_leader_ == id) return;
  log_.write(journal_kind::belief, "leader_changed",
             {{"group", id_.value},
              {"leader", id.value},
              {"was", logged_leader_ ? logged_leader_->value : ""},
              {"revision", upstreams_[*index]->leadership_version.revision}});
  logged_leader_ = id;
}

std::optional<database_id> upstream_group::leader() const {
  auto index = leader_index();
  if (!index) return {};
  return upstreams_[*index]->entry.id;
}

std::optional<database_id> upstream_group::expected_leader() const {
  auto index = expected_leader_index();
  if (!index) return {};
  return upstreams_[*index]->entry.id;
}

const upstream* upstream_group::find(const database_id& id) const {
  for (const auto& up : upstreams_) {
    if (up->entry.id == id) return up.get();
  }
  return nullptr;
}

std::optional<std::size_t> upstream_group::index_of(
    const database_id& id) const {
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_[i]->entry.id == id) return i;
  }
  return {};
}

// A draining replica gets no new statements. A draining leader does, until it
// has a successor.
bool upstream_group::may_use(std::size_t index) const {
  const upstream& up = *upstreams_[index];
  return may_use(up, {}) && (!up.draining_since || leader_index() == index);
}

std::vector<const upstream*> upstream_group::upstreams() const {
  std::vector<const upstream*> out;
  for (const auto& up : upstreams_) out.push_back(up.get());
  return out;
}

bool upstream_group::leader_is_draining() const {
  auto index = leader_index();
  if (!index) return false;
  const upstream& up = *upstreams_[*index];
  return up.draining_since.has_value() || is_drained(up);
}

std::uint64_t upstream_group::leader_term() const {
  std::uint64_t term = 0;
  for (const auto& up : upstreams_) term = std::max(term, up->term);
  return term;
}

void upstream_group::record_not_leader(std::size_t index) {
  upstream& up = *upstreams_[index];
  if (up.denied_leadership) return;
  up.denied_leadership = true;
  up.confirmed_leadership = false;
  log_.write(journal_kind::belief, "lead_denied",
             {{"group", id_.value}, {"upstream", up.entry.id.value}});
  update_leader();
}

void upstream_group::confirm_leadership(std::size_t index) {
  if (expected_leader_index() != index) return;
  upstream& up = *upstreams_[index];
  if (up.confirmed_leadership && !up.denied_leadership) return;
  up.confirmed_leadership = true;
  up.denied_leadership = false;
  update_leader();
  schedule_serve();
}

// Only the database that the record names can have begun a term higher than
// those seen before the record, so a position of a higher term confirms its
// leadership.
void upstream_group::apply_sample(instant sent_at,
                                  const log_position& position) {
  samples_.add(sent_at, position);
  update_leader();
  auto index = expected_leader_index();
  if (record() && index && position.term > previous_term_) {
    confirm_leadership(*index);
  }
}

void upstream_group::record_lag(std::size_t index) {
  upstream& up = *upstreams_[index];
  if (loop_.now() < up.lagging_until) return;
  auto backoff = min_lag_backoff * (1U << std::min(up.lagging_count, 3U));
  up.lagging_until = loop_.now() + std::min<duration>(backoff, max_lag_backoff);
  ++up.lagging_count;
}

upstream_candidate upstream_group::make_candidate(
    std::size_t index, bool is_leader, const link_request& request) const {
  upstream& up = *upstreams_[index];
  upstream_candidate out;
  out.index = index;
  out.leader = is_leader;
  // A draining replica gets no new statements. A draining leader does, until it
  // has a successor.
  out.usable =
      usable(up) && (!up.draining_since || out.leader) &&
      availability_of(up, request.requirements) == availability::available;
  out.same_domain = up.entry.domain == domain_;
  out.warm = idle_link(up, request) != nullptr;
  bool has_room =
      up.links.size() < up.allowance.limit || oldest_idle_link(up) != nullptr;
  out.can_open = has_room && loop_.now() >= up.full_until;
  out.in_flight = up.in_flight;
  out.response_time = up.response_time;
  out.response_deviation = up.response_deviation;
  out.idle_time = loop_.now() - up.response_time_at;
  out.open_time = up.open_time;
  out.late_after = answer_timeout(index);
  out.slots = std::max(1U, up.entry.slots);
  out.lagging = loop_.now() < up.lagging_until;
  out.failure_rate = up.outcomes.failure_rate(loop_.now());
  if (request.only_upstream && *request.only_upstream != index)
    out.usable = false;
  if (!sharing_ || request.only_upstream) return out;
  auto relay = sharing_->offer(*this, index, request);
  if (!relay) return out;
  out.warm = relay->has_idle_link;
  out.can_open = relay->can_open;
  // Opening a link to the owner takes none of the database's slots.
  out.open_time = duration{0};
  out.in_flight += relay->in_flight;
  return out;
}

upstream_link* upstream_group::idle_link(upstream& database,
                                         const link_request& request) const {
  upstream_link* best = nullptr;
  for (const auto& link : database.links) {
    if (!link->idle() || link->team() != request.team) continue;
    bool fits =
        request.values && link->values().values == request.values->values;
    if (!best || fits) best = link.get();
    if (fits) break;
  }
  return best;
}

// The link to close for a connection of another team, or to send a probe over.
upstream_link* upstream_group::oldest_idle_link(upstream& database) const {
  upstream_link* oldest = nullptr;
  for (const auto& link : database.links) {
    if (!link->idle()) continue;
    if (!oldest || link->idle_since() < oldest->idle_since()) {
      oldest = link.get();
    }
  }
  return oldest;
}

upstream_link* upstream_group::try_acquire(const link_request& request) {
  // The statements that wait are served at the end of this turn.
  if (serve_scheduled_ && !request.is_linked()) return nullptr;
  auto leader = leader_index();
  std::vector<upstream_candidate> candidates;
  candidates.reserve(upstreams_.size());
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    candidates.push_back(make_candidate(i, leader == i, request));
    if (!uses_relay(i, request)) withhold_claimed(request, candidates.back());
  }
  auto chosen = choose_free(candidates, request);
  if (!chosen) return nullptr;
  if (uses_relay(*chosen, request)) return acquire_relay(*chosen, request);
  if (!candidates[*chosen].warm) {
    make_room_or_open(*chosen, request);
    return nullptr;
  }
  upstream_link* link = idle_link(*upstreams_[*chosen], request);
  queue_.record_start(request, upstreams_[*chosen]->response_time);
  link->set_leader_only(request.requirements.leader_only);
  ++upstreams_[*chosen]->in_flight;
  return link;
}

upstream_link* upstream_group::acquire_relay(std::size_t index,
                                             const link_request& request) {
  upstream_link* link = sharing_->acquire(*this, index, request);
  if (!link) return nullptr;
  queue_.record_start(request, upstreams_[index]->response_time);
  link->set_leader_only(request.requirements.leader_only);
  return link;
}

// A statement that another instance relays is never relayed again.
bool upstream_group::uses_relay(std::size_t index,
                                const link_request& request) const {
  return sharing_ && !request.only_upstream &&
         sharing_->uses_relay(*this, index, request.team);
}

bool upstream_group::is_opening(std::size_t index, const team_id& team) const {
  const auto& links = upstreams_[index]->links;
  return std::any_of(links.begin(), links.end(), [&](const auto& link) {
    return link->current_state() == upstream_link::state::connecting &&
           link->team() == team;
  });
}

void upstream_group::make_room_or_open(std::size_t index,
                                       const link_request& request) {
  if (is_opening(index, request.team)) return;
  upstream& up = *upstreams_[index];
  upstream_link* oldest = oldest_idle_link(up);
  // Rather than use what is left to other instances, an owner closes an idle
  // connection of another team.
  bool has_room = up.links.size() < up.allowance.limit;
  bool exceeds_share = up.links.size() >= up.allowance.share;
  if (has_room && (up.allowance.borrows || !exceeds_share || !oldest)) {
    open_link(index, request.team);
    return;
  }
  bool is_closing =
      std::any_of(up.links.begin(), up.links.end(), [](const auto& link) {
        return link->current_state() == upstream_link::state::retiring;
      });
  // The database counts a connection until it has processed the close.
  if (is_closing || !oldest) return;
  ++connections_evicted_;
  oldest->retire(retire_timeout);
}

bool upstream_group::open_link(std::size_t index, const team_id& team) {
  upstream& up = *upstreams_[index];
  link_ptr link(new upstream_link(loop_, *this, index, team));
  ++connections_opened_;
  up.last_team = team;
  if (!link->connect(up.entry, connect_timeout)) return false;
  up.links.push_back(std::move(link));
  return true;
}

void upstream_group::enqueue(link_request& request) {
  request.cost = expected_cost(request);
  queue_.push(request);
  schedule_serve();
}

bool upstream_group::may_serve(
    const upstream_requirements& requirements) const {
  auto leader = leader_index();
  if (requirements.leader_only && !leases_.valid(loop_.now())) return false;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (requirements.leader_only && leader != i) continue;
    if (requirements.excluded >> (i % 64) & 1U) continue;
    if (may_use(*upstreams_[i], requirements)) return true;
  }
  return false;
}

void upstream_group::schedule_serve() {
  if (serve_scheduled_ || queue_.empty()) return;
  serve_scheduled_ = true;
  loop_.defer([this] {
    serve_scheduled_ = false;
    serve_queue();
  });
}

void upstream_group::serve_queue() {
  queue_.serve(
      [this](const link_request& request) { return try_acquire(request); });
}

void upstream_group::send_control_request(const database_id& id,
                                          link_purpose purpose,
                                          std::uint64_t term,
                                          status_handler done) {
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    upstream& up = *upstreams_[i];
    if (up.entry.id != id) continue;
    auto request =
        std::make_unique<control_request>(purpose, term, std::move(done));
    if (upstream_link* idle = oldest_idle_link(up)) {
      ++up.in_flight;
      request->start(*idle);
    } else {
      team_id team = up.links.empty() ? team_id("-") : up.links[0]->team();
      if (!open_link(i, team)) return request->end({});
      request->wait_for(*up.links.back());
    }
    control_requests_.push_back(std::move(request));
    return;
  }
  done({});
}

void upstream_group::record_answer(upstream& database) {
  database.last_answer_at = loop_.now();
  database.suspended = false;
  database.consecutive_failures = 0;
}

void upstream_group::on_link_ready(upstream_link& link) {
  record_answer(*upstreams_[link.upstream()]);
  record_opening(link);
  meter_opening(*upstreams_[link.upstream()]);
  for (auto& request : control_requests_) {
    if (!request->waits_for(link)) continue;
    ++upstreams_[link.upstream()]->in_flight;
    request->start(link);
    return;
  }
  schedule_serve();
}

void upstream_group::on_link_idle(upstream_link& link) {
  upstream& up = *upstreams_[link.upstream()];
  if (up.in_flight > 0) --up.in_flight;
  if (up.links.size() > up.allowance.limit) return link.retire(retire_timeout);
  schedule_serve();
}

void upstream_group::on_link_ended(upstream_link& link) {
  upstream& up = *upstreams_[link.upstream()];
  erase_deferred(loop_, up.links, link);
  for (auto& request : control_requests_) {
    if (request->waits_for(link)) request->end({});
  }
  up.in_flight = static_cast<unsigned>(
      std::count_if(up.links.begin(), up.links.end(), [](const auto& item) {
        return item->current_state() == upstream_link::state::open &&
               !item->idle();
      }));
  bool was_opened = link.opened_at() != instant{};
  if (link.refusal() == wire::failure_kind::too_many_connections) {
    ++connections_refused_;
    up.link_idle_timeout.record_refusal();
    up.full_until = loop_.now() + full_backoff;
    up.refusals.record(loop_.now());
  } else if (!was_opened) {
    suspend(up);
  }
  schedule_serve();
}

void upstream_group::record_statement(upstream& database, bool is_leader,
                                      const link_answer& answer) {
  if (!answer.ok) return;
  instant now = loop_.now();
  database.outcomes.record(now, false);
  if (!is_leader && now >= database.lagging_until) database.lagging_count = 0;
  duration response_time = now - answer.sent_at;
  bool is_first = database.response_time_at == instant{};
  database.response_time_at = now;
  if (is_first) {
    database.response_time = response_time;
    database.response_deviation = response_time / 2;
    return;
  }
  duration error = response_time - database.response_time;
  auto weighted = [](duration value) {
    return std::chrono::duration_cast<duration>(value * response_weight);
  };
  database.response_time += weighted(error);
  database.response_deviation +=
      weighted(std::chrono::abs(error) - database.response_deviation);
}

void upstream_group::record_relayed_answer(const upstream_link& link,
                                           const link_answer& answer) {
  upstream& up = *upstreams_[link.upstream()];
  if (answer.position) up.term = std::max(up.term, answer.position->term);
  if (answer.purpose == link_purpose::statement) {
    record_statement(up, leader_index() == link.upstream(), answer);
  }
  bool denied = answer.purpose == link_purpose::begin && !answer.ok &&
                answer.error == wire::failure_kind::not_leader;
  if (denied) record_not_leader(link.upstream());
}

void upstream_group::on_link_answer(upstream_link& link,
                                    const link_answer& answer) {
  instant now = loop_.now();
  upstream& up = *upstreams_[link.upstream()];
  record_answer(up);
  meter_answer(link, answer);
  if (expected_leader_index() == link.upstream()) watch_.leader_answered(now);
  bool is_leader = leader_index() == link.upstream();
  if (answer.position) up.term = std::max(up.term, answer.position->term);
  if (answer.purpose == link_purpose::statement) {
    ++statements_answered_;
    record_statement(up, is_leader, answer);
  }
  bool checks_leadership = answer.purpose == link_purpose::begin ||
                           answer.purpose == link_purpose::probe;
  if (!checks_leadership) return;
  if (answer.ok) confirm_leadership(link.upstream());
  if (answer.ok && answer.position) {
    // Without a valid lease another database may have become the is_leader
    // before the answer was received, so the position may not cover its
    // commits.
    if (leads(link.upstream())) samples_.add(answer.sent_at, *answer.position);
  } else if (answer.error == wire::failure_kind::not_leader) {
    record_not_leader(link.upstream());
  }
}

void upstream_group::tick() {
  std::erase_if(control_requests_,
                [](const auto& request) { return request->ended(); });
  update_leader();
  suspend_silent();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) probe_suspended(i);
  probe_leader();
  abort_removed();
  log_ended_warm_ups();
  for (auto& up : upstreams_) up->link_idle_timeout.tick();
  close_surplus_links();
  check_waiting();
  schedule_serve();
}

}  // namespace toucanmux
