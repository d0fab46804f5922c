#include "toucanmux/process/promoter.h"

#include <algorithm>

#include "toucanmux/error.h"
#include "toucanmux/version/list-codec.h"

namespace toucanmux {

namespace {

constexpr std::string_view group_kind = "groups";
// A primary that has been quiet for this many stalls gets no further writes.
constexpr int stalls_until_suspected = 2;
constexpr duration view_step = std::chrono::milliseconds(100);
constexpr duration idle_poll_interval = std::chrono::seconds(1);

duration round_up(duration value) {
  return (value + view_step - duration(1)) / view_step * view_step;
}

}  // namespace

promoter::promoter(const settings& values)
    : settings_(values), detector_(values.detector) {
  view_.group = settings_.group;
}

std::vector<promoter::action> promoter::step(instant now, const event& what) {
  now_ = now;
  out_.clear();
  std::visit([this](const auto& e) { handle(e); }, what);
  for (auto& [id, db] : owned_) {
    poll(id, db);
    reconcile(id, db);
  }
  consider();
  if (round_) drive_round();
  update_view();
  report_due();
  return std::move(out_);
}

void promoter::handle(const group_tick& time) { detect(time); }

void promoter::detect(const failure_detector::event& what) {
  auto handlers = overloaded{
      [this](const send_heartbeat& send) { out_.emplace_back(send); },
      [this](const health_changed&) { report_now_ = true; }};
  for (const auto& found : detector_.step(now_, what)) {
    std::visit(handlers, found);
  }
}

void promoter::handle(const owners_changed& change) {
  owners_ = change.owners;
  std::map<database_id, owned_database> kept;
  for (const auto& owner : owners_) {
    if (owner.member != settings_.self) continue;
    kept[owner.database] = std::move(owned_[owner.database]);
  }
  owned_ = std::move(kept);
  std::erase_if(peers_, [this](const auto& entry) {
    return std::none_of(owners_.begin(), owners_.end(), [&](const auto& owner) {
      return owner.member == entry.first;
    });
  });
  if (term_ > 0) detect(primary_changed{term_, primary_, owns(primary_)});
  report_now_ = true;
}

void promoter::handle(const heartbeat_ended& end) {
  detect(end);
  auto it = owned_.find(end.database);
  if (it == owned_.end() || end.result != heartbeat_result::ok) return;
  it->second.status.in_recovery = false;
}

void promoter::read_group() {
  if (read_in_flight_) return;
  read_in_flight_ = true;
  out_.emplace_back(
      read_object{std::string(group_kind), settings_.group.value});
}

void promoter::handle(const object_read& read) {
  if (read.kind != group_kind || read.key != settings_.group.value) return;
  read_in_flight_ = false;
  bool waiting = round_ && round_->phase == round_phase::reading;
  if (read.result == read_result::unreachable) {
    platform_down_ = true;
    platform_wait_ = std::clamp(platform_wait_ * 2, settings_.platform_retry,
                                settings_.platform_retry_limit);
    if (waiting) round_->retry_at = now_ + platform_wait_;
    return;
  }
  platform_down_ = false;
  platform_wait_ = duration(0);
  try {
    if (read.result == read_result::absent) throw list_error("no group");
    adopt(parse_database_group(read.value), read.version);
  } catch (const list_error&) {
    // The last good one stays in force until an operator has mended it.
    if (waiting) round_->retry_at = now_ + settings_.platform_retry_limit;
    return;
  }

  if (round_ && round_->phase == round_phase::reading) continue_round();
}

void promoter::handle(const object_written& written) {
  if (written.kind != group_kind || written.key != settings_.group.value) {
    return;
  }
  if (!round_ || round_->phase != round_phase::writing) return;
  if (written.result == write_result::written) {
    return adopt(changed_group(), written.version);
  }
  // A lost answer, or someone else was faster: what the object holds decides.
  round_->phase = round_phase::reading;
  round_->step_at = now_;
  round_->retry_at = now_;
}

database_group promoter::changed_group() const {
  auto out = group_;
  out.term = round_->term;
  out.primary = round_->chosen();
  out.nonce = round_->nonce;
  return out;
}

void promoter::adopt(const database_group& group, std::uint64_t version) {
  if (version < version_) return;
  version_ = version;

  group_ = group;
  if (group.term > term_) change_primary_to(group.term, group.primary);
}

// Only terms that the platform has recorded come here, so that every owner
// may act on them: each command is refused by a database that has been fenced
// for a later term.
void promoter::change_primary_to(std::uint64_t term,
                                 const database_id& primary) {
  term_ = term;
  primary_ = primary;
  agreed_ = false;
  if (round_ && round_->term <= term) end_round();
  for (auto& [id, db] : owned_) {
    db.next_command = now_;
    if (db.status.control_term <= term_) db.ahead_since = {};
  }
  detect(primary_changed{term_, primary_, owns(primary_)});
  report_now_ = true;
}

void promoter::poll(const database_id& id, owned_database& db) {
  if (db.poll_in_flight || now_ < db.next_poll) return;
  auto health = detector_.health(now_);
  bool healthy = health == primary_health::healthy;
  auto interval = settings_.poll_interval;
  if (!healthy) interval = settings_.poll_interval_suspect;
  // Its heartbeats tell more than a poll.
  if (healthy && id == primary_ && !db.status.in_recovery) {
    interval = idle_poll_interval;
  }
  db.poll_in_flight = true;
  db.next_poll = now_ + interval;
  out_.emplace_back(poll_database{id});
}

void promoter::handle(const database_polled& poll) {
  auto it = owned_.find(poll.database);
  if (it == owned_.end()) return;
  it->second.poll_in_flight = false;
  it->second.known = poll.reached;
  if (poll.reached) learn(poll.database, poll.status);
}

void promoter::learn(const database_id& id, const database_status& status) {
  auto& db = owned_[id];
  db.known = true;
  db.status = status;
  if (status.control_term <= term_) {
    db.ahead_since = {};
  } else if (db.ahead_since == instant{}) {
    db.ahead_since = now_;
  }
  database_status best;
  for (const auto& [other, owned] : owned_) {
    const auto& s = owned.status;
    if (other == primary_ || !owned.known || !s.streaming) continue;
    best.streaming = true;
    best.received = std::max(best.received, s.received);
  }
  detect(replica_seen{best});
}

void promoter::reconcile(const database_id& id, owned_database& db) {
  const auto& status = db.status;
  if (term_ == 0 || !db.known || now_ < db.next_command) return;
  if (db.fence_term > 0 || status.control_term > term_) return;
  if (id == primary_) {
    if (!may_promote(status)) return;
    out_.emplace_back(promote_database{id, term_});
  } else {
    bool follows = status.in_recovery && !status.fenced;
    if (follows && status.control_term == term_) return;
    out_.emplace_back(follow_database{id, term_, primary_});
  }
  db.next_command = now_ + settings_.command_retry;
}

bool promoter::may_promote(const database_status& status) const {
  if (status.primary_term == term_) return false;
  // A primary from before the first command.
  bool untouched = status.control_term == 0 && status.primary_term == 0;
  if (!status.in_recovery && untouched) return true;
  // One that was not fenced at this term may lack acknowledged writes: the
  // object was edited by hand, and a later round must choose.
  if (status.control_term != term_) return false;
  // A later round needs it as a replica.
  return std::none_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return fresh(entry.second) &&
           entry.second.report.status.control_term > term_;
  });
}

void promoter::handle(const command_ended& end) {
  auto it = owned_.find(end.database);
  if (it == owned_.end()) return;
  auto& db = it->second;
  db.known = end.reached;
  if (end.reached) learn(end.database, end.status);
  if (end.command != control_command::fence) {
    bool promoted = end.command == control_command::promote && end.done;
    if (promoted && end.term == term_) detect(primary_promoted{});
    return;
  }
  if (end.term != db.fence_term) return;
  db.fence_term = 0;
  auto askers = std::exchange(db.fence_askers, {});
  if (!end.reached) return;
  auto result = end.done ? fence_result::fenced : fence_result::refused;
  for (const auto& asker : askers) {
    answer_fence(asker,
                 {settings_.group, end.database, end.term, result, end.status});
  }
}

void promoter::handle(const fence_requested& requested) {
  if (requested.request.group != settings_.group) return;
  ask_fence(requested.from, requested.request);
}

void promoter::ask_fence(const member_id& from, const fence_request& request) {
  auto it = owned_.find(request.database);
  if (it == owned_.end()) return;
  auto& db = it->second;
  fence_reply reply{settings_.group, request.database, request.term,
                    fence_result::refused, db.status};
  if (request.term <= term_ || request.term < db.fence_term) {
    return answer_fence(from, reply);
  }
  // A request that waited in a queue must not stop a primary that is well.
  bool well = request.database == primary_
                  ? detector_.health(now_) == primary_health::healthy
                  : detector_.replica_advances(now_);
  if (well && !request.forced) {
    reply.result = fence_result::vetoed;
    return answer_fence(from, reply);
  }
  if (request.term > db.fence_term) db.fence_askers.clear();
  db.fence_askers.insert(from);
  if (request.term == db.fence_term) return;
  db.fence_term = request.term;
  out_.emplace_back(fence_database{request.database, request.term});
}

void promoter::answer_fence(const member_id& to, const fence_reply& reply) {
  if (to == settings_.self) return take_fence(reply);
  out_.emplace_back(send_fence_reply{to, reply});
}

void promoter::handle(const fence_answered& answered) {
  if (answered.reply.group != settings_.group) return;
  take_fence(answered.reply);
}

void promoter::take_fence(const fence_reply& reply) {
  if (!round_ || round_->phase != round_phase::fencing) return;
  if (reply.term != round_->term) return;
  const auto& status = reply.status;
  if (reply.result == fence_result::fenced && status.in_recovery) {
    return round_->add_fence(reply.database, status.received);
  }
  if (reply.result == fence_result::fenced) {
    bool in_office =
        reply.database == group_.primary && status.primary_term == group_.term;
    if (in_office) round_->note_primary(reply.database);
    return;
  }
  if (reply.result == fence_result::vetoed) {
    // A fence can't be taken back, so a round that has one goes through.
    if (!round_->any_fence()) return end_round();
    round_->forced = true;
    return;
  }
  bool later = status.control_term > round_->term;
  bool used = status.control_term == round_->term && !status.fenced;
  if (!later && !used) return;
  if (later) round_->raise_term(status.control_term);
  round_->phase = round_phase::reading;
  round_->step_at = now_;
  round_->retry_at = now_ + settings_.round_retry;
}

void promoter::handle(const report_received& received) {
  const auto& report = received.report;
  if (report.group != settings_.group || received.from == settings_.self) {
    return;
  }
  auto& other = peers_[received.from];
  bool reordered = report.stamp < other.report.stamp;
  if (reordered && now_ - other.received_at < settings_.peer_patience) return;
  other.report = report;
  other.received_at = now_;
  if (report.echo <= now_) {
    other.proven_at = std::max(other.proven_at, report.echo);
  }
  if (report.term > term_) change_primary_to(report.term, report.primary);
  bool suspects =
      report.term == term_ && report.health == primary_health::suspect;
  if (suspects) look_at_once();

  bool answer = suspects || report.term < term_;
  if (answer && now_ - other.sent_at >= settings_.report_spacing) {
    report_to(received.from);
  }
}

void promoter::look_at_once() {
  detect(peer_suspects{});
  for (auto& [id, db] : owned_) {
    auto earliest =
        db.next_poll - settings_.poll_interval + settings_.report_spacing;
    db.next_poll = std::min(db.next_poll, std::max(now_, earliest));
  }
}

void promoter::handle(const hand_over& wish) {
  if (term_ == 0 || round_ || wish.target == primary_) return;
  start_round(promotion_cause::planned);
  round_->target = wish.target;
}

// Without synchronous clocks a report is known to be young only if it echoes
// a stamp that this pool sent a short while ago.
bool promoter::fresh(const peer& other) const {
  return now_ - other.proven_at <= settings_.opinion_lifetime &&
         other.report.term == term_;
}

bool promoter::other_domain(const group_report& report) const {
  auto domain_of = [this](const database_id& id) {
    for (const auto& db : group_.databases) {
      if (db.id == id) return db.domain;
    }
    return domain_id();
  };
  auto theirs = domain_of(report.database);
  return !theirs.empty() &&
         std::none_of(owned_.begin(), owned_.end(), [&](const auto& mine) {
           return domain_of(mine.first) == theirs;
         });
}

bool promoter::suspicion_agreed() const {
  if (detector_.health(now_) != primary_health::suspect) return false;
  bool seconded = false;
  for (const auto& [id, other] : peers_) {
    if (!fresh(other)) continue;
    if (other.report.health == primary_health::healthy) return false;
    seconded |= other.report.health == primary_health::suspect &&
                other_domain(other.report);
  }
  return seconded;
}

bool promoter::primary_owner_heard() const {
  if (owns(primary_)) return true;
  for (const auto& owner : owners_) {
    if (owner.database != primary_) continue;
    auto it = peers_.find(owner.member);
    return it != peers_.end() && fresh(it->second);
  }
  return true;
}

bool promoter::peer_promotes() const {
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    const auto& other = entry.second;
    return other.report.promoting && other.report.term == term_ &&
           now_ - other.received_at < settings_.peer_patience;
  });
}

bool promoter::unfinished() const {
  auto after = settings_.unfinished_after +
               settings_.rank_delay * static_cast<duration::rep>(rank());
  return std::any_of(owned_.begin(), owned_.end(), [&](const auto& entry) {
    const auto& db = entry.second;
    return db.known && db.ahead_since != instant{} &&
           now_ - db.ahead_since >= after;
  });
}

bool promoter::leaving_primary() const {
  bool leaving = false;
  bool other = false;
  for (const auto& db : group_.databases) {
    if (db.id == primary_) leaving = db.leaving;
    if (db.id != primary_ && !db.leaving) other = true;
  }
  return leaving && other && owns(primary_) && now_ >= next_hand_over_;
}

// The primary's owner comes first, then the owners in the group's order.
std::size_t promoter::rank() const {
  if (owns(primary_)) return 0;
  std::size_t place = 1;
  for (const auto& db : group_.databases) {
    if (owns(db.id)) break;
    ++place;
  }
  return place;
}

void promoter::consider() {
  if (round_ || term_ == 0 || owned_.empty()) return;
  bool agreed = suspicion_agreed();
  if (agreed && !agreed_) agreed_at_ = now_;
  agreed_ = agreed;
  if (peer_promotes()) return;
  if (unfinished()) return start_round(promotion_cause::unfinished);
  if (agreed) {
    auto wait = settings_.rank_delay * static_cast<duration::rep>(rank());
    if (!primary_owner_heard()) wait = std::max(wait, settings_.veto_wait);
    if (now_ - agreed_at_ < wait) return;
    return start_round(promotion_cause::suspicion);
  }
  if (!leaving_primary()) return;
  if (detector_.health(now_) != primary_health::healthy) return;
  next_hand_over_ = now_ + settings_.hand_over_retry;
  start_round(promotion_cause::planned);
}

void promoter::start_round(promotion_cause cause) {
  round_.emplace(cause, now_);
  ++round_count_;
  if (cause == promotion_cause::planned) {
    round_->phase = round_phase::draining;
  }
  report_now_ = true;
}

void promoter::end_round() {
  round_.reset();
  report_now_ = true;
}

bool promoter::still_wanted() const {
  return round_->forced || round_->any_fence() ||
         detector_.health(now_) == primary_health::suspect;
}

void promoter::drive_round() {
  if (!still_wanted()) return end_round();
  auto spent = now_ - round_->step_at;
  switch (round_->phase) {
    case round_phase::draining:
      if (spent < settings_.hand_over_drain) return;
      round_->phase = round_phase::reading;
      return read_group();
    case round_phase::reading:
      if (now_ >= round_->retry_at) read_group();
      return;
    case round_phase::fencing:
      if (round_->has_quorum(group_)) {
        round_->choose(group_);
        return write_choice();
      }
      if (round_->primary_answers() && spent >= keep_after()) {
        round_->keep_primary();
        return write_choice();
      }
      if (spent >= settings_.round_restart) {
        round_->phase = round_phase::reading;
        round_->step_at = now_;
        return read_group();
      }
      if (now_ >= round_->retry_at) send_fences();
      return;
    case round_phase::writing:
      return;
  }
}

// A replica that an unfinished round has left fenced goes on behind the same
// primary if that can be reached; a suspected primary is kept only where
// nobody else can be had.
duration promoter::keep_after() const {
  bool unfinished = round_->cause == promotion_cause::unfinished;
  return unfinished ? duration(0) : settings_.round_restart / 2;
}

void promoter::continue_round() {
  if (!still_wanted()) return end_round();
  auto term = std::max(term_, group_.term) + 1;
  for (const auto& [id, db] : owned_) {
    if (db.known) term = std::max(term, db.status.control_term);
  }
  for (const auto& [id, other] : peers_) {
    if (fresh(other)) term = std::max(term, other.report.status.control_term);
  }
  round_->raise_term(term);
  round_->reread();
  round_->phase = round_phase::fencing;
  round_->step_at = now_;
  report_now_ = true;
  if (!round_->has_quorum(group_)) send_fences();
}

void promoter::send_fences() {
  round_->retry_at = now_ + settings_.round_retry;
  auto term = round_->term;
  bool forced = round_->forced || round_->any_fence();
  for (const auto& owner : owners_) {
    if (round_->has_fence(owner.database) || owner.member.empty()) continue;
    fence_request request{settings_.group, owner.database, term, forced};
    if (owner.member != settings_.self) {
      out_.emplace_back(send_fence_request{owner.member, request});
      continue;
    }
    ask_fence(settings_.self, request);
    if (!round_) return;
  }
}

void promoter::write_choice() {
  round_->nonce = settings_.self.value + "/" + std::to_string(round_->term) +
                  "/" + std::to_string(round_count_);
  round_->phase = round_phase::writing;
  round_->step_at = now_;
  out_.emplace_back(write_object{std::string(group_kind), settings_.group.value,
                                 version_, to_json_text(changed_group())});
}

void promoter::report_due() {
  bool due = now_ >= next_report_;
  bool spaced = now_ + settings_.report_interval - next_report_ >=
                settings_.report_spacing;
  if (!due && !(report_now_ && spaced)) return;
  report_now_ = false;
  next_report_ = now_ + settings_.report_interval;
  std::set<member_id> members;
  for (const auto& owner : owners_) members.insert(owner.member);
  for (const auto& to : members) {
    if (!to.empty() && to != settings_.self) report_to(to);
  }
}

void promoter::report_to(const member_id& to) {
  if (owned_.empty()) return;
  auto& other = peers_[to];
  other.sent_at = now_;
  group_report report;
  report.group = settings_.group;
  report.database = owned_.begin()->first;
  const auto& first = owned_.begin()->second;
  // One that can't be reached is told as one without a position.
  if (first.known) report.status = first.status;

  report.term = term_;
  report.primary = primary_;
  report.health = detector_.health(now_);
  report.promoting =
      round_ && !platform_down_ && round_->phase != round_phase::reading;
  report.writable = primary_writable();
  report.stamp = now_;
  report.echo = other.report.stamp;
  report.echo_age = now_ - other.received_at;
  report.heartbeat = detector_.confirmed();
  if (report.heartbeat != log_position{}) {
    report.heartbeat_age = now_ - detector_.confirmed_sent_at();
  }
  out_.emplace_back(send_report{to, report});
}

bool promoter::primary_writable() const {
  bool confirmed = detector_.confirmed() != log_position{};
  auto limit = settings_.detector.stall_after * stalls_until_suspected;
  if (owns(primary_)) {
    return confirmed && !round_ && detector_.quiet(now_) < limit;
  }
  for (const auto& owner : owners_) {
    auto it = peers_.find(owner.member);
    if (owner.database != primary_ || it == peers_.end()) continue;
    return it->second.report.writable && it->second.report.term == term_ &&
           now_ - it->second.received_at < settings_.peer_patience;
  }
  return false;
}

group_view promoter::current_view() const {
  group_view view{settings_.group, term_, primary_};
  if (term_ == 0) return view;
  if (round_ || peer_promotes()) {
    bool blocked = round_ && platform_down_;
    view.state = blocked ? write_state::no_platform : write_state::promoting;
    view.retry_after = settings_.round_estimate;
    if (blocked) view.retry_after += settings_.platform_retry_limit;
    return view;
  }
  if (primary_writable()) {
    view.state = write_state::open;
    return view;
  }
  bool confirmed = detector_.confirmed() != log_position{};
  bool resuming = owns(primary_) && !confirmed;
  view.state = resuming ? write_state::resuming : write_state::suspected;
  view.retry_after = settings_.round_estimate;
  if (resuming) return view;
  auto left = settings_.detector.silent_after - detector_.quiet(now_);
  view.retry_after += round_up(std::max(left, duration(0)));
  return view;
}

void promoter::update_view() {
  auto view = current_view();
  if (view == view_) return;
  if (view.state != view_.state) report_now_ = true;
  view_ = view;
  out_.emplace_back(view);
}

}  // namespace toucanmux
