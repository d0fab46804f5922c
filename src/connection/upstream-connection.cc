#include "connection/upstream-connection.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "connection/statement-rules.h"
#include "toucanmux/connection/upstream-sql.h"
#include "toucanmux/request/position-check.h"

namespace toucanmux {

namespace sql_text = upstream_sql;

namespace {

constexpr std::string_view too_many_connections = "53300";
constexpr std::string_view read_only_transaction = "25006";
constexpr std::string_view unique_violation = "23505";
constexpr std::string_view undefined_table = "42P01";
constexpr std::string_view transaction_failed = "25P02";

std::string_view state_of(const result_ptr& result) {
  return error_field(result.get(), PG_DIAG_SQLSTATE);
}

std::string_view value_at(const result_ptr& result, int row, int column) {
  if (PQgetisnull(result.get(), row, column)) return "";
  return PQgetvalue(result.get(), row, column);
}

std::uint64_t parse_term(std::string_view text) {
  std::uint64_t term = 0;
  std::from_chars(text.data(), text.data() + text.size(), term);
  return term;
}

/// The error that made the commands after it be passed over.
const result_ptr* first_error(const std::vector<result_ptr>& results) {
  auto it = std::ranges::find_if_not(results, succeeded);
  return it == results.end() ? nullptr : &*it;
}

query_result read_query(const result_ptr& result) {
  query_result out;
  out.ok = succeeded(result);
  out.sql_state = state_of(result);
  out.message = error_field(result.get(), PG_DIAG_MESSAGE_PRIMARY);
  for (int row = 0; row < PQntuples(result.get()); ++row) {
    auto& values = out.rows.emplace_back();
    for (int i = 0; i < PQnfields(result.get()); ++i) {
      values.emplace_back(value_at(result, row, i));
    }
  }
  return out;
}

}  // namespace

void upstream_connection::notifier_deleter::operator()(
    QSocketNotifier* notifier) const {
  // It may be the one that calls.
  notifier->setEnabled(false);
  notifier->disconnect();
  notifier->deleteLater();
}

upstream_connection::upstream_connection() = default;

upstream_connection::~upstream_connection() { close(); }

void upstream_connection::open(const upstream_target& target,
                               std::function<void(open_result)> done) {
  assert(!connection_ && !closed_);
  opened_ = std::move(done);
  auto port = std::to_string(target.port);
  const char* keys[] = {"hostaddr", "port", "application_name",
                        "client_encoding", nullptr};
  const char* values[] = {target.address.c_str(), port.c_str(),
                          target.application_name.c_str(), "UTF8", nullptr};
  connection_ = PQconnectStartParams(keys, values, 0);
  if (!connection_ || PQstatus(connection_) == CONNECTION_BAD) {
    return later([this] { end_open({}); });
  }
  PQsetNoticeReceiver(connection_, notice, this);
  // Verbose messages are the only way to see a refusal's SQLSTATE.
  PQsetErrorVerbosity(connection_, PQERRORS_VERBOSE);
  write_.reset(
      new QSocketNotifier(PQsocket(connection_), QSocketNotifier::Write));
  QObject::connect(write_.get(), &QSocketNotifier::activated, &context_,
                   [this] { poll_open(); });
}

void upstream_connection::poll_open() {
  auto status = PQconnectPoll(connection_);
  // The socket may be another one by now.
  read_.reset();
  write_.reset();
  if (status == PGRES_POLLING_FAILED) return end_open({});
  if (status == PGRES_POLLING_OK) return end_open({true, false, ""});
  bool reads = status == PGRES_POLLING_READING;
  auto& to = reads ? read_ : write_;
  to.reset(new QSocketNotifier(
      PQsocket(connection_),
      reads ? QSocketNotifier::Read : QSocketNotifier::Write));
  QObject::connect(to.get(), &QSocketNotifier::activated, &context_,
                   [this] { poll_open(); });
}

void upstream_connection::end_open(open_result result) {
  if (result.ok) {
    PQsetnonblocking(connection_, 1);
    PQenterPipelineMode(connection_);
    open_ = true;
    watch();
  } else {
    result.message = connection_ ? PQerrorMessage(connection_) : "abandoned";
    auto state = " " + std::string(too_many_connections) + ": ";
    result.refused_as_full = result.message.find(state) != std::string::npos;
    drop();
  }
  auto done = std::exchange(opened_, nullptr);
  if (done) done(std::move(result));
}

void upstream_connection::watch() {
  int socket = PQsocket(connection_);
  read_.reset(new QSocketNotifier(socket, QSocketNotifier::Read));
  write_.reset(new QSocketNotifier(socket, QSocketNotifier::Write));
  write_->setEnabled(false);
  QObject::connect(read_.get(), &QSocketNotifier::activated, &context_,
                   [this] { read(); });
  QObject::connect(write_.get(), &QSocketNotifier::activated, &context_,
                   [this] { flush(); });
}

void upstream_connection::read() {
  bool alive = PQconsumeInput(connection_) == 1;
  if (!collect() || !alive) drop();
  if (current_ && current_->next == current_->syncs.size()) {
    auto complete = std::move(current_);
    return complete->then(complete->got);
  }
  if (!connection_) lose();
}

bool upstream_connection::collect() {
  int nothing = 0;
  while (!PQisBusy(connection_)) {
    if (!current_ || current_->next == current_->syncs.size()) return true;
    result_ptr result(PQgetResult(connection_));
    if (result) {
      nothing = 0;
      if (!take(std::move(result))) return false;
    } else if (std::exchange(current_->inside, false)) {
      ++current_->next;
    } else if (++nothing > 2) {
      // The server sent less than was asked for.
      return false;
    }
  }
  return true;
}

bool upstream_connection::take(result_ptr result) {
  auto& now = *current_;
  bool at_sync = now.syncs[now.next];
  auto status = PQresultStatus(result.get());
  if (status == PGRES_PIPELINE_SYNC) {
    if (at_sync) ++now.next;
    return at_sync;
  }
  bool copies = status == PGRES_COPY_IN || status == PGRES_COPY_OUT ||
                status == PGRES_COPY_BOTH;
  if (copies) return false;
  // An implicit transaction commits at its Sync, and may fail there.
  if (at_sync && now.got.empty()) return false;
  if (!at_sync && !std::exchange(now.inside, true)) {
    now.got.push_back(std::move(result));
  } else if (!succeeded(result) && succeeded(now.got.back())) {
    now.got.back() = std::move(result);
  }
  return true;
}

void upstream_connection::drop() {
  read_.reset();
  write_.reset();
  open_ = false;
  if (!connection_) return;
  PQfinish(std::exchange(connection_, nullptr));
}

void upstream_connection::lose() {
  drop();
  if (opened_) return end_open({});
  if (auto lost_one = std::move(current_)) return lost_one->lost(true);
  if (auto lost = std::exchange(idle_lost_, nullptr)) lost();
}

void upstream_connection::abandon() {
  drop();
  idle_lost_ = nullptr;
  later([this] { lose(); });
}

void upstream_connection::close() {
  closed_ = true;
  opened_ = nullptr;
  idle_lost_ = nullptr;
  done_ = nullptr;
  current_.reset();
  drop();
}

void upstream_connection::later(std::function<void()> task) {
  QMetaObject::invokeMethod(
      &context_,
      [this, task = std::move(task)] {
        if (!closed_) task();
      },
      Qt::QueuedConnection);
}

void upstream_connection::send(const std::vector<command>& commands,
                               std::function<void(results&)> then,
                               std::function<void(bool)> lost) {
  if (!usable()) return lost(false);
  current_ = std::make_unique<exchange>();
  current_->then = std::move(then);
  current_->lost = std::move(lost);
  for (const auto& each : commands) {
    current_->syncs.push_back(each.sql.empty());
    if (put(each)) continue;
    drop();
    return later([this] { lose(); });
  }
  flush();
}

bool upstream_connection::put(const command& what) {
  if (what.sql.empty()) return PQpipelineSync(connection_) == 1;
  return PQsendQueryParams(connection_, std::string(what.sql).c_str(),
                           static_cast<int>(what.values.size()), nullptr,
                           what.values.data(), nullptr, nullptr, 0) == 1;
}

void upstream_connection::flush() {
  int left = PQflush(connection_);
  if (left >= 0) return write_->setEnabled(left > 0);
  drop();
  later([this] { lose(); });
}

void upstream_connection::query(std::string_view sql,
                                std::function<void(query_result)> done) {
  assert(!busy());
  auto shared = std::make_shared<decltype(done)>(std::move(done));
  auto lost = [shared](bool) {
    query_result result;
    result.message = "the connection to the database was lost";
    (*shared)(std::move(result));
  };
  if (!usable()) return later([lost] { lost(false); });
  send(
      {{sql, {}}, {}},
      [shared](results& got) { (*shared)(read_query(got[0])); }, lost);
}

void upstream_connection::run(const statement& what, bool on_replica,
                              std::function<void(answer)> done) {
  assert(!busy());
  statement_ = what;
  on_replica_ = on_replica;
  done_ = std::move(done);
  created_ = not_replicated_ = false;
  answer_ = {};
  answer_.id = what.id;
  answer_.transaction = what.transaction;
  if (!may_start()) return later([this] { finish(); });
  switch (what.step) {
    case statement_step::single:
      return what.access == access_class::read ? run_read() : run_write();
    case statement_step::begin:
      return run_begin();
    case statement_step::inside:
      return run_inside();
    case statement_step::commit:
      return run_commit();
    case statement_step::rollback:
      return run_rollback();
  }
}

/// Whatever is found here is found before anything was sent.
bool upstream_connection::may_start() {
  auto step = statement_.step;
  if (step == statement_step::single || step == statement_step::inside) {
    if (auto objection = objection_to(statement_); !objection.empty()) {
      set(outcome_code::not_run, reason_code::bad_request, objection);
      return false;
    }
  }
  if (usable() && PQconsumeInput(connection_) != 1) drop();
  if (!usable()) {
    set(outcome_code::not_run, reason_code::connection_lost);
    return false;
  }
  bool has_transaction = transaction() != PQTRANS_IDLE;
  bool needs_transaction =
      step != statement_step::single && step != statement_step::begin;
  if (has_transaction == needs_transaction) return true;
  set(outcome_code::not_run, reason_code::transaction_gone);
  return false;
}

PGTransactionStatusType upstream_connection::transaction() const {
  return PQtransactionStatus(connection_);
}

upstream_connection::command upstream_connection::caller_statement() const {
  command out{statement_.sql, {}};
  for (const auto& value : statement_.parameters) {
    out.values.push_back(value.null ? nullptr : value.text.c_str());
  }
  return out;
}

void upstream_connection::run_read() {
  if (!on_replica_) return run_primary_read();
  // The statement sees at least what the position before it says.
  send(
      {{sql_text::position, {}}, caller_statement(), {}},
      [this](results& got) {
        if (!take_position(got[0])) {
          refuse(got[0]);
        } else if (!covers_required()) {
          set(outcome_code::behind, reason_code::none);
        } else if (succeeded(got[1])) {
          accept(got[1]);
        } else {
          refuse(got[1]);
        }
        settle();
      },
      lost_as(outcome_code::not_run));
}

void upstream_connection::run_primary_read() {
  send(
      {{sql_text::begin_read_only, {}},
       {sql_text::position, {}},
       caller_statement(),
       {sql_text::commit, {}},
       {}},
      [this](results& got) {
        bool positioned = take_position(got[1]);
        const auto* error = first_error(got);
        if (!positioned) {
          refuse(error ? *error : got[1]);
        } else if (!covers_required()) {
          set(outcome_code::behind, reason_code::none);
        } else if (error) {
          refuse(*error);
        } else {
          accept(got[2]);
        }
        settle();
      },
      lost_as(outcome_code::not_run));
}

void upstream_connection::run_write() {
  if (!statement_.idempotency_key.empty()) return run_recorded_write();
  send(
      {caller_statement(), {}, {sql_text::position, {}}, {}},
      [this](results& got) {
        if (succeeded(got[0])) {
          accept(got[0]);
          acknowledge(got[1]);
        } else {
          refuse(got[0]);
        }
        settle();
      },
      lost_as(outcome_code::unknown));
}

/// Nothing is kept before the commit, which `record_outcome` sends.
void upstream_connection::run_recorded_write() {
  digest_ = digest_of(statement_);
  send(
      {{sql_text::begin, {}},
       {sql_text::insert_outcome,
        {statement_.team.value.c_str(), statement_.idempotency_key.c_str(),
         digest_.c_str()}},
       caller_statement(),
       {}},
      [this](results& got) {
        const auto* error = first_error(got);
        if (!error) return record_outcome(got[2]);
        bool at_insert = error == &got[1];
        if (at_insert && state_of(*error) == unique_violation) {
          return replay_outcome();
        }
        if (at_insert && state_of(*error) == undefined_table && !created_) {
          return create_outcomes();
        }
        refuse(*error);
        settle();
      },
      lost_as(outcome_code::not_run));
}

void upstream_connection::record_outcome(const result_ptr& result) {
  accept(result);
  send(
      {{sql_text::update_outcome,
        {statement_.team.value.c_str(), statement_.idempotency_key.c_str(),
         answer_.result.c_str()}},
       {sql_text::commit, {}},
       {},
       {sql_text::position, {}},
       {}},
      [this](results& got) {
        if (!succeeded(got[0])) {
          refuse(got[0]);
        } else if (succeeded(got[1])) {
          acknowledge(got[2]);
        } else {
          refuse(got[1]);
        }
        settle();
      },
      lost_as(outcome_code::unknown));
}

void upstream_connection::create_outcomes() {
  created_ = true;
  send(
      {{sql_text::rollback, {}}, {}, {sql_text::create_outcomes, {}}, {}},
      [this](results& got) {
        if (succeeded(got[1])) return run_recorded_write();
        refuse(got[1]);
        settle();
      },
      lost_as(outcome_code::not_run));
}

/// A primary that came back may show a write that no standby has: the
/// heartbeat's commit waits until one has all that is shown after it. Until
/// then the first request with this key may have run, so nothing here is
/// called not run.
void upstream_connection::replay_outcome() {
  send(
      {{sql_text::rollback, {}},
       {},
       {sql_text::select_outcome,
        {statement_.team.value.c_str(), statement_.idempotency_key.c_str()}},
       {},
       {sql_text::heartbeat, {}},
       {},
       {sql_text::position, {}},
       {}},
      [this](results& got) {
        if (first_error(got) || !take_position(got[3])) {
          set(outcome_code::unknown, reason_code::upstream_error);
        } else if (not_replicated_) {
          set(outcome_code::unknown, reason_code::no_primary);
        } else if (PQntuples(got[1].get()) == 0) {
          set(outcome_code::unknown, reason_code::key_in_use);
        } else if (value_at(got[1], 0, 0) != digest_) {
          set(outcome_code::failed, reason_code::bad_request,
              "the idempotency key was used for another request");
        } else {
          answer_.replayed = true;
          answer_.result = value_at(got[1], 0, 1);
        }
        settle();
      },
      lost_as(outcome_code::unknown));
}

void upstream_connection::run_begin() {
  send(
      {{sql_text::begin, {}}, {sql_text::position, {}}, {}},
      [this](results& got) {
        if (const auto* error = first_error(got)) {
          refuse(*error);
        } else if (!take_position(got[1]) || answer_.from_replica) {
          set(outcome_code::not_run, reason_code::no_primary);
        } else if (!covers_required()) {
          set(outcome_code::behind, reason_code::none);
        } else {
          return finish();
        }
        settle();
      },
      lost_as(outcome_code::not_run));
}

void upstream_connection::run_inside() {
  send(
      {caller_statement(), {}},
      [this](results& got) {
        if (succeeded(got[0])) {
          accept(got[0]);
        } else {
          refuse(got[0]);
        }
        finish();
      },
      lost_as(outcome_code::not_run));
}

void upstream_connection::run_commit() {
  send(
      {{sql_text::commit, {}}, {}, {sql_text::position, {}}, {}},
      [this](results& got) {
        if (!succeeded(got[0])) {
          refuse(got[0]);
        } else if (std::string_view(PQcmdStatus(got[0].get())) != "COMMIT") {
          // PostgreSQL rolls a failed transaction back and reports success.
          answer_.sql_state = transaction_failed;
          set(outcome_code::failed, reason_code::upstream_error,
              "the transaction had failed and was rolled back");
        } else {
          accept(got[0]);
          acknowledge(got[1]);
        }
        settle();
      },
      lost_as(outcome_code::unknown));
}

void upstream_connection::run_rollback() {
  // A lost connection rolls back as well.
  send(
      {{sql_text::rollback, {}}, {}}, [this](results&) { finish(); },
      [this](bool) { finish(); });
}

bool upstream_connection::take_position(const result_ptr& result) {
  if (!succeeded(result) || PQntuples(result.get()) != 1) return false;
  answer_.from_replica = value_at(result, 0, 0) == "t";
  try {
    answer_.position.lsn = sql_text::parse_lsn(value_at(result, 0, 1));
  } catch (const protocol_error&) {
    return false;
  }
  answer_.position.term = parse_term(value_at(result, 0, 2));
  return true;
}

bool upstream_connection::covers_required() const {
  position_read read;
  read.required = statement_.required;
  read.position = answer_.position;
  read.replica = answer_.from_replica;
  auto verdict = position_check({}).step({}, read);
  return std::holds_alternative<answer_fresh>(verdict.front());
}

void upstream_connection::accept(const result_ptr& result) {
  answer_.result = to_json(result.get());
}

void upstream_connection::refuse(const result_ptr& error) {
  auto state = state_of(error);
  answer_.sql_state = state;
  answer_.message = error_field(error.get(), PG_DIAG_MESSAGE_PRIMARY);
  bool writes = statement_.access != access_class::read;
  if (state.empty()) {
    // It is libpq's own, and says nothing of what the database did.
    drop();
    set(writes ? outcome_code::unknown : outcome_code::not_run,
        reason_code::connection_lost);
  } else if (state == too_many_connections) {
    set(outcome_code::not_run, reason_code::upstream_full);
  } else if (state == read_only_transaction && writes) {
    set(outcome_code::not_run, reason_code::no_primary);
  } else {
    set(outcome_code::failed, reason_code::upstream_error);
  }
}

/// Says that a write is kept, if its position and its standby are sure.
void upstream_connection::acknowledge(const result_ptr& position) {
  if (!take_position(position)) {
    set(outcome_code::unknown, reason_code::upstream_error,
        "the write's log position could not be read");
  } else if (not_replicated_) {
    set(outcome_code::unknown, reason_code::no_primary,
        "the wait for a standby was cancelled");
  }
}

void upstream_connection::set(outcome_code how, reason_code why,
                              std::string_view message) {
  answer_.outcome = how;
  answer_.reason = why;
  if (!message.empty()) answer_.message = message;
  if (why == reason_code::connection_lost) {
    answer_.message = "the connection to the database was lost";
  }
  if (how != outcome_code::done) answer_.result.clear();
}

/// Rolls back what a failed statement left open, then answers.
void upstream_connection::settle() {
  if (!usable() || transaction() == PQTRANS_IDLE) return finish();
  send(
      {{sql_text::rollback, {}}, {}}, [this](results&) { finish(); },
      [this](bool) { finish(); });
}

void upstream_connection::finish() {
  auto done = std::exchange(done_, nullptr);
  if (done) done(std::move(answer_));
}

std::function<void(bool)> upstream_connection::lost_as(outcome_code how) {
  return [this, how](bool handed) {
    set(handed ? how : outcome_code::not_run, reason_code::connection_lost);
    finish();
  };
}

/// PostgreSQL commits without a standby if someone cancels the wait, and
/// warns.
void upstream_connection::notice(void* self, const PGresult* result) {
  auto routine = error_field(result, PG_DIAG_SOURCE_FUNCTION);
  if (routine != "SyncRepWaitForLSN") return;
  static_cast<upstream_connection*>(self)->not_replicated_ = true;
}

}  // namespace toucanmux
