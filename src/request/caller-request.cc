#include "request/caller-request.h"

#include "connection/http-connection.h"
#include "process/clock.h"
#include "process/entry-thread.h"
#include "process/limiter.h"
#include "process/recorder.h"
#include "request/key-hash.h"
#include "toucanmux/error.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds come_back{250};

}  // namespace

caller_request::caller_request(entry_thread& thread, http_connection& caller,
                               caller_call&& call)
    : thread_(thread),
      caller_(&caller),
      call_(std::move(call)),
      deadline_(now() + call_.time_left) {
  if (!call_.key.empty()) key_hash_ = hash_key(call_.key);
  // The key goes no further than this.
  call_.key.clear();
}

caller_request::~caller_request() {
  *alive_ = false;
  if (sent_id_ != 0) thread_.link(pool_).forget(sent_id_);
}

void caller_request::start() {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, [this] { time_out(); });
  auto left = std::chrono::ceil<std::chrono::milliseconds>(call_.time_left);
  timer_.start(left);
  if (!thread_.view().ready()) return refuse(reason::not_ready, "", come_back);
  try {
    session_ = thread_.tokens().decode(call_.session);
  } catch (const token_error& e) {
    return refuse(reason::bad_request, e.what());
  }
  if (call_.transaction != 0) {
    find_transaction();
  } else {
    find_group();
  }
  if (!finished_) find_team();
  if (finished_) return;
  std::weak_ptr<bool> alive = alive_;
  thread_.admit()(statement_.team, [this, alive](const admission& result) {
    if (alive.lock()) admitted(result);
  });
}

void caller_request::find_group() {
  const auto* group = thread_.view().find_group(call_.service, call_.shard);
  if (group == nullptr) {
    return refuse(
        reason::bad_request,
        "no such service, or it needs a shard: " + call_.service.value);
  }
  statement_.service = call_.service;
  statement_.group = group->id;
  statement_.required = session_.required(group->id);
  bool remembers =
      call_.access == access_class::read || session_.has_room(group->id);
  if (!remembers) refuse(reason::bad_request, "start a new session");
}

void caller_request::find_transaction() {
  auto* open = thread_.find_transaction(call_.transaction, *caller_);
  if (open == nullptr) return refuse(reason::transaction_gone);
  if (open->busy) {
    return refuse(reason::bad_request, "wait for the transaction's answer");
  }
  call_.service = open->service;
  statement_.service = open->service;
  statement_.group = open->group;
  statement_.database = open->database;
  statement_.transaction = open->id_at_pool;
  pool_ = open->pool;
}

void caller_request::find_team() {
  const auto& teams = *thread_.view().teams;
  route wanted{call_.service, call_.access};
  if (key_hash_.empty()) {
    const auto* open = teams.find_open(wanted);
    if (open == nullptr) return refuse(reason::key_refused);
    statement_.team = open_route_team(open->service, open->access);
  } else {
    const auto* team = teams.find_key(key_hash_);
    if (team == nullptr) return refuse(reason::key_refused);
    if (!teams.may_use(*team, wanted)) {
      if (teams.find_open(wanted) == nullptr) {
        return refuse(reason::route_refused);
      }
    }
    statement_.team = team->id;
    statement_.weight = teams.limits(*team).weight;
  }
  if (call_.transaction == 0) return;
  const auto* open = thread_.find_transaction(call_.transaction, *caller_);
  if (open->team != statement_.team) refuse(reason::transaction_gone);
}

void caller_request::admitted(const admission& result) {
  if (!result.admitted) {
    return refuse(reason::over_rate, "", result.retry_after);
  }
  statement_.access = call_.access;
  statement_.step = call_.step;
  statement_.sql = std::move(call_.sql);
  statement_.parameters = std::move(call_.parameters);
  statement_.max_age = call_.max_age;
  statement_.idempotency_key = call_.idempotency_key;
  begin();
}

void caller_request::begin() {
  auto group = thread_.view().groups.find(statement_.group);
  if (group == thread_.view().groups.end()) {
    return refuse(reason::no_upstream, "", come_back);
  }
  request_started e;
  e.request = thread_.next_request_id();
  e.access = statement_.access;
  e.step = statement_.step;
  e.transaction = statement_.transaction;
  if (e.access == access_class::read) e.required = statement_.required;
  e.has_idempotency_key = !statement_.idempotency_key.empty();
  e.time_left = deadline_ - now();
  e.candidates = thread_.candidates(group->second, wanted());
  if (const auto* hint = thread_.hint(statement_.group)) {
    e.writes_open = hint->writable;
    e.retry_after = hint->retry_after;
  }
  if (call_.transaction != 0) {
    thread_.find_transaction(call_.transaction, *caller_)->busy = true;
  }
  thread_.budget(statement_.team).count_request(now());
  trace_id_ = "request-" + std::to_string(e.request);
  process_recorder().record_construction<request_attempts>(
      trace_id_, "request_attempts", request_attempts::settings());
  step(e);
}

freshness caller_request::wanted() const {
  return {statement_.required, statement_.max_age};
}

void caller_request::step(const request_attempts::event& event, answer* got) {
  auto actions = process_recorder().step(attempts_, trace_id_, now(), event);
  for (const auto& action : actions) {
    std::visit(overloaded{[&](const answer_caller& a) { carry_out(a, got); },
                          [&](const auto& a) { carry_out(a); }},
               action);
  }
}

// Without a pool to send to, not a byte has left.
void caller_request::carry_out(const send_attempt& action) {
  if (action.counts_as_retry) {
    thread_.budget(statement_.team).count_retry(now());
  }
  if (!find_pool(action)) {
    bool may_retry = thread_.budget(statement_.team).may_retry(now());
    return step(attempt_lost{action.id, false, may_retry});
  }
  statement_.time_left = action.time_left;
  auto done = [this, id = action.id](pool_link::ending&& ending) {
    sent_id_ = 0;
    if (ending.answered) return ended(id, std::move(ending.what));
    lost(id, ending.left);
  };
  sent_id_ = thread_.link(pool_).send(statement_, std::move(done));
}

// Inside a transaction the pool and the database stay as they are.
bool caller_request::find_pool(const send_attempt& action) {
  if (statement_.transaction != 0) return true;
  const auto& view = thread_.view();
  auto group = view.groups.find(statement_.group);
  if (group == view.groups.end()) return false;
  const auto* target =
      fleet_view::find_database(group->second, action.database);
  if (target == nullptr) return false;
  const auto* owner = view.owner(*target);
  const auto* next = action.choice == 0 ? nullptr : view.next_owner(*target);
  if (next != nullptr) owner = next;
  if (owner == nullptr) return false;
  statement_.database = action.database;
  pool_ = {owner->address, owner->service_port};
  return true;
}

void caller_request::carry_out(const cancel_attempt&) {
  if (sent_id_ != 0) thread_.link(pool_).cancel(sent_id_);
}

void caller_request::carry_out(const wake_at& action) {
  auto left = std::max(duration(0), action.at - now());
  timer_.start(std::chrono::ceil<std::chrono::milliseconds>(left));
}

void caller_request::carry_out(const abandon_transaction&) {
  auto* open = thread_.find_transaction(call_.transaction, *caller_);
  if (open != nullptr) thread_.roll_back(*open);
}

void caller_request::carry_out(const answer_caller& action, answer* got) {
  call_ending ending;
  ending.how = action.how;
  ending.why = action.why;
  ending.retry_after = action.retry_after;
  if (!action.relay || got == nullptr) {
    end_transaction();
    return finish(std::move(ending));
  }
  ending.from_replica = got->from_replica;
  ending.replayed = got->replayed;
  ending.message = std::move(got->message);
  ending.sql_state = std::move(got->sql_state);
  bool wrote =
      got->how == outcome::done && (call_.access == access_class::write ||
                                    call_.step == statement_step::commit);
  if (wrote) session_.merge(statement_.group, got->position);
  settle_transaction(*got, ending);
  ending.result = std::move(got->result);
  finish(std::move(ending));
}

void caller_request::ended(std::uint64_t attempt, answer&& got) {
  bool read_there = got.from_replica && call_.access == access_class::read;
  if (read_there && (got.how == outcome::done || got.how == outcome::behind)) {
    thread_.observe_read(statement_.group, statement_.database,
                         statement_.required, got.how == outcome::done);
  }
  if (got.position.term != 0) {
    thread_.observe(statement_.group, statement_.database, got.position);
  }
  attempt_answered e;
  e.id = attempt;
  e.how = got.how;
  e.why = got.why;
  e.position = got.position;
  e.from_replica = got.from_replica;
  e.retry_after = got.retry_after;
  e.may_retry = thread_.budget(statement_.team).may_retry(now());
  step(e, &got);
}

void caller_request::lost(std::uint64_t attempt, bool left) {
  bool may_retry = thread_.budget(statement_.team).may_retry(now());
  step(attempt_lost{attempt, left, may_retry});
}

void caller_request::settle_transaction(const answer& got,
                                        call_ending& ending) {
  if (call_.step == statement_step::begin && got.how == outcome::done) {
    ending.transaction = thread_.add_transaction(
        {caller_, statement_.team, statement_.service, statement_.group,
         statement_.database, pool_, got.transaction, false});
    return;
  }
  if (call_.transaction == 0) return;
  bool stays = call_.step == statement_step::inside &&
               (got.how == outcome::done || got.how == outcome::failed);
  if (!stays) return thread_.remove_transaction(call_.transaction);
  auto* open = thread_.find_transaction(call_.transaction, *caller_);
  if (open != nullptr) open->busy = false;
}

void caller_request::end_transaction() {
  if (call_.transaction != 0) thread_.remove_transaction(call_.transaction);
}

void caller_request::time_out() {
  if (finished_) return;
  if (trace_id_.empty()) return refuse(reason::deadline);
  step(attempt_timer());
  // A timer that fired early is no answer.
  if (!finished_ && !timer_.isActive()) timer_.start(1);
}

void caller_request::check_key() {
  if (finished_ || key_hash_.empty()) return;
  const auto* team = thread_.view().teams->find_key(key_hash_);
  if (team != nullptr && team->id == statement_.team) return;
  if (trace_id_.empty()) return refuse(reason::key_refused);
  step(key_withdrawn());
}

void caller_request::hints_changed(const group_id& group) {
  if (finished_ || trace_id_.empty() || sent_id_ != 0) return;
  if (statement_.group != group) return;
  const auto& groups = thread_.view().groups;
  auto it = groups.find(group);
  const auto* hint = thread_.hint(group);
  if (it == groups.end() || hint == nullptr) return;
  step(candidates_changed{thread_.candidates(it->second, wanted()),
                          hint->writable, hint->retry_after});
}

// What the attempts would ask for follows by itself: the destructor forgets
// the statement, and the entry rolls back all transactions of the caller.
void caller_request::caller_gone() { delete this; }

void caller_request::refuse(reason why, std::string message,
                            duration retry_after) {
  call_ending ending;
  ending.how = outcome::not_run;
  ending.why = why;
  ending.message = std::move(message);
  ending.retry_after = retry_after;
  finish(std::move(ending));
}

void caller_request::finish(call_ending&& ending) {
  finished_ = true;
  timer_.stop();
  thread_.metrics().count(ending.how, ending.why, ending.from_replica);
  try {
    ending.session = thread_.tokens().encode(session_);
  } catch (const token_error&) {
    ending.session = call_.session;
  }
  caller_->respond(make_response(ending));
  QMetaObject::invokeMethod(
      &timer_, [this] { delete this; }, Qt::QueuedConnection);
}

}  // namespace toucanmux
