#include "proxy/upstream-group.h"

#include <algorithm>

#include "proxy/journal.h"
#include "proxy/let-go.h"
#include "toucanmux/hash.h"
#include "toucanmux/proxy/connection-share.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A connection takes up to 27 ms of a slot; a full queue before it some more.
constexpr duration connect_limit = milliseconds(1200);
constexpr duration full_wait = milliseconds(250);
// A database that lacks what reads need is tried again after so long, doubled
// each time.
constexpr duration first_behind_wait = milliseconds(250);
constexpr duration longest_behind_wait = milliseconds(2000);
// Taken off the bound on leaving databases.
constexpr duration drain_margin = milliseconds(2000);
constexpr duration place_kept = seconds(60);
constexpr double response_weight = 0.2;

leader_watch::settings watch_settings(duration heartbeat) {
  leader_watch::settings out;
  out.between_looks = heartbeat + heartbeat / 8;
  return out;
}

}  // namespace

/// A question about one database, over a link of its own if none is idle.
class upstream_group::question final : public link_user {
 public:
  question(link_step step, std::uint64_t term, status_handler done)
      : step_(step), term_(term), done_(std::move(done)) {}

  void start(upstream_link& link) {
    link.set_user(this);
    link.send_question(step_, term_);
    link_ = &link;
  }
  /// The link that was opened for the question, to wait for.
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
  link_step step_;
  std::uint64_t term_;
  status_handler done_;
  upstream_link* link_ = nullptr;
};

upstream_group::upstream_group(event_loop& loop, journal& log,
                               const group_id& id, const member_id& self,
                               const domain_id& domain,
                               const lead_lease& leases, duration heartbeat,
                               duration drain_bound)
    : loop_(loop),
      log_(log),
      id_(id),
      hash_(short_hash(id.value)),
      self_(self),
      domain_(domain),
      leases_(leases),
      drain_bound_(drain_bound),
      members_(std::make_shared<const std::vector<member_id>>()),
      watch_(watch_settings(heartbeat)) {}

upstream_group::~upstream_group() = default;

void upstream_group::set_members(
    std::shared_ptr<const std::vector<member_id>> members) {
  members_ = std::move(members);
  for (auto& up : upstreams_) allow(*up);
  trim();
}

// An instance always has a connection to each database, so that it can at
// least find out who leads.
void upstream_group::allow(upstream& what) const {
  what.allowed = allow_connections(self_, *members_, what.entry.id.value,
                                   policy_.max_connections);
  what.allowed.most = std::max(1U, what.allowed.most);
}

void upstream_group::set_entry(const upstream_entry& entry) {
  auto known =
      std::find_if(upstreams_.begin(), upstreams_.end(),
                   [&](const auto& up) { return up->entry.id == entry.id; });
  if (known == upstreams_.end()) known = free_place(entry.id);
  upstream& up = **known;
  bool reborn =
      up.entry.born_ms != entry.born_ms || up.entry.address != entry.address;
  if (entry.claims_lead && (!up.entry.claims_lead || reborn)) {
    up.lead_revision = entry.revision;
    up.denied_lead = false;
  }
  if (entry.claims_lead != up.entry.claims_lead) up.denied_lead = false;
  up.entry = entry;
  up.removed.reset();
  if (reborn) {
    up.suspended = false;
    up.failures = 0;
  }
  if (!entry.draining) up.draining.reset();
  if (entry.draining && !up.draining) up.draining = loop_.now();
  allow(up);
  update_leader();
  schedule_serve();
}

// Places of databases that are long gone are used again, so that the
// candidates of a statement stay few.
upstream_group::place upstream_group::free_place(const database_id& id) {
  auto unused =
      std::find_if(upstreams_.begin(), upstreams_.end(), [&](const auto& up) {
        return up->removed && up->links.empty() &&
               loop_.now() - *up->removed > place_kept;
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
    if (up->entry.id == id && !up->removed) up->removed = loop_.now();
  }
}

bool upstream_group::is_gone(const upstream& what) const {
  return what.removed && loop_.now() - *what.removed > removed_use;
}

bool upstream_group::usable(const upstream& what) const {
  if (is_gone(what)) return false;
  instant now = loop_.now();
  if (what.draining && now - *what.draining > drain_bound_ - drain_margin) {
    return false;
  }
  return !what.suspended;
}

// The leader as far as discovery says.
std::optional<std::size_t> upstream_group::claimed_index() const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const upstream& up = *upstreams_[i];
    if (!up.entry.claims_lead || up.denied_lead || is_gone(up)) continue;
    if (!best || upstreams_[*best]->lead_revision < up.lead_revision) best = i;
  }
  return best;
}

// The store's record goes before what databases say: a leader that was
// replaced may not know it.
std::optional<std::size_t> upstream_group::believed_index() const {
  const lead_record* known = record();
  if (!known) return claimed_index();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const upstream& up = *upstreams_[i];
    if (short_hash(up.entry.id.value) == known->leader && !is_gone(up)) {
      return i;
    }
  }
  return {};
}

std::optional<std::size_t> upstream_group::leader_index() const {
  const lead_record* known = record();
  if (!known) return claimed_index();
  if (known->phase == lead_phase::revoked) return {};
  auto index = believed_index();
  if (!index) return {};
  const upstream& up = *upstreams_[*index];
  bool leads = !up.denied_lead && (up.entry.claims_lead || up.proven_lead);
  return leads ? index : std::nullopt;
}

bool upstream_group::leads(std::size_t index) const {
  return leases_.holds(loop_.now()) && leader_index() == index;
}

// What is believed was in force when it was proven last.
std::optional<bool> upstream_group::led_since(std::size_t index,
                                              instant since) const {
  const lead_record* known = record();
  if (known && known->phase == lead_phase::revoked) return {};
  if (believed_index() != index) return false;
  if (!leases_.proven() || leases_.proven_at() < since) return {};
  return true;
}

void upstream_group::update_leader() {
  const lead_record* known = record();
  if (known && known->revision != record_revision_) {
    record_revision_ = known->revision;
    term_before_ = leader_term();
    for (auto& up : upstreams_) up->proven_lead = false;
  }
  if (auto believed = believed_index()) {
    watch_.set_leader(upstreams_[*believed]->entry.id);
  }
  auto index = leader_index();
  if (!index) return;
  const auto& id = upstreams_[*index]->entry.id;
  if (last_leader_ == id) return;
  log_.write(journal_kind::belief, "leader_changed",
             {{"group", id_.value},
              {"leader", id.value},
              {"was", last_leader_ ? last_leader_->value : ""},
              {"revision", upstreams_[*index]->lead_revision}});
  last_leader_ = id;
}

std::optional<database_id> upstream_group::leader() const {
  auto index = leader_index();
  if (!index) return {};
  return upstreams_[*index]->entry.id;
}

std::optional<database_id> upstream_group::last_leader() const {
  auto index = believed_index();
  if (!index) return {};
  return upstreams_[*index]->entry.id;
}

const upstream* upstream_group::find(const database_id& id) const {
  for (const auto& up : upstreams_) {
    if (up->entry.id == id) return up.get();
  }
  return nullptr;
}

std::vector<const upstream*> upstream_group::all() const {
  std::vector<const upstream*> out;
  for (const auto& up : upstreams_) out.push_back(up.get());
  return out;
}

bool upstream_group::leader_leaves() const {
  auto index = leader_index();
  return index && upstreams_[*index]->draining.has_value();
}

std::uint64_t upstream_group::leader_term() const {
  std::uint64_t term = 0;
  for (const auto& up : upstreams_) term = std::max(term, up->term);
  return term;
}

void upstream_group::note_not_leader(std::size_t index) {
  upstream& up = *upstreams_[index];
  if (up.denied_lead) return;
  up.denied_lead = true;
  up.proven_lead = false;
  log_.write(journal_kind::belief, "lead_denied",
             {{"group", id_.value}, {"upstream", up.entry.id.value}});
  update_leader();
}

void upstream_group::note_lead_proven(std::size_t index) {
  if (believed_index() != index) return;
  upstream& up = *upstreams_[index];
  if (up.proven_lead && !up.denied_lead) return;
  up.proven_lead = true;
  up.denied_lead = false;
  update_leader();
  schedule_serve();
}

// A term that nobody had before was begun by the database that is named.
void upstream_group::take_sample(instant asked, const log_position& position) {
  samples_.note(asked, position);
  update_leader();
  auto index = believed_index();
  if (record() && index && position.term > term_before_) {
    note_lead_proven(*index);
  }
}

void upstream_group::note_behind(std::size_t index) {
  upstream& up = *upstreams_[index];
  if (loop_.now() < up.behind_until) return;
  auto wait = first_behind_wait * (1U << std::min(up.behind_count, 3U));
  up.behind_until = loop_.now() + std::min<duration>(wait, longest_behind_wait);
  ++up.behind_count;
}

upstream_candidate upstream_group::describe(std::size_t index, bool leads,
                                            const link_request& request) const {
  upstream& up = *upstreams_[index];
  upstream_candidate out;
  out.index = index;
  out.leader = leads;
  // A leaving replica gets nothing new; a leaving leader has no successor yet.
  out.usable = usable(up) && (!up.draining || out.leader);
  out.same_domain = up.entry.domain == domain_;
  out.warm = idle_link(up, request) != nullptr;
  bool room = up.links.size() < up.allowed.most || exchangeable(up) != nullptr;
  out.openable = room && loop_.now() >= up.full_until;
  out.in_flight = up.in_flight;
  out.response_time = up.response_time;
  out.behind = loop_.now() < up.behind_until;
  out.failing = up.outcomes.failing(loop_.now());
  return out;
}

upstream_link* upstream_group::idle_link(upstream& on,
                                         const link_request& request) const {
  upstream_link* best = nullptr;
  for (const auto& link : on.links) {
    if (!link->idle() || link->team() != request.team) continue;
    bool fits =
        request.values && link->values().values == request.values->values;
    if (!best || fits) best = link.get();
    if (fits) break;
  }
  return best;
}

// The link that has rested longest makes room for another team.
upstream_link* upstream_group::exchangeable(upstream& on) const {
  upstream_link* oldest = nullptr;
  for (const auto& link : on.links) {
    if (!link->idle()) continue;
    if (!oldest || link->rested_since() < oldest->rested_since()) {
      oldest = link.get();
    }
  }
  return oldest;
}

upstream_link* upstream_group::try_acquire(const link_request& request) {
  auto leader = leader_index();
  std::vector<upstream_candidate> candidates;
  candidates.reserve(upstreams_.size());
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    candidates.push_back(describe(i, leader == i, request));
  }
  auto chosen = choose_upstream(candidates, request.need);
  if (!chosen) return nullptr;
  if (!candidates[*chosen].warm) {
    start_open(*chosen, request);
    return nullptr;
  }
  upstream_link* link = idle_link(*upstreams_[*chosen], request);
  ++upstreams_[*chosen]->in_flight;
  return link;
}

bool upstream_group::is_opening(std::size_t index, const team_id& team) const {
  const auto& links = upstreams_[index]->links;
  return std::any_of(links.begin(), links.end(), [&](const auto& link) {
    return link->where() == upstream_link::state::connecting &&
           link->team() == team;
  });
}

void upstream_group::start_open(std::size_t index,
                                const link_request& request) {
  if (is_opening(index, request.team)) return;
  upstream& up = *upstreams_[index];
  if (up.links.size() < up.allowed.most) {
    open_link(index, request.team);
    return;
  }
  bool leaving =
      std::any_of(up.links.begin(), up.links.end(), [](const auto& link) {
        return link->where() == upstream_link::state::retiring;
      });
  // The database counts a connection until it has read its end.
  if (leaving) return;
  if (upstream_link* old = exchangeable(up)) old->retire(retire_limit);
}

bool upstream_group::open_link(std::size_t index, const team_id& team) {
  upstream& up = *upstreams_[index];
  link_ptr link(new upstream_link(loop_, *this, index, team));
  ++opened_;
  up.last_team = team;
  if (!link->connect(up.entry, connect_limit)) return false;
  up.links.push_back(std::move(link));
  return true;
}

void upstream_group::enqueue(link_request& request) {
  auto at = std::find_if(waiting_.begin(), waiting_.end(),
                         [&](const link_request& other) {
                           return other.priority > request.priority;
                         });
  waiting_.insert(at, request);
}

std::size_t upstream_group::waiting() const {
  return static_cast<std::size_t>(
      std::distance(waiting_.begin(), waiting_.end()));
}

bool upstream_group::may_serve(const upstream_need& need) const {
  auto leader = leader_index();
  if (need.leader_only && !leases_.holds(loop_.now())) return false;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (need.leader_only && leader != i) continue;
    if (need.excluded >> (i % 64) & 1U) continue;
    if (usable(*upstreams_[i])) return true;
  }
  return false;
}

waiting_line upstream_group::line(const upstream_need& need) const {
  auto leader = leader_index();
  waiting_line out;
  out.ahead = waiting();
  duration sum{0};
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const upstream& up = *upstreams_[i];
    if ((need.leader_only && leader != i) || !usable(up)) continue;
    auto links = std::max<std::size_t>(up.links.size(), 1);
    out.connections += links;
    sum += up.response_time * static_cast<duration::rep>(links);
  }
  if (out.connections > 0) {
    out.response_time = sum / static_cast<duration::rep>(out.connections);
  }
  return out;
}

void upstream_group::schedule_serve() {
  if (serve_due_ || waiting_.empty()) return;
  serve_due_ = true;
  loop_.defer([this] {
    serve_due_ = false;
    serve();
  });
}

void upstream_group::serve() {
  if (serving_) return;
  serving_ = true;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    link_request& request = *at;
    ++at;
    upstream_link* link = try_acquire(request);
    if (!link) continue;
    request.unlink();
    request.on_link(*link);
  }
  serving_ = false;
}

void upstream_group::ask(const database_id& id, link_step step,
                         std::uint64_t term, status_handler done) {
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    upstream& up = *upstreams_[i];
    if (up.entry.id != id) continue;
    auto next = std::make_unique<question>(step, term, std::move(done));
    if (upstream_link* idle = exchangeable(up)) {
      ++up.in_flight;
      next->start(*idle);
    } else {
      team_id team = up.links.empty() ? team_id("-") : up.links[0]->team();
      if (!open_link(i, team)) return next->end({});
      next->wait_for(*up.links.back());
    }
    questions_.push_back(std::move(next));
    return;
  }
  done({});
}

void upstream_group::note_alive(upstream& what) {
  what.answered = loop_.now();
  what.suspended = false;
  what.failures = 0;
}

void upstream_group::on_link_ready(upstream_link& link) {
  note_alive(*upstreams_[link.upstream()]);
  for (auto& next : questions_) {
    if (!next->waits_for(link)) continue;
    ++upstreams_[link.upstream()]->in_flight;
    next->start(link);
    return;
  }
  schedule_serve();
}

void upstream_group::on_link_idle(upstream_link& link) {
  upstream& up = *upstreams_[link.upstream()];
  if (up.in_flight > 0) --up.in_flight;
  if (up.links.size() > up.allowed.most) return link.retire(retire_limit);
  schedule_serve();
}

void upstream_group::on_link_ended(upstream_link& link) {
  upstream& up = *upstreams_[link.upstream()];
  let_go(loop_, up.links, link);
  for (auto& next : questions_) {
    if (next->waits_for(link)) next->end({});
  }
  up.in_flight = static_cast<unsigned>(
      std::count_if(up.links.begin(), up.links.end(), [](const auto& item) {
        return item->where() == upstream_link::state::open && !item->idle();
      }));
  bool opened = link.opened_at() != instant{};
  if (link.refusal() == wire::failure_kind::too_many_connections) {
    ++refused_;
    up.rest.refused();
    up.full_until = loop_.now() + full_wait;
  } else if (!opened) {
    suspend(up);
  }
  schedule_serve();
}

void upstream_group::on_link_answer(upstream_link& link,
                                    const link_answer& answer) {
  instant now = loop_.now();
  upstream& up = *upstreams_[link.upstream()];
  note_alive(up);
  if (believed_index() == link.upstream()) watch_.leader_answered(now);
  bool leader = leader_index() == link.upstream();
  if (answer.position) up.term = std::max(up.term, answer.position->term);
  if (answer.step == link_step::statement && answer.ok) {
    up.outcomes.note(now, false);
    if (!leader && now >= up.behind_until) up.behind_count = 0;
    auto taken = now - answer.sent;
    up.response_time += std::chrono::duration_cast<duration>(
        (taken - up.response_time) * response_weight);
  }
  bool proves_lead =
      answer.step == link_step::begin || answer.step == link_step::probe;
  if (!proves_lead) return;
  if (answer.ok) note_lead_proven(link.upstream());
  if (answer.ok && answer.position) {
    // Without the lease another one may have led before the answer came.
    if (leads(link.upstream())) samples_.note(answer.sent, *answer.position);
  } else if (answer.error == wire::failure_kind::not_leader) {
    note_not_leader(link.upstream());
  }
}

void upstream_group::tick() {
  std::erase_if(questions_, [](const auto& next) { return next->ended(); });
  update_leader();
  find_silent();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) probe_suspended(i);
  probe_leader();
  drop_gone();
  for (auto& up : upstreams_) up->rest.tick();
  trim();
  schedule_serve();
}

}  // namespace toucanmux
