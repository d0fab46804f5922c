#include <algorithm>

#include "proxy/client-session.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using wire::failure_kind;

// For routes without a statement timeout.
constexpr duration default_timeout = std::chrono::seconds(5);
// How often a deferred answer is checked. Reports of peers confirm the leaders,
// so a check causes no traffic.
constexpr duration deferred_check_interval = milliseconds(50);
// A statement with less time left before its deadline can't be answered in
// time.
constexpr duration min_answer_time = milliseconds(10);

// The end of a link to another instance says nothing about the database, unless
// that instance has lost its connection to it.
bool lost_by_database(const upstream_link& link) {
  return !link.relayed() || link.ended_with_error();
}

}  // namespace

// False if the key was withdrawn, or if the configuration was not confirmed
// recently enough.
bool client_session::key_is_valid() {
  if (!key_required_) return true;
  return state_.config->find_team_by_key(key_) != nullptr &&
         state_.confirmation.valid(boot_time());
}

void client_session::start_statement(const session_statement& statement) {
  statement_ = running_statement{};
  statement_.id = statement.id;
  statement_.verb = statement.verb;
  statement_.text = statement.text;
  statement_.writes = statement.verb == statement_verb::write;
  if (statement.verb == statement_verb::execute) {
    statement_.prepared = values_.prepared.find(statement.name)->second;
    statement_.arguments = statement.value;
    statement_.writes = statement_.prepared->writes;
  }
  statement_.first_in_transaction = !transaction_started_;
  statement_.arrived_at = state_.loop.now();
  statement_.deadline = statement_.arrived_at + statement_timeout();
  team = operation_team_;
  priority = route_.priority;
  waiting_since = statement_.arrived_at;
  deadline = statement_.deadline;
  running_ = true;
  requirements = {};
  if (!key_is_valid()) {
    return fail_statement(failure_kind::busy, refusal_reason::key_withdrawn);
  }
  // Commits are checked too: another leader may have been named since the
  // begin.
  if (!reads_only() && link_ && !leads(*link_)) {
    return refuse_statement(refusal_reason::leader_changes);
  }
  try_upstream();
}

duration client_session::statement_timeout() const {
  return route_.statement_timeout > duration{0} ? route_.statement_timeout
                                                : default_timeout;
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

// The position that a database must have reached to serve the read: it covers
// the commits acknowledged longer ago than the route's maximum age and, on a
// session route, the session's own commits. The age counts
// back from the current time, because commits may have been acknowledged since
// the turn began.
std::optional<log_position> client_session::required_position() {
  upstream_group* group = state_.find_group(route_.group);
  group->request_samples();
  auto required = group->samples().required(boot_time(), route_.max_age);
  if (!required) return {};
  auto own_commit = own_commits_.find(route_.group);
  bool has_own_commit =
      own_commit != own_commits_.end() && route_.kind == route_kind::session;
  if (has_own_commit && *required < own_commit->second)
    return own_commit->second;
  return required;
}

// One attempt at each database of the group, and one more for a leader that was
// replaced meanwhile.
bool client_session::may_try_again() const {
  const auto* group = state_.find_group(route_.group);
  return group && statement_.attempts <= group->size();
}

bool client_session::deadline_reached() const {
  return state_.loop.now() + min_answer_time >= statement_.deadline;
}

void client_session::try_upstream() {
  upstream_group* group = state_.find_group(route_.group);
  if (!group)
    return fail_statement(failure_kind::busy, refusal_reason::no_group);
  if (!may_send()) return refuse_for_stop();
  if (link_) return send(*link_);
  requirements.leader_only = needs_leader() || !required_position();
  requirements.regions = regions_.restricted() ? &regions_ : nullptr;
  if (!group->may_serve(requirements)) return refuse_unservable(*group);
  if (upstream_link* free_link = group->try_acquire(*this))
    return on_link(*free_link);
  wait_for_link(*group);
}

void client_session::on_link(upstream_link& link) {
  link_ = &link;
  link.set_user(this);
  if (!may_send()) return refuse_for_stop();
  if (!key_is_valid()) {
    return fail_statement(failure_kind::busy, refusal_reason::key_withdrawn);
  }
  if (requirements.leader_only && !leads(link)) {
    return retry_or_refuse(refusal_reason::leader_changes);
  }
  send(link);
}

void client_session::send(upstream_link& link) {
  upstream_group* cold_group = state_.find_group(route_.group);
  if (cold_group && !cold_group->take_warm_up(link.upstream()))
    return retry_or_refuse(refusal_reason::warming_up);
  statement_.sent = true;
  spend_token();
  ++statement_.attempts;
  instant timer_end = statement_.deadline;
  statement_.early_timeout = false;
  // Another link to the owner of a leader's connections would only put the read
  // into the same queue once more.
  bool has_substitute = !requirements.leader_only || !link.relayed();
  if (may_rerun() && has_substitute && may_try_again()) {
    auto* group = state_.find_group(route_.group);
    instant attempt_deadline =
        state_.loop.now() + group->answer_timeout(link.upstream());
    statement_.early_timeout = attempt_deadline < timer_end;
    timer_end = std::min(timer_end, attempt_deadline);
  }
  state_.loop.arm(timer_, timer_end);
  link.set_deadline(statement_.deadline);
  link.send_values(values_);
  std::string text = statement_.text;
  if (statement_.prepared) {
    text = wire::execute_text(link.prepared_name(*statement_.prepared),
                              statement_.arguments);
  }
  if (statement_.first_in_transaction) return send_with_begin(link, text);
  link.send_statement(statement_.id, {}, text);
}

// The statement is sent only after the begin has succeeded: an upstream that
// refuses the begin would run a pipelined statement outside of the transaction.
void client_session::send_with_begin(upstream_link& link,
                                     std::string_view text) {
  bool single_statement = transaction_phase_ == phase::none;
  if (requirements.leader_only) {
    // A database that lost leadership refuses a begin or a write, but would
    // still answer a plain read.
    if (single_statement && statement_.writes)
      return link.send_statement(statement_.id, {}, text);
    statement_.text_after_begin = text;
    return link.send_begin(false, {});
  }
  auto position = required_position();
  if (!position) {
    // The position samples have expired while the statement was queued.
    statement_.sent = false;
    release_link();
    return try_upstream();
  }
  if (single_statement)
    return link.send_statement(statement_.id, position, text);
  statement_.text_after_begin = text;
  link.send_begin(true, position);
}

void client_session::handle_begin_answer(upstream_link& link,
                                         const link_answer& answer) {
  if (!answer.ok) return handle_error(link, answer.error);
  // Statements of the transaction see what was committed before its begin was
  // answered, so the database must still lead now.
  if (answer.purpose == link_purpose::begin && !leads(link)) {
    return retry_or_refuse(refusal_reason::leader_changes);
  }
  // The drain of the domain may have been learned since the begin was sent.
  const upstream_group* group = state_.find_group(route_.group);
  if (!group || !group->may_begin(link.upstream(), requirements))
    return retry_or_refuse(refusal_reason::domain_drained);
  if (!may_send()) return refuse_for_stop();
  link.send_statement(statement_.id, {}, statement_.text_after_begin);
  if (transaction_phase_ == phase::none) link.send_rollback();
}

void client_session::on_answer(upstream_link& link, const link_answer& answer) {
  if (!running_) return;
  bool answers_begin = answer.purpose == link_purpose::begin ||
                       answer.purpose == link_purpose::begin_read_only;
  if (answers_begin) return handle_begin_answer(link, answer);
  if (answer.purpose != link_purpose::statement) return;
  if (!answer.ok) return handle_error(link, answer.error);
  if (commits_data() && !leads(link)) return defer_answer(link, answer);
  complete_statement(answer);
}

// Whether the success of the running statement means that data was committed.
bool client_session::commits_data() const {
  bool is_commit = statement_.verb == statement_verb::commit;
  return is_commit ? transaction_wrote_
                   : statement_.writes && transaction_phase_ == phase::none;
}

// The statement was executed, but possibly by a former leader. The answer is
// held until a confirmation of the leaders' records shows whether the database
// still led when it answered. The answer may have arrived after the turn began.
void client_session::defer_answer(const upstream_link& link,
                                  const link_answer& answer) {
  statement_.deferred.emplace(answer, link.upstream(), boot_time());
  log_attempt(
      "executed, but leadership is not confirmed; waiting for confirmation");
  check_deferred();
}

void client_session::check_deferred() {
  const deferred_answer& answer = *statement_.deferred;
  const upstream_group* group = state_.find_group(route_.group);
  auto still_led = group ? group->led_since(answer.upstream, answer.received_at)
                         : std::optional<bool>(false);
  if (still_led == true) {
    deferred_answer confirmed = std::move(*statement_.deferred);
    statement_.deferred.reset();
    return complete_statement(confirmed.view());
  }
  if (still_led == false || deadline_reached()) {
    return fail_statement(failure_kind::outcome_unknown,
                          refusal_reason::leader_replaced);
  }
  auto next_check = state_.loop.now() + deferred_check_interval;
  state_.loop.arm(timer_,
                  std::min(next_check, statement_.deadline - min_answer_time));
}

void client_session::complete_statement(const link_answer& answer) {
  transaction_started_ = true;
  transaction_wrote_ = transaction_wrote_ || statement_.writes;
  stream_.output().append(answer.rows).append(answer.end_line);
  bool is_commit = statement_.verb == statement_verb::commit;
  if (commits_data() && answer.position) {
    own_commits_[route_.group] = *answer.position;
  }
  state_.read_retries.count_request(state_.loop.now());
  state_.metrics.count_served(route_.kind,
                              state_.loop.now() - statement_.arrived_at);
  if (state_.log.would_write(journal_kind::served)) {
    state_.log.write(journal_kind::served, "served",
                     {{"request", statement_.id},
                      {"team", operation_team_.value},
                      {"group", route_.group.value},
                      {"attempts", std::uint64_t{statement_.attempts}},
                      {"taken_ms", state_.loop.now() - statement_.arrived_at}});
  }
  if (is_commit) {
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
  std::uint64_t upstream_bit = std::uint64_t{1} << (link.upstream() % 64);
  switch (kind) {
    case failure_kind::lagging:
      if (group) group->record_lag(link.upstream());
      requirements.excluded |= upstream_bit;
      return retry_or_refuse(refusal_reason::lagging);
    case failure_kind::busy:
      if (group)
        group->record_refusal(link.upstream(), requirements.leader_only);
      if (requirements.leader_only) {
        return refuse_statement(refusal_reason::leader_busy);
      }
      requirements.excluded |= upstream_bit;
      return retry_refused_read();
    case failure_kind::not_leader:
      if (group) group->record_not_leader(link.upstream());
      return retry_or_refuse(refusal_reason::leader_changes);
    case failure_kind::wrong_upstream:
      if (!link.relayed()) return handle_execution_error(link, kind);
      return retry_or_refuse(refusal_reason::owner_refuses);
    case failure_kind::unknown_prepared:
      link.forget_prepared();
      return retry_or_refuse(refusal_reason::not_prepared);
    default:
      return handle_execution_error(link, kind);
  }
}

// The statement was executed and failed. A read outside of a transaction, or
// the first one of a read-only transaction, is retried on another database.
void client_session::handle_execution_error(upstream_link& link,
                                            failure_kind kind) {
  upstream_group* group = state_.find_group(route_.group);
  if (group) group->record_failure(link.upstream(), requirements.leader_only);
  bool may_retry = group && may_rerun() && !requirements.leader_only &&
                   may_try_again() && !deadline_reached() && may_retry_read();
  if (!may_retry) return fail_statement(kind, refusal_reason::database_error);
  state_.read_retries.count_retry(state_.loop.now());
  retry_elsewhere(link, text_of(refusal_reason::database_error));
}

// Retries a statement that was not executed, or refuses it.
void client_session::retry_or_refuse(refusal_reason reason) {
  bool may_retry =
      statement_.first_in_transaction && may_try_again() && !deadline_reached();
  if (!may_retry) return refuse_statement(reason);
  if (link_) log_attempt(text_of(reason));
  statement_.sent = false;
  release_link();
  try_upstream();
}

void client_session::on_link_lost(upstream_link& link) {
  std::uint64_t upstream_bit = std::uint64_t{1} << (link.upstream() % 64);
  if (running_) record_lost_link(link);
  link_.reset();
  if (running_ && statement_.deferred) return;
  if (!running_) return break_transaction("the connection was lost");
  bool is_commit = statement_.verb == statement_verb::commit;
  if (is_commit || (statement_.writes && transaction_phase_ == phase::none)) {
    return fail_statement(failure_kind::outcome_unknown,
                          refusal_reason::connection_lost);
  }
  if (!statement_.first_in_transaction) {
    return fail_statement(failure_kind::aborted,
                          refusal_reason::connection_lost);
  }
  // A statement that requires the leader is retried there over another
  // connection.
  bool exclude = !requirements.leader_only && lost_by_database(link);
  if (exclude) requirements.excluded |= upstream_bit;
  retry_or_refuse(refusal_reason::connection_lost);
}

void client_session::record_lost_link(const upstream_link& link) {
  log_attempt(text_of(refusal_reason::connection_lost));
  auto* group = state_.find_group(route_.group);
  if (group && lost_by_database(link))
    group->record_failure(link.upstream(), requirements.leader_only);
}

// True for a read outside of a transaction and for the first one of a read-only
// transaction.
bool client_session::may_rerun() const {
  return statement_.first_in_transaction && reads_only() &&
         statement_.verb != statement_verb::commit;
}

void client_session::on_link_silent(upstream_link& link) {
  // A silent leader has no substitute, but a silent instance that relays to it
  // has.
  bool has_substitute = !requirements.leader_only || link.relayed();
  if (!running_ || statement_.deferred || !may_rerun() || !has_substitute)
    return;
  if (!may_try_again() || deadline_reached()) return;
  retry_elsewhere(link, link.relayed()
                            ? "the owner of the connections is silent"
                            : "the database is silent on all connections");
}

// Retries a read whose answer is late or an error. An answer that still arrives
// over the released connection is discarded.
void client_session::retry_elsewhere(upstream_link& link,
                                     std::string_view reason) {
  log_attempt(reason);
  if (!requirements.leader_only) {
    requirements.excluded |= std::uint64_t{1} << (link.upstream() % 64);
  }
  statement_.sent = false;
  release_link();
  try_upstream();
}

void client_session::break_transaction(std::string_view reason) {
  if (transaction_phase_ != phase::open) return;
  transaction_phase_ = phase::broken;
  timer_.disarm();
  state_.log.write(journal_kind::refusal, "transaction_ended",
                   {{"request", last_statement_id_},
                    {"team", operation_team_.value},
                    {"group", route_.group.value},
                    {"reason", reason}});
}

void client_session::on_timer() {
  session_ptr keep(this);
  if (!opened_) return finish();
  if (running_ && statement_.deferred) return check_deferred();
  if (running_) return on_deadline();
  bool closes = refused_for_stop_ && transaction_phase_ == phase::none;
  if (closes) return on_input();
  // Between the statements of a transaction the timer bounds the idle time.
  break_transaction("the transaction was idle for too long");
  release_link();
}

void client_session::on_deadline() {
  bool retry_possible = statement_.early_timeout && !deadline_reached();
  if (statement_.sent && retry_possible && link_) {
    statement_.early_timeout = false;
    state_.loop.arm(timer_, statement_.deadline);
    if (!may_retry_read()) return;
    state_.read_retries.count_retry(state_.loop.now());
    auto* group = state_.find_group(route_.group);
    if (group && !link_->relayed())
      group->record_failure(link_->upstream(), requirements.leader_only);
    return retry_elsewhere(*link_, "no answer within the usual response time");
  }
  // Even a connection that became free now would not leave the time to answer.
  if (!statement_.sent) return refuse_statement(refusal_reason::no_connection);
  fail_unanswered(refusal_reason::no_answer);
}

void client_session::fail_unanswered(refusal_reason reason) {
  // An answer that arrives later must not be passed on.
  if (link_ptr late_link = std::move(link_)) {
    link_.reset();
    late_link->set_user(nullptr);
    late_link->abort();
  }
  bool is_commit = statement_.verb == statement_verb::commit;
  bool may_commit =
      is_commit || (statement_.writes && transaction_phase_ == phase::none);
  auto kind =
      may_commit ? failure_kind::outcome_unknown : failure_kind::timed_out;
  fail_statement(kind, reason);
}

// Ends the running statement with an error. Releasing the link rolls back an
// open transaction, which the answer to the caller reports.
void client_session::fail_statement(failure_kind kind, refusal_reason reason,
                                    duration retry_after) {
  if (is_linked()) unlink();
  bool is_commit = statement_.verb == statement_verb::commit;
  bool in_transaction = transaction_phase_ != phase::none;
  if (in_transaction && !is_commit) transaction_phase_ = phase::failed;
  if (is_commit) transaction_phase_ = phase::none;
  // A is_commit that was not sent ends in a rollback, so its outcome is known.
  if (in_transaction && kind == failure_kind::busy) {
    kind = failure_kind::aborted;
  }
  auto id = statement_.id;
  end_statement();
  release_link();
  return_token();
  refusal refused{kind, reason, retry_after};
  last_statement_id_ = id;
  reply_failure(refused);
}

void client_session::end_statement() {
  running_ = false;
  timer_.disarm();
  // Lines received while the statement ran are handled at the end of this turn
  // of the event loop.
  if (stream_.input().empty()) return;
  state_.loop.defer([keep = session_ptr(this)] { keep->on_input(); });
}

void client_session::release_link() {
  if (!link_) return;
  link_ptr released = std::move(link_);
  link_.reset();
  released->release();
}

void client_session::log_attempt(std::string_view reason) {
  if (!state_.log.would_write(journal_kind::refusal)) return;
  auto* group = state_.find_group(route_.group);
  bool has_link = group && link_;
  instant now = state_.loop.now();
  auto newest_sample_at = group ? group->samples().newest_sent_at() : now;
  state_.log.write(
      journal_kind::refusal, "tried_elsewhere",
      {{"request", statement_.id},
       {"reason", reason},
       {"upstream",
        has_link ? group->at(link_->upstream()).entry.id.value : std::string()},
       {"attempts", std::uint64_t{statement_.attempts}},
       {"since_ms", now - statement_.arrived_at},
       {"leader_only", requirements.leader_only},
       {"sample_age_ms", now - newest_sample_at}});
}

}  // namespace toucanmux
