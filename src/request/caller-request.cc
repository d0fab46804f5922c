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

constexpr std::chrono::milliseconds default_retry_after{250};

}  // namespace

caller_request::caller_request(entry_thread& thread, http_connection& caller,
                               caller_call&& call)
    : thread_(thread),
      caller_(&caller),
      call_(std::move(call)),
      deadline_(now() + call_.time_left) {
  if (!call_.key.empty()) key_hash_ = hash_key(call_.key);
  // Only the hash is needed from here on.
  call_.key.clear();
}

caller_request::~caller_request() {
  *alive_ = false;
  if (sent_id_ != 0) thread_.link(pool_).forget(sent_id_);
}

void caller_request::start() {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, [this] { handle_timeout(); });
  auto time_left =
      std::chrono::ceil<std::chrono::milliseconds>(call_.time_left);
  timer_.start(time_left);
  if (!thread_.view().ready())
    return refuse(reason_code::not_ready, "", default_retry_after);
  try {
    session_ = thread_.tokens().decode(call_.session);
  } catch (const token_error& e) {
    return refuse(reason_code::bad_request, e.what());
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
    if (alive.lock()) handle_admission(result);
  });
}

void caller_request::find_group() {
  const auto* group = thread_.view().find_group(call_.service, call_.shard);
  if (group == nullptr) {
    return refuse(
        reason_code::bad_request,
        "no such service, or it needs a shard: " + call_.service.value);
  }
  statement_.service = call_.service;
  statement_.group = group->id;
  statement_.required = session_.required(group->id);
  bool has_room =
      call_.access == access_class::read || session_.has_room(group->id);
  if (!has_room) refuse(reason_code::bad_request, "start a new session");
}

void caller_request::find_transaction() {
  auto* transaction = thread_.find_transaction(call_.transaction, *caller_);
  if (transaction == nullptr) return refuse(reason_code::transaction_gone);
  if (transaction->busy) {
    return refuse(reason_code::bad_request,
                  "wait for the transaction's answer");
  }
  call_.service = transaction->service;
  statement_.service = transaction->service;
  statement_.group = transaction->group;
  statement_.database = transaction->database;
  statement_.transaction = transaction->id_at_pool;
  pool_ = transaction->pool;
}

void caller_request::find_team() {
  const auto& teams = *thread_.view().teams;
  route requested_route{call_.service, call_.access};
  if (key_hash_.empty()) {
    const auto* open = teams.find_open_route(requested_route);
    if (open == nullptr) return refuse(reason_code::key_refused);
    statement_.team = open_route_team(open->service, open->access);
  } else {
    const auto* team = teams.find_by_key_hash(key_hash_);
    if (team == nullptr) return refuse(reason_code::key_refused);
    if (!teams.may_use(*team, requested_route)) {
      if (teams.find_open_route(requested_route) == nullptr) {
        return refuse(reason_code::route_refused);
      }
    }
    statement_.team = team->id;
    statement_.weight = teams.limits(*team).weight;
  }
  if (call_.transaction == 0) return;
  const auto* transaction =
      thread_.find_transaction(call_.transaction, *caller_);
  if (transaction->team != statement_.team)
    refuse(reason_code::transaction_gone);
}

void caller_request::handle_admission(const admission& result) {
  if (!result.admitted) {
    return refuse(reason_code::over_rate, "", result.retry_after);
  }
  statement_.access = call_.access;
  statement_.step = call_.step;
  statement_.sql = std::move(call_.sql);
  statement_.parameters = std::move(call_.parameters);
  statement_.max_age = call_.max_age;
  statement_.idempotency_key = call_.idempotency_key;
  start_attempts();
}

void caller_request::start_attempts() {
  auto group = thread_.view().groups.find(statement_.group);
  if (group == thread_.view().groups.end()) {
    return refuse(reason_code::no_upstream, "", default_retry_after);
  }
  request_started e;
  e.request = thread_.next_request_id();
  e.access = statement_.access;
  e.step = statement_.step;
  e.transaction = statement_.transaction;
  if (e.access == access_class::read) e.required = statement_.required;
  e.has_idempotency_key = !statement_.idempotency_key.empty();
  e.time_left = deadline_ - now();
  e.candidates = thread_.candidates(group->second, required_freshness());
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

freshness caller_request::required_freshness() const {
  return {statement_.required, statement_.max_age};
}

void caller_request::step(const request_attempts::event& event,
                          answer* received) {
  auto actions = process_recorder().step(attempts_, trace_id_, now(), event);
  for (const auto& action : actions) {
    std::visit(overloaded{[&](const answer_caller& a) { execute(a, received); },
                          [&](const auto& a) { execute(a); }},
               action);
  }
}

// If there is no pool to send to, the attempt is reported as lost and unsent.
void caller_request::execute(const send_attempt& action) {
  if (action.counts_as_retry) {
    thread_.budget(statement_.team).count_retry(now());
  }
  if (!find_pool(action)) {
    bool may_retry = thread_.budget(statement_.team).may_retry(now());
    return step(attempt_lost{action.id, false, may_retry});
  }
  statement_.time_left = action.time_left;
  auto done = [this, id = action.id](pool_link::statement_result&& result) {
    sent_id_ = 0;
    if (result.answered) return handle_answer(id, std::move(result.reply));
    handle_lost_attempt(id, result.sent);
  };
  sent_id_ = thread_.link(pool_).send(statement_, std::move(done));
}

// Inside a transaction the pool and the database are fixed.
bool caller_request::find_pool(const send_attempt& action) {
  if (statement_.transaction != 0) return true;
  const auto& view = thread_.view();
  auto group = view.groups.find(statement_.group);
  if (group == view.groups.end()) return false;
  const auto* target =
      fleet_view::find_database(group->second, action.database);
  if (target == nullptr) return false;
  const auto* owner = view.owner(*target);
  const auto* next =
      action.owner_index == 0 ? nullptr : view.next_owner(*target);
  if (next != nullptr) owner = next;
  if (owner == nullptr) return false;
  statement_.database = action.database;
  pool_ = {owner->address, owner->service_port};
  return true;
}

void caller_request::execute(const cancel_attempt&) {
  if (sent_id_ != 0) thread_.link(pool_).cancel(sent_id_);
}

void caller_request::execute(const wake_at& action) {
  auto delay = std::max(duration(0), action.at - now());
  timer_.start(std::chrono::ceil<std::chrono::milliseconds>(delay));
}

void caller_request::execute(const abandon_transaction&) {
  auto* transaction = thread_.find_transaction(call_.transaction, *caller_);
  if (transaction != nullptr) thread_.roll_back(*transaction);
}

void caller_request::execute(const answer_caller& action, answer* received) {
  call_reply reply;
  reply.outcome = action.outcome;
  reply.reason = action.reason;
  reply.retry_after = action.retry_after;
  if (!action.relay || received == nullptr) {
    end_transaction();
    return finish(std::move(reply));
  }
  reply.from_replica = received->from_replica;
  reply.replayed = received->replayed;
  reply.message = std::move(received->message);
  reply.sql_state = std::move(received->sql_state);
  bool wrote = received->outcome == outcome_code::done &&
               (call_.access == access_class::write ||
                call_.step == statement_step::commit);
  if (wrote) session_.merge(statement_.group, received->position);
  update_transaction(*received, reply);
  reply.result = std::move(received->result);
  finish(std::move(reply));
}

void caller_request::handle_answer(std::uint64_t attempt, answer&& received) {
  bool read_at_replica =
      received.from_replica && call_.access == access_class::read;
  if (read_at_replica && (received.outcome == outcome_code::done ||
                          received.outcome == outcome_code::behind)) {
    thread_.observe_read(statement_.group, statement_.database,
                         statement_.required,
                         received.outcome == outcome_code::done);
  }
  if (received.position.term != 0) {
    thread_.observe(statement_.group, statement_.database, received.position);
  }
  attempt_answered e;
  e.id = attempt;
  e.outcome = received.outcome;
  e.reason = received.reason;
  e.position = received.position;
  e.from_replica = received.from_replica;
  e.retry_after = received.retry_after;
  e.may_retry = thread_.budget(statement_.team).may_retry(now());
  step(e, &received);
}

void caller_request::handle_lost_attempt(std::uint64_t attempt, bool sent) {
  bool may_retry = thread_.budget(statement_.team).may_retry(now());
  step(attempt_lost{attempt, sent, may_retry});
}

void caller_request::update_transaction(const answer& received,
                                        call_reply& reply) {
  if (call_.step == statement_step::begin &&
      received.outcome == outcome_code::done) {
    reply.transaction = thread_.add_transaction(
        {caller_, statement_.team, statement_.service, statement_.group,
         statement_.database, pool_, received.transaction, false});
    return;
  }
  if (call_.transaction == 0) return;
  bool stays_open = call_.step == statement_step::inside &&
                    (received.outcome == outcome_code::done ||
                     received.outcome == outcome_code::failed);
  if (!stays_open) return thread_.remove_transaction(call_.transaction);
  auto* transaction = thread_.find_transaction(call_.transaction, *caller_);
  if (transaction != nullptr) transaction->busy = false;
}

void caller_request::end_transaction() {
  if (call_.transaction != 0) thread_.remove_transaction(call_.transaction);
}

void caller_request::handle_timeout() {
  if (finished_) return;
  if (trace_id_.empty()) return refuse(reason_code::deadline);
  step(attempt_timer());
  // If the timer fired early, the step did nothing: start the timer again.
  if (!finished_ && !timer_.isActive()) timer_.start(1);
}

void caller_request::check_key() {
  if (finished_ || key_hash_.empty()) return;
  const auto* team = thread_.view().teams->find_by_key_hash(key_hash_);
  if (team != nullptr && team->id == statement_.team) return;
  if (trace_id_.empty()) return refuse(reason_code::key_refused);
  step(key_withdrawn());
}

void caller_request::hints_changed(const group_id& group) {
  if (finished_ || trace_id_.empty() || sent_id_ != 0) return;
  if (statement_.group != group) return;
  const auto& groups = thread_.view().groups;
  auto it = groups.find(group);
  const auto* hint = thread_.hint(group);
  if (it == groups.end() || hint == nullptr) return;
  step(candidates_changed{thread_.candidates(it->second, required_freshness()),
                          hint->writable, hint->retry_after});
}

// The attempts need no step: the destructor makes the link forget the
// statement, and the entry rolls back all transactions of the caller.
void caller_request::handle_caller_disconnect() { delete this; }

void caller_request::refuse(reason_code reason, std::string message,
                            duration retry_after) {
  call_reply reply;
  reply.outcome = outcome_code::not_run;
  reply.reason = reason;
  reply.message = std::move(message);
  reply.retry_after = retry_after;
  finish(std::move(reply));
}

void caller_request::finish(call_reply&& reply) {
  finished_ = true;
  timer_.stop();
  thread_.metrics().count(reply.outcome, reply.reason, reply.from_replica);
  try {
    reply.session = thread_.tokens().encode(session_);
  } catch (const token_error&) {
    reply.session = call_.session;
  }
  caller_->respond(make_response(reply));
  QMetaObject::invokeMethod(
      &timer_, [this] { delete this; }, Qt::QueuedConnection);
}

}  // namespace toucanmux
