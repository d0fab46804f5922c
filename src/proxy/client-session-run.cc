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
bool client_session::key_still_holds() {
  if (!keyed_) return true;
  return state_.config->find_key(key_) != nullptr &&
         state_.confirmation.holds(state_.loop.now());
}

void client_session::start(const session_statement& what) {
  run_ = run{};
  run_.id = what.id;
  run_.verb = what.verb;
  run_.text = what.text;
  run_.writes = what.verb == statement_verb::write;
  if (what.verb == statement_verb::execute) {
    run_.shape = values_.prepared.find(what.name)->second;
    run_.arguments = what.value;
    run_.writes = run_.shape->writes;
  }
  run_.first = !started_;
  run_.arrived = state_.loop.now();
  auto limit = route_.statement_timeout > duration{0} ? route_.statement_timeout
                                                      : default_timeout;
  run_.deadline = run_.arrived + limit;
  running_ = true;
  need = {};
  if (!key_still_holds()) {
    return fail_run(failure_kind::busy, "the key is not valid any more");
  }
  // A commit as well: another leader may have been named meanwhile.
  if (!reads_only() && link_ && !leads(*link_)) {
    return fail_run(failure_kind::busy, "the leader changes", leader_retry);
  }
  attempt();
}

bool client_session::leads(const upstream_link& link) const {
  const upstream_group* group = state_.find_group(route_.group);
  return group && group->leads(link.upstream());
}

bool client_session::reads_only() const {
  if (transaction_ == phase::none) return !run_.writes;
  return read_only_;
}

bool client_session::needs_leader() const {
  return !reads_only() || route_.kind == route_kind::leader;
}

// The position that a read has to see: what was acknowledged longer ago than
// the route allows, and the session's own commits.
std::optional<log_position> client_session::needed_position() {
  upstream_group* group = state_.find_group(route_.group);
  group->want_samples();
  auto needed = group->samples().required(state_.loop.now(), route_.max_age);
  if (!needed) return {};
  auto own = own_commits_.find(route_.group);
  bool has_own =
      own != own_commits_.end() && route_.kind == route_kind::session;
  if (has_own && *needed < own->second) return own->second;
  return needed;
}

bool client_session::time_is_up() const {
  return state_.loop.now() + least_time >= run_.deadline;
}

void client_session::attempt() {
  upstream_group* group = state_.find_group(route_.group);
  if (!group) return fail_run(failure_kind::busy, "no such group here");
  if (link_) return send(*link_);
  need.leader_only = needs_leader() || !needed_position();
  team = operation_team_;
  priority = route_.priority;
  since = run_.arrived;
  if (!group->may_serve(need)) {
    return fail_run(failure_kind::busy, "no database can serve this now",
                    leader_retry);
  }
  if (upstream_link* found = group->try_acquire(*this)) return on_link(*found);
  waiting_statement own{run_.arrived, run_.deadline, route_.goal,
                        run_.attempts > 0};
  auto verdict =
      waiting_rule().decide(state_.loop.now(), own, group->line(need));
  if (!verdict.waits) {
    return fail_run(failure_kind::busy, "the line is too long",
                    verdict.retry_after);
  }
  group->enqueue(*this);
  state_.loop.arm(timer_, verdict.until);
}

void client_session::on_link(upstream_link& link) {
  link_ = &link;
  link.set_user(this);
  if (!key_still_holds()) {
    return fail_run(failure_kind::busy, "the key is not valid any more");
  }
  if (need.leader_only && !leads(link)) {
    return retry_or_refuse("the leader changes");
  }
  send(link);
}

void client_session::send(upstream_link& link) {
  run_.sent = true;
  spend_token();
  ++run_.attempts;
  instant until = run_.deadline;
  run_.hurried = false;
  if (may_run_again() && run_.attempts < most_attempts) {
    auto* group = state_.find_group(route_.group);
    instant patient = state_.loop.now() + group->patience(link.upstream());
    run_.hurried = patient < until;
    until = std::min(until, patient);
  }
  state_.loop.arm(timer_, until);
  link.send_values(values_);
  std::string text = run_.text;
  if (run_.shape) {
    text = wire::execute_text(link.prepared_name(*run_.shape), run_.arguments);
  }
  if (run_.first) return send_first(link, text);
  link.send_statement(run_.id, {}, text);
}

// The statement follows once the transaction has begun: an upstream that
// refuses the begin would run it outside of any.
void client_session::send_first(upstream_link& link, std::string_view text) {
  bool single = transaction_ == phase::none;
  if (need.leader_only) {
    // Only a transaction shows whether the database leads; a plain read would
    // be answered by one that has lost the lead.
    if (single && run_.writes) return link.send_statement(run_.id, {}, text);
    run_.after_begin = text;
    return link.send_begin(false, {});
  }
  auto after = needed_position();
  if (!after) {
    // The samples have grown too old while the statement waited.
    run_.sent = false;
    leave_link();
    return attempt();
  }
  if (single) return link.send_statement(run_.id, after, text);
  run_.after_begin = text;
  link.send_begin(true, after);
}

void client_session::take_begun(upstream_link& link,
                                const link_answer& answer) {
  if (!answer.ok) return fail(link, answer.error);
  // What follows sees what was committed by now, so it counts from here on.
  if (answer.step == link_step::begin && !leads(link)) {
    return retry_or_refuse("the leader changes");
  }
  link.send_statement(run_.id, {}, run_.after_begin);
  if (transaction_ == phase::none) link.send_rollback();
}

void client_session::on_answer(upstream_link& link, const link_answer& answer) {
  if (!running_) return;
  bool begins =
      answer.step == link_step::begin || answer.step == link_step::begin_read;
  if (begins) return take_begun(link, answer);
  if (answer.step != link_step::statement) return;
  if (!answer.ok) return fail(link, answer.error);
  if (keeps_data() && !leads(link)) return hold(link, answer);
  succeed(answer);
}

// Whether the statement that runs ends with data that is kept.
bool client_session::keeps_data() const {
  bool commit = run_.verb == statement_verb::commit;
  return commit ? wrote_ : run_.writes && transaction_ == phase::none;
}

// It has run, but maybe at a leader that was replaced before. The next proof
// of the leaders tells.
void client_session::hold(const upstream_link& link,
                          const link_answer& answer) {
  run_.held.emplace(answer, link.upstream(), state_.loop.now());
  log_attempt("the lead is not proven");
  check_held();
}

void client_session::check_held() {
  const held_answer& held = *run_.held;
  const upstream_group* group = state_.find_group(route_.group);
  auto led = group ? group->led_since(held.upstream, held.came)
                   : std::optional<bool>(false);
  if (led == true) {
    held_answer sure = std::move(*run_.held);
    run_.held.reset();
    return succeed(sure.shown());
  }
  if (led == false || time_is_up()) {
    return fail_run(failure_kind::outcome_unknown,
                    "another leader was named meanwhile");
  }
  auto next = state_.loop.now() + held_check;
  state_.loop.arm(timer_, std::min(next, run_.deadline - least_time));
}

void client_session::succeed(const link_answer& answer) {
  started_ = true;
  wrote_ = wrote_ || run_.writes;
  stream_.output().append(answer.rows).append(answer.end);
  bool commit = run_.verb == statement_verb::commit;
  if (keeps_data() && answer.position) {
    own_commits_[route_.group] = *answer.position;
  }
  state_.read_retries.count_request(state_.loop.now());
  state_.metrics.count_served(route_.kind, state_.loop.now() - run_.arrived);
  if (state_.log.would_write(journal_kind::served)) {
    state_.log.write(journal_kind::served, "served",
                     {{"request", run_.id},
                      {"team", operation_team_.value},
                      {"group", route_.group.value},
                      {"attempts", std::uint64_t{run_.attempts}},
                      {"taken_ms", state_.loop.now() - run_.arrived}});
  }
  if (commit) {
    transaction_ = phase::none;
    wrote_ = false;
  }
  end_run();
  if (transaction_ == phase::none) {
    leave_link();
  } else if (state_.config->transaction_idle() > duration{0}) {
    state_.loop.arm_in(timer_, state_.config->transaction_idle());
  }
  reply_ready(answer.position);
}

void client_session::fail(upstream_link& link, failure_kind kind) {
  upstream_group* group = state_.find_group(route_.group);
  std::uint64_t bit = std::uint64_t{1} << (link.upstream() % 64);
  switch (kind) {
    case failure_kind::lagging:
      if (group) group->note_behind(link.upstream());
      need.excluded |= bit;
      return retry_or_refuse("no log is far enough");
    case failure_kind::busy:
      if (need.leader_only) {
        return fail_run(kind, "the leader is busy", overload_retry);
      }
      if (group) group->note_failure(link.upstream());
      need.excluded |= bit;
      return retry_or_refuse("the databases are busy");
    case failure_kind::not_leader:
      if (group) group->note_not_leader(link.upstream());
      return retry_or_refuse("the leader changes");
    case failure_kind::unknown_prepared:
      link.forget_prepared();
      return retry_or_refuse("the statement was not prepared");
    default:
      return fail_here(link, kind);
  }
}

// It has run, and failed. A read that opens nothing may run again, where
// another database is left.
void client_session::fail_here(upstream_link& link, failure_kind kind) {
  upstream_group* group = state_.find_group(route_.group);
  if (group) group->note_failure(link.upstream());
  bool again = group && may_run_again() && !need.leader_only &&
               run_.attempts < most_attempts && !time_is_up() &&
               state_.read_retries.may_retry(state_.loop.now());
  if (!again) return fail_run(kind, "the database answered with an error");
  state_.read_retries.count_retry(state_.loop.now());
  try_elsewhere(link, "the database answered with an error");
}

// For statements that have not run.
void client_session::retry_or_refuse(std::string_view why) {
  bool again = run_.first && run_.attempts < most_attempts && !time_is_up();
  if (!again) return fail_run(failure_kind::busy, why, overload_retry);
  if (link_) log_attempt(why);
  run_.sent = false;
  leave_link();
  attempt();
}

void client_session::on_link_lost(upstream_link& link) {
  std::uint64_t bit = std::uint64_t{1} << (link.upstream() % 64);
  if (running_) note_lost(link);
  link_.reset();
  if (running_ && run_.held) return;
  if (!running_) return break_transaction("the connection was lost");
  bool commit = run_.verb == statement_verb::commit;
  if (commit || (run_.writes && transaction_ == phase::none)) {
    return fail_run(failure_kind::outcome_unknown,
                    "the database's connection was lost");
  }
  if (!run_.first) {
    return fail_run(failure_kind::aborted,
                    "the database's connection was lost");
  }
  // Only the leader will do, over another connection if it still takes one.
  if (!need.leader_only) need.excluded |= bit;
  retry_or_refuse("the database's connection was lost");
}

void client_session::note_lost(const upstream_link& link) {
  log_attempt("the database's connection was lost");
  auto* group = state_.find_group(route_.group);
  if (group) group->note_failure(link.upstream());
}

// A read outside of a transaction, or the first one of a read-only one.
bool client_session::may_run_again() const {
  return run_.first && reads_only() && run_.verb != statement_verb::commit;
}

void client_session::on_link_silent(upstream_link& link) {
  if (!running_ || run_.held || !may_run_again() || need.leader_only) return;
  if (run_.attempts >= most_attempts || time_is_up()) return;
  try_elsewhere(link, "no answer yet");
}

// The answer may be lost, or the database may be slow. What it still sends on
// this connection belongs to nobody.
void client_session::try_elsewhere(upstream_link& link, std::string_view why) {
  log_attempt(why);
  if (!need.leader_only) {
    need.excluded |= std::uint64_t{1} << (link.upstream() % 64);
  }
  run_.sent = false;
  leave_link();
  attempt();
}

void client_session::break_transaction(std::string_view why) {
  if (transaction_ != phase::open) return;
  transaction_ = phase::broken;
  timer_.disarm();
  state_.log.write(journal_kind::refusal, "transaction_ended",
                   {{"request", id_},
                    {"team", operation_team_.value},
                    {"group", route_.group.value},
                    {"reason", why}});
}

void client_session::on_timer() {
  session_ptr keep(this);
  if (!opened_) return finish();
  if (running_ && run_.held) return check_held();
  if (running_) return on_deadline();
  // The transaction has rested too long.
  break_transaction("the transaction rested too long");
  leave_link();
}

void client_session::on_deadline() {
  bool early = run_.hurried && !time_is_up();
  if (run_.sent && early && link_) {
    run_.hurried = false;
    state_.loop.arm(timer_, run_.deadline);
    if (!state_.read_retries.may_retry(state_.loop.now())) return;
    state_.read_retries.count_retry(state_.loop.now());
    if (auto* group = state_.find_group(route_.group)) {
      group->note_failure(link_->upstream());
    }
    return try_elsewhere(*link_, "no answer yet");
  }
  if (!run_.sent) {
    return fail_run(failure_kind::busy, "no connection was free in time",
                    overload_retry);
  }
  // Whatever still comes on this connection belongs to nobody.
  if (link_ptr lost = std::move(link_)) {
    link_.reset();
    lost->set_user(nullptr);
    lost->abort();
  }
  bool commit = run_.verb == statement_verb::commit;
  bool kept = commit || (run_.writes && transaction_ == phase::none);
  auto kind = kept ? failure_kind::outcome_unknown : failure_kind::timed_out;
  fail_run(kind, "no answer within the route's time limit");
}

// The one end of a statement without success. What it tells of the
// transaction is made true here: it is rolled back.
void client_session::fail_run(failure_kind kind, std::string_view why,
                              duration retry_after) {
  if (is_linked()) unlink();
  bool commit = run_.verb == statement_verb::commit;
  bool in_transaction = transaction_ != phase::none;
  if (in_transaction && !commit) transaction_ = phase::failed;
  if (commit) transaction_ = phase::none;
  // A commit that was never sent is rolled back; nothing of it is kept.
  if (in_transaction && kind == failure_kind::busy) {
    kind = failure_kind::aborted;
  }
  auto id = run_.id;
  end_run();
  leave_link();
  return_token();
  refusal what{kind, why, retry_after};
  id_ = id;
  reply_failure(what);
}

void client_session::end_run() {
  running_ = false;
  timer_.disarm();
  // Lines that came meanwhile are taken once this turn is over.
  if (stream_.input().empty()) return;
  state_.loop.defer([keep = session_ptr(this)] { keep->on_input(); });
}

void client_session::leave_link() {
  if (!link_) return;
  link_ptr left = std::move(link_);
  link_.reset();
  left->release();
}

void client_session::log_attempt(std::string_view why) {
  if (!state_.log.would_write(journal_kind::refusal)) return;
  auto* group = state_.find_group(route_.group);
  bool known = group && link_;
  instant now = state_.loop.now();
  auto newest = group ? group->samples().newest_time() : now;
  state_.log.write(
      journal_kind::refusal, "tried_elsewhere",
      {{"request", run_.id},
       {"reason", why},
       {"upstream",
        known ? group->at(link_->upstream()).entry.id.value : std::string()},
       {"attempts", std::uint64_t{run_.attempts}},
       {"since_ms", now - run_.arrived},
       {"leader_only", need.leader_only},
       {"sample_age_ms", now - newest}});
}

}  // namespace toucanmux
