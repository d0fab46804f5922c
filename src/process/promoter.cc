#include "toucanmux/process/promoter.h"

#include <algorithm>

#include "toucanmux/error.h"
#include "toucanmux/version/list-codec.h"

namespace toucanmux {

namespace {

constexpr std::string_view group_kind = "groups";
// Writes stop after this many times `stall_after` without a sign that the
// primary is healthy.
constexpr int max_writable_stalls = 2;
constexpr duration retry_after_step = std::chrono::milliseconds(100);
constexpr duration healthy_primary_poll_interval = std::chrono::seconds(1);

duration round_up(duration value) {
  return (value + retry_after_step - duration(1)) / retry_after_step *
         retry_after_step;
}

}  // namespace

promoter::promoter(const settings& values)
    : settings_(values), detector_(values.detector) {
  view_.group = settings_.group;
}

std::vector<promoter::action> promoter::step(instant now,
                                             const event& new_event) {
  now_ = now;
  actions_.clear();
  std::visit([this](const auto& e) { handle(e); }, new_event);
  for (auto& [id, db] : owned_) {
    poll(id, db);
    reconcile(id, db);
  }
  start_round_if_needed();
  if (round_) advance_round();
  update_view();
  send_due_reports();
  return std::move(actions_);
}

void promoter::handle(const group_tick& tick) { detect(tick); }

void promoter::detect(const failure_detector::event& new_event) {
  auto handlers = overloaded{
      [this](const send_heartbeat& send) { actions_.emplace_back(send); },
      [this](const health_changed&) { report_requested_ = true; }};
  for (const auto& detected : detector_.step(now_, new_event)) {
    std::visit(handlers, detected);
  }
}

void promoter::handle(const owners_changed& change) {
  owners_ = change.owners;
  std::map<database_id, owned_database> still_owned;
  for (const auto& owner : owners_) {
    if (owner.member != settings_.self) continue;
    still_owned[owner.database] = std::move(owned_[owner.database]);
  }
  owned_ = std::move(still_owned);
  std::erase_if(peers_, [this](const auto& entry) {
    return std::none_of(owners_.begin(), owners_.end(), [&](const auto& owner) {
      return owner.member == entry.first;
    });
  });
  if (term_ > 0) detect(primary_changed{term_, primary_, owns(primary_)});
  report_requested_ = true;
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
  actions_.emplace_back(
      read_object{std::string(group_kind), settings_.group.value});
}

void promoter::handle(const object_read& read) {
  if (read.kind != group_kind || read.key != settings_.group.value) return;
  read_in_flight_ = false;
  bool reading = round_ && round_->phase == round_phase::reading;
  if (read.result == read_result::unreachable) {
    platform_unreachable_ = true;
    platform_backoff_ =
        std::clamp(platform_backoff_ * 2, settings_.platform_retry,
                   settings_.platform_retry_limit);
    if (reading) round_->retry_at = now_ + platform_backoff_;
    return;
  }
  platform_unreachable_ = false;
  platform_backoff_ = duration(0);
  try {
    if (read.result == read_result::absent)
      throw list_error("the group object does not exist");
    apply_group(parse_database_group(read.value), read.version);
  } catch (const list_error&) {
    // An operator has to repair the object. Until then the last valid version
    // stays active.
    if (reading) round_->retry_at = now_ + settings_.platform_retry_limit;
    return;
  }

  if (round_ && round_->phase == round_phase::reading) begin_fencing();
}

void promoter::handle(const object_written& written) {
  if (written.kind != group_kind || written.key != settings_.group.value) {
    return;
  }
  if (!round_ || round_->phase != round_phase::writing) return;
  if (written.result == write_result::written) {
    return apply_group(proposed_group(), written.version);
  }
  // The answer was lost or a peer wrote first. The object is read again to
  // find out which primary it names.
  round_->phase = round_phase::reading;
  round_->phase_started_at = now_;
  round_->retry_at = now_;
}

database_group promoter::proposed_group() const {
  auto group = group_;
  group.term = round_->term;
  group.primary = round_->chosen();
  group.nonce = round_->nonce;
  return group;
}

void promoter::apply_group(const database_group& group, std::uint64_t version) {
  if (version < group_version_) return;
  group_version_ = version;

  group_ = group;
  if (group.term > term_) change_primary_to(group.term, group.primary);
}

// `term` is always recorded at the platform, so every owner may act on it at
// once. A database that has been fenced for a later term refuses the commands
// of this one.
void promoter::change_primary_to(std::uint64_t term,
                                 const database_id& primary) {
  term_ = term;
  primary_ = primary;
  suspicion_agreed_ = false;
  if (round_ && round_->term <= term) end_round();
  for (auto& [id, db] : owned_) {
    db.next_command_at = now_;
    if (db.status.control_term <= term_) db.ahead_since = {};
  }
  detect(primary_changed{term_, primary_, owns(primary_)});
  report_requested_ = true;
}

void promoter::poll(const database_id& id, owned_database& db) {
  if (db.poll_in_flight || now_ < db.next_poll_at) return;
  auto health = detector_.health(now_);
  bool healthy = health == primary_health::healthy;
  auto interval = settings_.poll_interval;
  if (!healthy) interval = settings_.poll_interval_suspect;
  // The heartbeats of a healthy primary make frequent polls unnecessary.
  if (healthy && id == primary_ && !db.status.in_recovery) {
    interval = healthy_primary_poll_interval;
  }
  db.poll_in_flight = true;
  db.next_poll_at = now_ + interval;
  actions_.emplace_back(poll_database{id});
}

void promoter::handle(const database_polled& poll) {
  auto it = owned_.find(poll.database);
  if (it == owned_.end()) return;
  it->second.poll_in_flight = false;
  it->second.reachable = poll.reached;
  if (poll.reached) update_status(poll.database, poll.status);
}

void promoter::update_status(const database_id& id,
                             const database_status& status) {
  auto& db = owned_[id];
  db.reachable = true;
  db.status = status;
  if (status.control_term <= term_) {
    db.ahead_since = {};
  } else if (db.ahead_since == instant{}) {
    db.ahead_since = now_;
  }
  database_status furthest;
  for (const auto& [owned_id, owned] : owned_) {
    const auto& state = owned.status;
    if (owned_id == primary_ || !owned.reachable || !state.streaming) continue;
    furthest.streaming = true;
    furthest.received = std::max(furthest.received, state.received);
  }
  detect(replica_seen{furthest});
}

void promoter::reconcile(const database_id& id, owned_database& db) {
  const auto& status = db.status;
  if (term_ == 0 || !db.reachable || now_ < db.next_command_at) return;
  if (db.fence_term > 0 || status.control_term > term_) return;
  if (id == primary_) {
    if (!may_promote(status)) return;
    actions_.emplace_back(promote_database{id, term_});
  } else {
    bool follows = status.in_recovery && !status.fenced;
    if (follows && status.control_term == term_) return;
    actions_.emplace_back(follow_database{id, term_, primary_});
  }
  db.next_command_at = now_ + settings_.command_retry;
}

bool promoter::may_promote(const database_status& status) const {
  if (status.primary_term == term_) return false;
  // The initial primary, which has not received a command yet.
  bool never_commanded = status.control_term == 0 && status.primary_term == 0;
  if (!status.in_recovery && never_commanded) return true;
  // A database that was not fenced at this term may lack acknowledged writes:
  // an operator edited the object, and a later round has to choose a primary.
  if (status.control_term != term_) return false;
  // If a peer's database is fenced for a later round, that round needs this
  // database as a replica.
  return std::none_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    return fresh(entry.second) &&
           entry.second.report.status.control_term > term_;
  });
}

void promoter::handle(const command_ended& end) {
  auto it = owned_.find(end.database);
  if (it == owned_.end()) return;
  auto& db = it->second;
  db.reachable = end.reached;
  if (end.reached) update_status(end.database, end.status);
  if (end.command != control_command::fence) {
    bool promoted = end.command == control_command::promote && end.done;
    if (promoted && end.term == term_) detect(primary_promoted{});
    return;
  }
  if (end.term != db.fence_term) return;
  db.fence_term = 0;
  auto requesters = std::exchange(db.fence_requesters, {});
  if (!end.reached) return;
  auto result = end.done ? fence_result::fenced : fence_result::refused;
  for (const auto& requester : requesters) {
    reply_to_fence_request(requester, {settings_.group, end.database, end.term,
                                       result, end.status});
  }
}

void promoter::handle(const fence_requested& requested) {
  if (requested.request.group != settings_.group) return;
  handle_fence_request(requested.from, requested.request);
}

void promoter::handle_fence_request(const member_id& from,
                                    const fence_request& request) {
  auto it = owned_.find(request.database);
  if (it == owned_.end()) return;
  auto& db = it->second;
  fence_reply reply{settings_.group, request.database, request.term,
                    fence_result::refused, db.status};
  if (request.term <= term_ || request.term < db.fence_term) {
    return reply_to_fence_request(from, reply);
  }
  // A request that was delayed in a queue must not stop a healthy primary.
  bool working = request.database == primary_
                     ? detector_.health(now_) == primary_health::healthy
                     : detector_.replica_advances(now_);
  if (working && !request.forced) {
    reply.result = fence_result::vetoed;
    return reply_to_fence_request(from, reply);
  }
  if (request.term > db.fence_term) db.fence_requesters.clear();
  db.fence_requesters.insert(from);
  if (request.term == db.fence_term) return;
  db.fence_term = request.term;
  actions_.emplace_back(fence_database{request.database, request.term});
}

void promoter::reply_to_fence_request(const member_id& to,
                                      const fence_reply& reply) {
  if (to == settings_.self) return handle_fence_reply(reply);
  actions_.emplace_back(send_fence_reply{to, reply});
}

void promoter::handle(const fence_answered& answered) {
  if (answered.reply.group != settings_.group) return;
  handle_fence_reply(answered.reply);
}

void promoter::handle_fence_reply(const fence_reply& reply) {
  if (!round_ || round_->phase != round_phase::fencing) return;
  if (reply.term != round_->term) return;
  const auto& status = reply.status;
  if (reply.result == fence_result::fenced && status.in_recovery) {
    return round_->add_fence(reply.database, status.received);
  }
  if (reply.result == fence_result::fenced) {
    bool is_current_primary =
        reply.database == group_.primary && status.primary_term == group_.term;
    if (is_current_primary) round_->set_reachable_primary(reply.database);
    return;
  }
  if (reply.result == fence_result::vetoed) {
    // A fence can't be undone within its term, so a round with a fence
    // continues despite the veto.
    if (!round_->has_fences()) return end_round();
    round_->forced = true;
    return;
  }
  bool fenced_later = status.control_term > round_->term;
  bool fence_released = status.control_term == round_->term && !status.fenced;
  if (!fenced_later && !fence_released) return;
  if (fenced_later) round_->raise_term(status.control_term);
  round_->phase = round_phase::reading;
  round_->phase_started_at = now_;
  round_->retry_at = now_ + settings_.round_retry;
}

void promoter::handle(const report_received& received) {
  const auto& report = received.report;
  if (report.group != settings_.group || received.from == settings_.self) {
    return;
  }
  auto& sender = peers_[received.from];
  bool reordered = report.stamp < sender.report.stamp;
  if (reordered && now_ - sender.received_at < settings_.peer_timeout) return;
  sender.report = report;
  sender.received_at = now_;
  if (report.echo <= now_) {
    sender.confirmed_at = std::max(sender.confirmed_at, report.echo);
  }
  if (report.term > term_) change_primary_to(report.term, report.primary);
  bool suspects =
      report.term == term_ && report.health == primary_health::suspect;
  if (suspects) check_primary_now();

  bool should_reply = suspects || report.term < term_;
  if (should_reply &&
      now_ - sender.last_report_sent_at >= settings_.report_spacing) {
    send_report_to(received.from);
  }
}

void promoter::check_primary_now() {
  detect(peer_suspects{});
  for (auto& [id, db] : owned_) {
    auto earliest =
        db.next_poll_at - settings_.poll_interval + settings_.report_spacing;
    db.next_poll_at = std::min(db.next_poll_at, std::max(now_, earliest));
  }
}

void promoter::handle(const hand_over& request) {
  if (term_ == 0 || round_ || request.target == primary_) return;
  start_round(promotion_cause::planned);
  round_->target = request.target;
}

// The clocks of the pools are not synchronized. A report is known to be recent
// only if it echoes a stamp that this pool sent recently.
bool promoter::fresh(const peer& sender) const {
  return now_ - sender.confirmed_at <= settings_.report_lifetime &&
         sender.report.term == term_;
}

bool promoter::from_other_domain(const group_report& report) const {
  auto domain_of = [this](const database_id& id) {
    for (const auto& db : group_.databases) {
      if (db.id == id) return db.domain;
    }
    return domain_id();
  };
  auto peer_domain = domain_of(report.database);
  return !peer_domain.empty() &&
         std::none_of(owned_.begin(), owned_.end(), [&](const auto& own) {
           return domain_of(own.first) == peer_domain;
         });
}

bool promoter::suspicion_agreed() const {
  if (detector_.health(now_) != primary_health::suspect) return false;
  bool peer_suspects_too = false;
  for (const auto& [id, sender] : peers_) {
    if (!fresh(sender)) continue;
    if (sender.report.health == primary_health::healthy) return false;
    peer_suspects_too |= sender.report.health == primary_health::suspect &&
                         from_other_domain(sender.report);
  }
  return peer_suspects_too;
}

bool promoter::primary_owner_reachable() const {
  if (owns(primary_)) return true;
  for (const auto& owner : owners_) {
    if (owner.database != primary_) continue;
    auto it = peers_.find(owner.member);
    return it != peers_.end() && fresh(it->second);
  }
  return true;
}

bool promoter::peer_promoting() const {
  return std::any_of(peers_.begin(), peers_.end(), [this](const auto& entry) {
    const auto& sender = entry.second;
    return sender.report.promoting && sender.report.term == term_ &&
           now_ - sender.received_at < settings_.peer_timeout;
  });
}

bool promoter::has_unfinished_round() const {
  auto after = settings_.unfinished_after +
               settings_.rank_delay * static_cast<duration::rep>(rank());
  return std::any_of(owned_.begin(), owned_.end(), [&](const auto& entry) {
    const auto& db = entry.second;
    return db.reachable && db.ahead_since != instant{} &&
           now_ - db.ahead_since >= after;
  });
}

bool promoter::hand_over_due() const {
  bool primary_leaving = false;
  bool has_successor = false;
  for (const auto& db : group_.databases) {
    if (db.id == primary_) primary_leaving = db.leaving;
    if (db.id != primary_ && !db.leaving) has_successor = true;
  }
  return primary_leaving && has_successor && owns(primary_) &&
         now_ >= next_hand_over_at_;
}

// The order in which owners start a round: 0 for the owner of the primary, then
// the other owners in the order of the group.
std::size_t promoter::rank() const {
  if (owns(primary_)) return 0;
  std::size_t position_in_group = 1;
  for (const auto& db : group_.databases) {
    if (owns(db.id)) break;
    ++position_in_group;
  }
  return position_in_group;
}

void promoter::start_round_if_needed() {
  if (round_ || term_ == 0 || owned_.empty()) return;
  bool agreed = suspicion_agreed();
  if (agreed && !suspicion_agreed_) suspicion_agreed_at_ = now_;
  suspicion_agreed_ = agreed;
  if (peer_promoting()) return;
  if (has_unfinished_round()) return start_round(promotion_cause::unfinished);
  if (agreed) {
    auto wait = settings_.rank_delay * static_cast<duration::rep>(rank());
    if (!primary_owner_reachable()) wait = std::max(wait, settings_.veto_wait);
    if (now_ - suspicion_agreed_at_ < wait) return;
    return start_round(promotion_cause::suspicion);
  }
  if (!hand_over_due()) return;
  if (detector_.health(now_) != primary_health::healthy) return;
  next_hand_over_at_ = now_ + settings_.hand_over_retry;
  start_round(promotion_cause::planned);
}

void promoter::start_round(promotion_cause cause) {
  round_.emplace(cause, now_);
  ++round_count_;
  if (cause == promotion_cause::planned) {
    round_->phase = round_phase::draining;
  }
  report_requested_ = true;
}

void promoter::end_round() {
  round_.reset();
  report_requested_ = true;
}

bool promoter::round_still_needed() const {
  return round_->forced || round_->has_fences() ||
         detector_.health(now_) == primary_health::suspect;
}

void promoter::advance_round() {
  if (!round_still_needed()) return end_round();
  auto elapsed = now_ - round_->phase_started_at;
  switch (round_->phase) {
    case round_phase::draining:
      if (elapsed < settings_.hand_over_drain) return;
      round_->phase = round_phase::reading;
      return read_group();
    case round_phase::reading:
      if (now_ >= round_->retry_at) read_group();
      return;
    case round_phase::fencing:
      if (round_->has_quorum(group_)) {
        round_->choose_furthest(group_);
        return write_proposed_group();
      }
      if (round_->primary_reachable() && elapsed >= keep_primary_delay()) {
        round_->choose_current_primary();
        return write_proposed_group();
      }
      if (elapsed >= settings_.round_restart) {
        round_->phase = round_phase::reading;
        round_->phase_started_at = now_;
        return read_group();
      }
      if (now_ >= round_->retry_at) request_fences();
      return;
    case round_phase::writing:
      return;
  }
}

// After an unfinished round, a reachable primary is kept at once, so that the
// replicas left fenced follow it again. A suspected primary is kept only if no
// quorum of fences is reached within half of `round_restart`.
duration promoter::keep_primary_delay() const {
  bool unfinished = round_->cause == promotion_cause::unfinished;
  return unfinished ? duration(0) : settings_.round_restart / 2;
}

void promoter::begin_fencing() {
  if (!round_still_needed()) return end_round();
  auto term = std::max(term_, group_.term) + 1;
  for (const auto& [id, db] : owned_) {
    if (db.reachable) term = std::max(term, db.status.control_term);
  }
  for (const auto& [id, sender] : peers_) {
    if (fresh(sender)) term = std::max(term, sender.report.status.control_term);
  }
  round_->raise_term(term);
  round_->reset_choice();
  round_->phase = round_phase::fencing;
  round_->phase_started_at = now_;
  report_requested_ = true;
  if (!round_->has_quorum(group_)) request_fences();
}

void promoter::request_fences() {
  round_->retry_at = now_ + settings_.round_retry;
  auto term = round_->term;
  bool forced = round_->forced || round_->has_fences();
  for (const auto& owner : owners_) {
    if (round_->is_fenced(owner.database) || owner.member.empty()) continue;
    fence_request request{settings_.group, owner.database, term, forced};
    if (owner.member != settings_.self) {
      actions_.emplace_back(send_fence_request{owner.member, request});
      continue;
    }
    handle_fence_request(settings_.self, request);
    if (!round_) return;
  }
}

void promoter::write_proposed_group() {
  round_->nonce = settings_.self.value + "/" + std::to_string(round_->term) +
                  "/" + std::to_string(round_count_);
  round_->phase = round_phase::writing;
  round_->phase_started_at = now_;
  actions_.emplace_back(write_object{std::string(group_kind),
                                     settings_.group.value, group_version_,
                                     to_json_text(proposed_group())});
}

void promoter::send_due_reports() {
  bool due = now_ >= next_report_at_;
  bool spacing_elapsed = now_ + settings_.report_interval - next_report_at_ >=
                         settings_.report_spacing;
  if (!due && !(report_requested_ && spacing_elapsed)) return;
  report_requested_ = false;
  next_report_at_ = now_ + settings_.report_interval;
  std::set<member_id> members;
  for (const auto& owner : owners_) members.insert(owner.member);
  for (const auto& to : members) {
    if (!to.empty() && to != settings_.self) send_report_to(to);
  }
}

void promoter::send_report_to(const member_id& to) {
  if (owned_.empty()) return;
  auto& receiver = peers_[to];
  receiver.last_report_sent_at = now_;
  group_report report;
  report.group = settings_.group;
  report.database = owned_.begin()->first;
  const auto& first = owned_.begin()->second;
  // An unreachable database is reported without a position.
  if (first.reachable) report.status = first.status;

  report.term = term_;
  report.primary = primary_;
  report.health = detector_.health(now_);
  report.promoting =
      round_ && !platform_unreachable_ && round_->phase != round_phase::reading;
  report.writable = primary_writable();
  report.stamp = now_;
  report.echo = receiver.report.stamp;
  report.echo_age = now_ - receiver.received_at;
  report.heartbeat = detector_.confirmed_position();
  if (report.heartbeat != log_position{}) {
    report.heartbeat_age = now_ - detector_.confirmed_sent_at();
  }
  actions_.emplace_back(send_report{to, report});
}

bool promoter::primary_writable() const {
  bool confirmed = detector_.confirmed_position() != log_position{};
  auto limit = settings_.detector.stall_after * max_writable_stalls;
  if (owns(primary_)) {
    return confirmed && !round_ && detector_.time_since_healthy(now_) < limit;
  }
  for (const auto& owner : owners_) {
    auto it = peers_.find(owner.member);
    if (owner.database != primary_ || it == peers_.end()) continue;
    return it->second.report.writable && it->second.report.term == term_ &&
           now_ - it->second.received_at < settings_.peer_timeout;
  }
  return false;
}

group_view promoter::current_view() const {
  group_view view{settings_.group, term_, primary_};
  if (term_ == 0) return view;
  if (round_ || peer_promoting()) {
    bool platform_blocked = round_ && platform_unreachable_;
    view.state =
        platform_blocked ? write_state::no_platform : write_state::promoting;
    view.retry_after = settings_.round_estimate;
    if (platform_blocked) view.retry_after += settings_.platform_retry_limit;
    return view;
  }
  if (primary_writable()) {
    view.state = write_state::open;
    return view;
  }
  bool confirmed = detector_.confirmed_position() != log_position{};
  bool awaiting_heartbeat = owns(primary_) && !confirmed;
  view.state =
      awaiting_heartbeat ? write_state::resuming : write_state::suspected;
  view.retry_after = settings_.round_estimate;
  if (awaiting_heartbeat) return view;
  auto remaining =
      settings_.detector.silent_after - detector_.time_since_healthy(now_);
  view.retry_after += round_up(std::max(remaining, duration(0)));
  return view;
}

void promoter::update_view() {
  auto view = current_view();
  if (view == view_) return;
  if (view.state != view_.state) report_requested_ = true;
  view_ = view;
  actions_.emplace_back(view);
}

}  // namespace toucanmux
