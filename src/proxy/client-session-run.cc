#include <algorithm>

#include "proxy/client-session.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using wire::failure_kind;

// A statement is tried at no more places than a group usually has, and once
// more at the leader.
constexpr unsigned most_attempts = 4;
// For routes that name no timeout.
constexpr duration default_timeout = std::chrono::seconds(5);
// A change of leader takes about a second.
constexpr duration leader_retry = milliseconds(400);
constexpr duration overload_retry = milliseconds(100);
// Proofs of the leaders come by reports; a look costs nothing else.
constexpr duration held_check = milliseconds(50);
// The least time in which a statement can still be answered.
constexpr duration least_time = milliseconds(10);

}  // namespace

// A key that was withdrawn, or that nobody can vouch for, runs nothing more.
bool client_session::key_is_valid() {
  if (!key_required_) return true;
  return state_.config->find_key(key_) != nullptr &&
         state_.proof.holds(state_.loop.now());
}

void client_session::start_statement(const session_statement& what) {
  statement_ = running_statement{};
  statement_.id = what.id;
  statement_.verb = what.verb;
  statement_.text = what.text;
  statement_.writes = what.verb == statement_verb::write;
  if (what.verb == statement_verb::execute) {
    statement_.shape = values_.prepared.find(what.name)->second;
    statement_.arguments = what.value;
    statement_.writes = statement_.shape->writes;
  }
  statement_.first_in_transaction = !transaction_started_;
  statement_.arrived_at = state_.loop.now();
  auto limit = route_.statement_timeout > duration{0} ? route_.statement_timeout
                                                      : default_timeout;
  statement_.deadline = statement_.arrived_at + limit;
  running_ = true;
  requirements = {};
  if (!key_is_valid()) {
    return fail_statement(failure_kind::busy, "the key is not valid any more");
  }
  // A commit as well: another leader may have been named meanwhile.
  if (!reads_only() && link_ && !leads(*link_)) {
    return fail_statement(failure_kind::busy, "the leader changes",
                          leader_retry);
  }
  try_upstream();
}

bool client_session::leads(const upstream_link& link) const {
  const upstream_group* group = state_.find_group(route_.group);
  return group && group->leads(link.upstream());
}

bool client_session::reads_only() const {
  if (transaction_phase_ == phase::none) return !statement_.writes;
  return transaction_read_only_;
}

bool client_session::needs_leader() const {
  return !reads_only() || route_.kind == route_kind::leader;
}

// The position that a read has to see: what was acknowledged longer ago than
// the route allows, and the session's own commits.
std::optional<log_position> client_session::required_position() {
  upstream_group* group = state_.find_group(route_.group);
  group->request_samples();
  auto needed = group->samples().required(state_.loop.now(), route_.max_age);
  if (!needed) return {};
  auto own = own_commits_.find(route_.group);
  bool has_own =
      own != own_commits_.end() && route_.kind == route_kind::session;
  if (has_own && *needed < own->second) return own->second;
  return needed;
}

bool client_session::deadline_reached() const {
  return state_.loop.now() + least_time >= statement_.deadline;
}

void client_session::try_upstream() {
  upstream_group* group = state_.find_group(route_.group);
  if (!group) return fail_statement(failure_kind::busy, "no such group here");
  if (link_) return send(*link_);
  requirements.leader_only = needs_leader() || !required_position();
  team = operation_team_;
  priority = route_.priority;
  waiting_since = statement_.arrived_at;
  if (!group->may_serve(requirements)) {
    return fail_statement(failure_kind::busy, "no database can serve this now",
                          leader_retry);
  }
  if (upstream_link* found = group->try_acquire(*this)) return on_link(*found);
  admission_request own{statement_.arrived_at, statement_.deadline,
                        route_.latency_goal, statement_.attempts > 0};
  auto verdict = queue_admission().decide(state_.loop.now(), own,
                                          group->queue_for(requirements));
  if (!verdict.admitted) {
    return fail_statement(failure_kind::busy, "the line is too long",
                          verdict.retry_after);
  }
  group->enqueue(*this);
  state_.loop.arm(timer_, verdict.wait_deadline);
}

void client_session::on_link(upstream_link& link) {
  link_ = &link;
  link.set_user(this);
  if (!key_is_valid()) {
    return fail_statement(failure_kind::busy, "the key is not valid any more");
  }
  if (requirements.leader_only && !leads(link)) {
    return retry_or_refuse("the leader changes");
  }
  send(link);
}

void client_session::send(upstream_link& link) {
  statement_.sent = true;
  spend_token();
  ++statement_.attempts;
  instant until = statement_.deadline;
  statement_.early_timeout = false;
  if (may_rerun() && statement_.attempts < most_attempts) {
    auto* group = state_.find_group(route_.group);
    instant patient =
        state_.loop.now() + group->answer_timeout(link.upstream());
    statement_.early_timeout = patient < until;
    until = std::min(until, patient);
  }
  state_.loop.arm(timer_, until);
  link.send_values(values_);
  std::string text = statement_.text;
  if (statement_.shape) {
    text = wire::execute_text(link.prepared_name(*statement_.shape),
                              statement_.arguments);
  }
  if (statement_.first_in_transaction) return send_with_begin(link, text);
  link.send_statement(statement_.id, {}, text);
}

// The statement follows once the transaction has begun: an upstream that
// refuses the begin would run it outside of any.
void client_session::send_with_begin(upstream_link& link,
                                     std::string_view text) {
  bool single = transaction_phase_ == phase::none;
  if (requirements.leader_only) {
    // Only a transaction shows whether the database leads; a plain read would
    // be answered by one that has lost the lead.
    if (single && statement_.writes)
      return link.send_statement(statement_.id, {}, text);
    statement_.text_after_begin = text;
    return link.send_begin(false, {});
  }
  auto after = required_position();
  if (!after) {
    // The samples have grown too old while the statement waited.
    statement_.sent = false;
    release_link();
    return try_upstream();
  }
  if (single) return link.send_statement(statement_.id, after, text);
  statement_.text_after_begin = text;
  link.send_begin(true, after);
}

void client_session::handle_begin_answer(upstream_link& link,
                                         const link_answer& answer) {
  if (!answer.ok) return handle_error(link, answer.error);
  // What follows sees what was committed by now, so it counts from here on.
  if (answer.purpose == link_purpose::begin && !leads(link)) {
    return retry_or_refuse("the leader changes");
  }
  link.send_statement(statement_.id, {}, statement_.text_after_begin);
  if (transaction_phase_ == phase::none) link.send_rollback();
}

void client_session::on_answer(upstream_link& link, const link_answer& answer) {
  if (!running_) return;
  bool begins = answer.purpose == link_purpose::begin ||
                answer.purpose == link_purpose::begin_read_only;
  if (begins) return handle_begin_answer(link, answer);
  if (answer.purpose != link_purpose::statement) return;
  if (!answer.ok) return handle_error(link, answer.error);
  if (commits_data() && !leads(link)) return defer_answer(link, answer);
  complete_statement(answer);
}

// Whether the statement that runs ends with data that is kept.
bool client_session::commits_data() const {
  bool commit = statement_.verb == statement_verb::commit;
  return commit ? transaction_wrote_
                : statement_.writes && transaction_phase_ == phase::none;
}

// It has run, but maybe at a leader that was replaced before. The next proof
// of the leaders tells.
void client_session::defer_answer(const upstream_link& link,
                                  const link_answer& answer) {
  statement_.deferred.emplace(answer, link.upstream(), state_.loop.now());
  log_attempt("the lead is not proven");
  check_deferred();
}

void client_session::check_deferred() {
  const deferred_answer& held = *statement_.deferred;
  const upstream_group* group = state_.find_group(route_.group);
  auto led = group ? group->led_since(held.upstream, held.received_at)
                   : std::optional<bool>(false);
  if (led == true) {
    deferred_answer sure = std::move(*statement_.deferred);
    statement_.deferred.reset();
    return complete_statement(sure.view());
  }
  if (led == false || deadline_reached()) {
    return fail_statement(failure_kind::outcome_unknown,
                          "another leader was named meanwhile");
  }
  auto next = state_.loop.now() + held_check;
  state_.loop.arm(timer_, std::min(next, statement_.deadline - least_time));
}

void client_session::complete_statement(const link_answer& answer) {
  transaction_started_ = true;
  transaction_wrote_ = transaction_wrote_ || statement_.writes;
  stream_.output().append(answer.rows).append(answer.end_line);
  bool commit = statement_.verb == statement_verb::commit;
  if (commits_data() && answer.position) {
    own_commits_[route_.group] = *answer.position;
  }
  state_.retries.count_request(state_.loop.now());
  state_.metrics.count_served(route_.kind,
                              state_.loop.now() - statement_.arrived_at);
  if (state_.log.takes(journal_event::served)) {
    state_.log.write(journal_event::served, "served",
                     {{"request", statement_.id},
                      {"team", operation_team_.value},
                      {"group", route_.group.value},
                      {"attempts", std::uint64_t{statement_.attempts}},
                      {"taken_ms", state_.loop.now() - statement_.arrived_at}});
  }
  if (commit) {
    transaction_phase_ = phase::none;
    transaction_wrote_ = false;
  }
  end_statement();
  if (transaction_phase_ == phase::none) {
    release_link();
  } else if (state_.config->transaction_idle() > duration{0}) {
    state_.loop.arm_in(timer_, state_.config->transaction_idle());
  }
  reply_ready(answer.position);
}

void client_session::handle_error(upstream_link& link, failure_kind kind) {
  upstream_group* group = state_.find_group(route_.group);
  std::uint64_t bit = std::uint64_t{1} << (link.upstream() % 64);
  switch (kind) {
    case failure_kind::behind:
      if (group) group->record_lag(link.upstream());
      requirements.excluded |= bit;
      return retry_or_refuse("no log is far enough");
    case failure_kind::busy:
      if (requirements.leader_only) {
        return fail_statement(kind, "the leader is busy", overload_retry);
      }
      if (group) group->record_failure(link.upstream());
      requirements.excluded |= bit;
      return retry_or_refuse("the databases are busy");
    case failure_kind::not_leader:
      if (group) group->record_not_leader(link.upstream());
      return retry_or_refuse("the leader changes");
    case failure_kind::unknown_prepared:
      link.forget_prepared();
      return retry_or_refuse("the statement was not prepared");
    default:
      return handle_execution_error(link, kind);
  }
}

// It has run, and failed. A read that opens nothing may run again, where
// another database is left.
void client_session::handle_execution_error(upstream_link& link,
                                            failure_kind kind) {
  upstream_group* group = state_.find_group(route_.group);
  if (group) group->record_failure(link.upstream());
  bool again = group && may_rerun() && !requirements.leader_only &&
               statement_.attempts < most_attempts && !deadline_reached() &&
               state_.retries.may_retry(state_.loop.now());
  if (!again)
    return fail_statement(kind, "the database answered with an error");
  state_.retries.count_retry(state_.loop.now());
  retry_elsewhere(link, "the database answered with an error");
}

// For statements that have not run.
void client_session::retry_or_refuse(std::string_view why) {
  bool again = statement_.first_in_transaction &&
               statement_.attempts < most_attempts && !deadline_reached();
  if (!again) return fail_statement(failure_kind::busy, why, overload_retry);
  if (link_) log_attempt(why);
  statement_.sent = false;
  release_link();
  try_upstream();
}

void client_session::on_link_lost(upstream_link& link) {
  std::uint64_t bit = std::uint64_t{1} << (link.upstream() % 64);
  if (running_) record_lost_link(link);
  link_.reset();
  if (running_ && statement_.deferred) return;
  if (!running_) return break_transaction("the connection was lost");
  bool commit = statement_.verb == statement_verb::commit;
  if (commit || (statement_.writes && transaction_phase_ == phase::none)) {
    return fail_statement(failure_kind::outcome_unknown,
                          "the database's connection was lost");
  }
  if (!statement_.first_in_transaction) {
    return fail_statement(failure_kind::aborted,
                          "the database's connection was lost");
  }
  // Only the leader will do, over another connection if it still takes one.
  if (!requirements.leader_only) requirements.excluded |= bit;
  retry_or_refuse("the database's connection was lost");
}

void client_session::record_lost_link(const upstream_link& link) {
  log_attempt("the database's connection was lost");
  auto* group = state_.find_group(route_.group);
  if (group) group->record_failure(link.upstream());
}

// A read outside of a transaction, or the first one of a read-only one.
bool client_session::may_rerun() const {
  return statement_.first_in_transaction && reads_only() &&
         statement_.verb != statement_verb::commit;
}

void client_session::on_link_silent(upstream_link& link) {
  if (!running_ || statement_.deferred || !may_rerun() ||
      requirements.leader_only)
    return;
  if (statement_.attempts >= most_attempts || deadline_reached()) return;
  retry_elsewhere(link, "no answer yet");
}

// The answer may be lost, or the database may be slow. What it still sends on
// this connection belongs to nobody.
void client_session::retry_elsewhere(upstream_link& link,
                                     std::string_view why) {
  log_attempt(why);
  if (!requirements.leader_only) {
    requirements.excluded |= std::uint64_t{1} << (link.upstream() % 64);
  }
  statement_.sent = false;
  release_link();
  try_upstream();
}

void client_session::break_transaction(std::string_view why) {
  if (transaction_phase_ != phase::open) return;
  transaction_phase_ = phase::broken;
  timer_.disarm();
  state_.log.write(journal_event::refusal, "transaction_ended",
                   {{"request", last_statement_id_},
                    {"team", operation_team_.value},
                    {"group", route_.group.value},
                    {"reason", why}});
}

void client_session::on_timer() {
  session_ptr keep(this);
  if (!opened_) return finish();
  if (running_ && statement_.deferred) return check_deferred();
  if (running_) return on_deadline();
  // The transaction has rested too long.
  break_transaction("the transaction rested too long");
  release_link();
}

void client_session::on_deadline() {
  bool early = statement_.early_timeout && !deadline_reached();
  if (statement_.sent && early && link_) {
    statement_.early_timeout = false;
    state_.loop.arm(timer_, statement_.deadline);
    if (!state_.retries.may_retry(state_.loop.now())) return;
    state_.retries.count_retry(state_.loop.now());
    if (auto* group = state_.find_group(route_.group)) {
      group->record_failure(link_->upstream());
    }
    return retry_elsewhere(*link_, "no answer yet");
  }
  if (!statement_.sent) {
    return fail_statement(failure_kind::busy, "no connection was free in time",
                          overload_retry);
  }
  // Whatever still comes on this connection belongs to nobody.
  if (link_ptr lost = std::move(link_)) {
    link_.reset();
    lost->set_user(nullptr);
    lost->abort();
  }
  bool commit = statement_.verb == statement_verb::commit;
  bool kept =
      commit || (statement_.writes && transaction_phase_ == phase::none);
  auto kind = kept ? failure_kind::outcome_unknown : failure_kind::timed_out;
  fail_statement(kind, "no answer within the route's time limit");
}

// The one end of a statement without success. What it tells of the
// transaction is made true here: it is rolled back.
void client_session::fail_statement(failure_kind kind, std::string_view why,
                                    duration retry_after) {
  if (is_linked()) unlink();
  bool commit = statement_.verb == statement_verb::commit;
  bool in_transaction = transaction_phase_ != phase::none;
  if (in_transaction && !commit) transaction_phase_ = phase::failed;
  if (commit) transaction_phase_ = phase::none;
  // A commit that was never sent is rolled back; nothing of it is kept.
  if (in_transaction && kind == failure_kind::busy) {
    kind = failure_kind::aborted;
  }
  auto id = statement_.id;
  end_statement();
  release_link();
  return_token();
  refusal what{kind, why, retry_after};
  last_statement_id_ = id;
  reply_failure(what);
}

void client_session::end_statement() {
  running_ = false;
  timer_.disarm();
  // Lines that came meanwhile are taken once this turn is over.
  if (stream_.input().empty()) return;
  state_.loop.defer([keep = session_ptr(this)] { keep->on_input(); });
}

void client_session::release_link() {
  if (!link_) return;
  link_ptr left = std::move(link_);
  link_.reset();
  left->release();
}

void client_session::log_attempt(std::string_view why) {
  if (!state_.log.takes(journal_event::refusal)) return;
  auto* group = state_.find_group(route_.group);
  bool known = group && link_;
  instant now = state_.loop.now();
  auto newest = group ? group->samples().newest_sent_at() : now;
  state_.log.write(
      journal_event::refusal, "tried_elsewhere",
      {{"request", statement_.id},
       {"reason", why},
       {"upstream",
        known ? group->at(link_->upstream()).entry.id.value : std::string()},
       {"attempts", std::uint64_t{statement_.attempts}},
       {"since_ms", now - statement_.arrived_at},
       {"leader_only", requirements.leader_only},
       {"sample_age_ms", now - newest}});
}

}  // namespace toucanmux
