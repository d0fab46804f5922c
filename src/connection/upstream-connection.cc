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

std::string_view sql_state_of(const result_ptr& result) {
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

/// Returns the first failed result, or nullptr. PostgreSQL skips the commands
/// after it up to the next Sync.
const result_ptr* first_error(const std::vector<result_ptr>& results) {
  auto it = std::ranges::find_if_not(results, succeeded);
  return it == results.end() ? nullptr : &*it;
}

query_result to_query_result(const result_ptr& result) {
  query_result out;
  out.ok = succeeded(result);
  out.sql_state = sql_state_of(result);
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
  // The notifier may be the caller, so it must not be deleted here.
  notifier->setEnabled(false);
  notifier->disconnect();
  notifier->deleteLater();
}

upstream_connection::upstream_connection() = default;

upstream_connection::~upstream_connection() { close(); }

void upstream_connection::open(const upstream_target& target,
                               std::function<void(open_result)> done) {
  assert(!connection_ && !closed_);
  on_opened_ = std::move(done);
  auto port = std::to_string(target.port);
  const char* keys[] = {"hostaddr", "port", "application_name",
                        "client_encoding", nullptr};
  const char* values[] = {target.address.c_str(), port.c_str(),
                          target.application_name.c_str(), "UTF8", nullptr};
  connection_ = PQconnectStartParams(keys, values, 0);
  if (!connection_ || PQstatus(connection_) == CONNECTION_BAD) {
    return post([this] { end_open({}); });
  }
  PQsetNoticeReceiver(connection_, handle_notice, this);
  // When opening fails, only a verbose message contains the SQLSTATE.
  PQsetErrorVerbosity(connection_, PQERRORS_VERBOSE);
  write_notifier_.reset(
      new QSocketNotifier(PQsocket(connection_), QSocketNotifier::Write));
  QObject::connect(write_notifier_.get(), &QSocketNotifier::activated,
                   &context_, [this] { poll_open(); });
}

void upstream_connection::poll_open() {
  auto status = PQconnectPoll(connection_);
  // PQconnectPoll may have replaced the socket.
  read_notifier_.reset();
  write_notifier_.reset();
  if (status == PGRES_POLLING_FAILED) return end_open({});
  if (status == PGRES_POLLING_OK) return end_open({true, false, ""});
  bool wants_read = status == PGRES_POLLING_READING;
  auto& active_notifier = wants_read ? read_notifier_ : write_notifier_;
  active_notifier.reset(new QSocketNotifier(
      PQsocket(connection_),
      wants_read ? QSocketNotifier::Read : QSocketNotifier::Write));
  QObject::connect(active_notifier.get(), &QSocketNotifier::activated,
                   &context_, [this] { poll_open(); });
}

void upstream_connection::end_open(open_result result) {
  if (result.ok) {
    PQsetnonblocking(connection_, 1);
    PQenterPipelineMode(connection_);
    open_ = true;
    watch_socket();
  } else {
    result.message = connection_ ? PQerrorMessage(connection_) : "abandoned";
    auto limit_code = " " + std::string(too_many_connections) + ": ";
    result.connection_limit_reached =
        result.message.find(limit_code) != std::string::npos;
    disconnect();
  }
  auto done = std::exchange(on_opened_, nullptr);
  if (done) done(std::move(result));
}

void upstream_connection::watch_socket() {
  int socket = PQsocket(connection_);
  read_notifier_.reset(new QSocketNotifier(socket, QSocketNotifier::Read));
  write_notifier_.reset(new QSocketNotifier(socket, QSocketNotifier::Write));
  write_notifier_->setEnabled(false);
  QObject::connect(read_notifier_.get(), &QSocketNotifier::activated, &context_,
                   [this] { read(); });
  QObject::connect(write_notifier_.get(), &QSocketNotifier::activated,
                   &context_, [this] { flush(); });
}

void upstream_connection::read() {
  bool alive = PQconsumeInput(connection_) == 1;
  if (!collect_results() || !alive) disconnect();
  if (exchange_ && exchange_->next == exchange_->syncs.size()) {
    auto completed = std::move(exchange_);
    return completed->on_complete(completed->received);
  }
  if (!connection_) handle_loss();
}

bool upstream_connection::collect_results() {
  int empty_results = 0;
  while (!PQisBusy(connection_)) {
    if (!exchange_ || exchange_->next == exchange_->syncs.size()) return true;
    result_ptr result(PQgetResult(connection_));
    if (result) {
      empty_results = 0;
      if (!handle_result(std::move(result))) return false;
    } else if (std::exchange(exchange_->has_result, false)) {
      ++exchange_->next;
    } else if (++empty_results > 2) {
      // The server sent fewer results than there were commands.
      return false;
    }
  }
  return true;
}

bool upstream_connection::handle_result(result_ptr result) {
  auto& pending = *exchange_;
  bool at_sync = pending.syncs[pending.next];
  auto status = PQresultStatus(result.get());
  if (status == PGRES_PIPELINE_SYNC) {
    if (at_sync) ++pending.next;
    return at_sync;
  }
  bool is_copy = status == PGRES_COPY_IN || status == PGRES_COPY_OUT ||
                 status == PGRES_COPY_BOTH;
  if (is_copy) return false;
  // An implicit transaction commits at its Sync, so the commit's error arrives
  // there and replaces the last result.
  if (at_sync && pending.received.empty()) return false;
  if (!at_sync && !std::exchange(pending.has_result, true)) {
    pending.received.push_back(std::move(result));
  } else if (!succeeded(result) && succeeded(pending.received.back())) {
    pending.received.back() = std::move(result);
  }
  return true;
}

void upstream_connection::disconnect() {
  read_notifier_.reset();
  write_notifier_.reset();
  open_ = false;
  if (!connection_) return;
  PQfinish(std::exchange(connection_, nullptr));
}

void upstream_connection::handle_loss() {
  disconnect();
  if (on_opened_) return end_open({});
  if (auto lost_exchange = std::move(exchange_))
    return lost_exchange->on_lost(true);
  if (auto on_lost = std::exchange(on_idle_loss_, nullptr)) on_lost();
}

void upstream_connection::abandon() {
  disconnect();
  on_idle_loss_ = nullptr;
  post([this] { handle_loss(); });
}

void upstream_connection::close() {
  closed_ = true;
  on_opened_ = nullptr;
  on_idle_loss_ = nullptr;
  on_done_ = nullptr;
  exchange_.reset();
  disconnect();
}

void upstream_connection::post(std::function<void()> task) {
  QMetaObject::invokeMethod(
      &context_,
      [this, task = std::move(task)] {
        if (!closed_) task();
      },
      Qt::QueuedConnection);
}

void upstream_connection::send(const std::vector<command>& commands,
                               std::function<void(results&)> on_complete,
                               std::function<void(bool)> on_lost) {
  if (!usable()) return on_lost(false);
  exchange_ = std::make_unique<exchange>();
  exchange_->on_complete = std::move(on_complete);
  exchange_->on_lost = std::move(on_lost);
  for (const auto& each : commands) {
    exchange_->syncs.push_back(each.sql.empty());
    if (queue_command(each)) continue;
    disconnect();
    return post([this] { handle_loss(); });
  }
  flush();
}

bool upstream_connection::queue_command(const command& next) {
  if (next.sql.empty()) return PQpipelineSync(connection_) == 1;
  return PQsendQueryParams(connection_, std::string(next.sql).c_str(),
                           static_cast<int>(next.values.size()), nullptr,
                           next.values.data(), nullptr, nullptr, 0) == 1;
}

void upstream_connection::flush() {
  int unsent = PQflush(connection_);
  if (unsent >= 0) return write_notifier_->setEnabled(unsent > 0);
  disconnect();
  post([this] { handle_loss(); });
}

void upstream_connection::query(std::string_view sql,
                                std::function<void(query_result)> done) {
  assert(!busy());
  auto shared_done = std::make_shared<decltype(done)>(std::move(done));
  auto fail = [shared_done](bool) {
    query_result result;
    result.message = "the connection to the database was lost";
    (*shared_done)(std::move(result));
  };
  if (!usable()) return post([fail] { fail(false); });
  send(
      {{sql, {}}, {}},
      [shared_done](results& received) {
        (*shared_done)(to_query_result(received[0]));
      },
      fail);
}

void upstream_connection::run(const statement& request, bool on_replica,
                              std::function<void(answer)> done) {
  assert(!busy());
  statement_ = request;
  on_replica_ = on_replica;
  on_done_ = std::move(done);
  outcomes_table_created_ = standby_wait_cancelled_ = false;
  answer_ = {};
  answer_.id = request.id;
  answer_.transaction = request.transaction;
  if (!check_runnable()) return post([this] { finish(); });
  switch (request.step) {
    case statement_step::single:
      return request.access == access_class::read ? run_read() : run_write();
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

/// Checks the statement before anything is sent, so a failure is `not_run`.
bool upstream_connection::check_runnable() {
  auto step = statement_.step;
  if (step == statement_step::single || step == statement_step::inside) {
    if (auto rejection = rejection_reason(statement_); !rejection.empty()) {
      set_outcome(outcome_code::not_run, reason_code::bad_request, rejection);
      return false;
    }
  }
  if (usable() && PQconsumeInput(connection_) != 1) disconnect();
  if (!usable()) {
    set_outcome(outcome_code::not_run, reason_code::connection_lost);
    return false;
  }
  bool has_transaction = transaction() != PQTRANS_IDLE;
  bool needs_transaction =
      step != statement_step::single && step != statement_step::begin;
  if (has_transaction == needs_transaction) return true;
  set_outcome(outcome_code::not_run, reason_code::transaction_gone);
  return false;
}

PGTransactionStatusType upstream_connection::transaction() const {
  return PQtransactionStatus(connection_);
}

upstream_connection::command upstream_connection::statement_command() const {
  command out{statement_.sql, {}};
  for (const auto& value : statement_.parameters) {
    out.values.push_back(value.null ? nullptr : value.text.c_str());
  }
  return out;
}

void upstream_connection::run_read() {
  if (!on_replica_) return run_primary_read();
  // The position is read first: the statement sees at least that position.
  send(
      {{sql_text::position, {}}, statement_command(), {}},
      [this](results& received) {
        if (!read_position(received[0])) {
          set_error(received[0]);
        } else if (!covers_required()) {
          set_outcome(outcome_code::behind, reason_code::none);
        } else if (succeeded(received[1])) {
          set_result(received[1]);
        } else {
          set_error(received[1]);
        }
        rollback_and_finish();
      },
      loss_handler(outcome_code::not_run));
}

void upstream_connection::run_primary_read() {
  send(
      {{sql_text::begin_read_only, {}},
       {sql_text::position, {}},
       statement_command(),
       {sql_text::commit, {}},
       {}},
      [this](results& received) {
        bool has_position = read_position(received[1]);
        const auto* error = first_error(received);
        if (!has_position) {
          set_error(error ? *error : received[1]);
        } else if (!covers_required()) {
          set_outcome(outcome_code::behind, reason_code::none);
        } else if (error) {
          set_error(*error);
        } else {
          set_result(received[2]);
        }
        rollback_and_finish();
      },
      loss_handler(outcome_code::not_run));
}

void upstream_connection::run_write() {
  if (!statement_.idempotency_key.empty()) return run_recorded_write();
  send(
      {statement_command(), {}, {sql_text::position, {}}, {}},
      [this](results& received) {
        if (succeeded(received[0])) {
          set_result(received[0]);
          confirm_write(received[1]);
        } else {
          set_error(received[0]);
        }
        rollback_and_finish();
      },
      loss_handler(outcome_code::unknown));
}

/// Runs a write with an idempotency key up to the commit, which
/// `record_outcome` sends. Nothing is durable before that commit.
void upstream_connection::run_recorded_write() {
  digest_ = digest_of(statement_);
  send(
      {{sql_text::begin, {}},
       {sql_text::insert_outcome,
        {statement_.team.value.c_str(), statement_.idempotency_key.c_str(),
         digest_.c_str()}},
       statement_command(),
       {}},
      [this](results& received) {
        const auto* error = first_error(received);
        if (!error) return record_outcome(received[2]);
        bool at_insert = error == &received[1];
        if (at_insert && sql_state_of(*error) == unique_violation) {
          return replay_outcome();
        }
        if (at_insert && sql_state_of(*error) == undefined_table &&
            !outcomes_table_created_) {
          return create_outcomes();
        }
        set_error(*error);
        rollback_and_finish();
      },
      loss_handler(outcome_code::not_run));
}

void upstream_connection::record_outcome(const result_ptr& result) {
  set_result(result);
  send(
      {{sql_text::update_outcome,
        {statement_.team.value.c_str(), statement_.idempotency_key.c_str(),
         answer_.result.c_str()}},
       {sql_text::commit, {}},
       {},
       {sql_text::position, {}},
       {}},
      [this](results& received) {
        if (!succeeded(received[0])) {
          set_error(received[0]);
        } else if (succeeded(received[1])) {
          confirm_write(received[2]);
        } else {
          set_error(received[1]);
        }
        rollback_and_finish();
      },
      loss_handler(outcome_code::unknown));
}

void upstream_connection::create_outcomes() {
  outcomes_table_created_ = true;
  send(
      {{sql_text::rollback, {}}, {}, {sql_text::create_outcomes, {}}, {}},
      [this](results& received) {
        if (succeeded(received[1])) return run_recorded_write();
        set_error(received[1]);
        rollback_and_finish();
      },
      loss_handler(outcome_code::not_run));
}

/// Answers a write whose idempotency key is already recorded. A restarted
/// primary may show a write that no standby has, so a heartbeat is sent after
/// the outcome is read: the heartbeat's commit waits until a standby has all
/// writes that were visible. The first request with this key may have run, so
/// no answer here is `not_run`.
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
      [this](results& received) {
        if (first_error(received) || !read_position(received[3])) {
          set_outcome(outcome_code::unknown, reason_code::upstream_error);
        } else if (standby_wait_cancelled_) {
          set_outcome(outcome_code::unknown, reason_code::no_primary);
        } else if (PQntuples(received[1].get()) == 0) {
          set_outcome(outcome_code::unknown, reason_code::key_in_use);
        } else if (value_at(received[1], 0, 0) != digest_) {
          set_outcome(outcome_code::failed, reason_code::bad_request,
                      "the idempotency key was used for another request");
        } else {
          answer_.replayed = true;
          answer_.result = value_at(received[1], 0, 1);
        }
        rollback_and_finish();
      },
      loss_handler(outcome_code::unknown));
}

void upstream_connection::run_begin() {
  send(
      {{sql_text::begin, {}}, {sql_text::position, {}}, {}},
      [this](results& received) {
        if (const auto* error = first_error(received)) {
          set_error(*error);
        } else if (!read_position(received[1]) || answer_.from_replica) {
          set_outcome(outcome_code::not_run, reason_code::no_primary);
        } else if (!covers_required()) {
          set_outcome(outcome_code::behind, reason_code::none);
        } else {
          return finish();
        }
        rollback_and_finish();
      },
      loss_handler(outcome_code::not_run));
}

void upstream_connection::run_inside() {
  send(
      {statement_command(), {}},
      [this](results& received) {
        if (succeeded(received[0])) {
          set_result(received[0]);
        } else {
          set_error(received[0]);
        }
        finish();
      },
      loss_handler(outcome_code::not_run));
}

void upstream_connection::run_commit() {
  send(
      {{sql_text::commit, {}}, {}, {sql_text::position, {}}, {}},
      [this](results& received) {
        if (!succeeded(received[0])) {
          set_error(received[0]);
        } else if (std::string_view(PQcmdStatus(received[0].get())) !=
                   "COMMIT") {
          // PostgreSQL rolls back a failed transaction and reports success,
          // with the tag ROLLBACK.
          answer_.sql_state = transaction_failed;
          set_outcome(outcome_code::failed, reason_code::upstream_error,
                      "the transaction had failed and was rolled back");
        } else {
          set_result(received[0]);
          confirm_write(received[1]);
        }
        rollback_and_finish();
      },
      loss_handler(outcome_code::unknown));
}

void upstream_connection::run_rollback() {
  // Losing the connection rolls the transaction back as well.
  send(
      {{sql_text::rollback, {}}, {}}, [this](results&) { finish(); },
      [this](bool) { finish(); });
}

bool upstream_connection::read_position(const result_ptr& result) {
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
  auto check_actions = position_check({}).step({}, read);
  return std::holds_alternative<answer_fresh>(check_actions.front());
}

void upstream_connection::set_result(const result_ptr& result) {
  answer_.result = to_json(result.get());
}

void upstream_connection::set_error(const result_ptr& error) {
  auto sql_state = sql_state_of(error);
  answer_.sql_state = sql_state;
  answer_.message = error_field(error.get(), PG_DIAG_MESSAGE_PRIMARY);
  bool may_write = statement_.access != access_class::read;
  if (sql_state.empty()) {
    // An error without SQLSTATE comes from libpq and doesn't say what the
    // database did.
    disconnect();
    set_outcome(may_write ? outcome_code::unknown : outcome_code::not_run,
                reason_code::connection_lost);
  } else if (sql_state == too_many_connections) {
    set_outcome(outcome_code::not_run, reason_code::upstream_full);
  } else if (sql_state == read_only_transaction && may_write) {
    set_outcome(outcome_code::not_run, reason_code::no_primary);
  } else {
    set_outcome(outcome_code::failed, reason_code::upstream_error);
  }
}

/// Leaves a write's outcome at `done` only if its log position is known and a
/// standby has acknowledged it; otherwise the outcome becomes `unknown`.
void upstream_connection::confirm_write(const result_ptr& position) {
  if (!read_position(position)) {
    set_outcome(outcome_code::unknown, reason_code::upstream_error,
                "the write's log position could not be read");
  } else if (standby_wait_cancelled_) {
    set_outcome(outcome_code::unknown, reason_code::no_primary,
                "the wait for a standby was cancelled");
  }
}

void upstream_connection::set_outcome(outcome_code new_outcome,
                                      reason_code new_reason,
                                      std::string_view message) {
  answer_.outcome = new_outcome;
  answer_.reason = new_reason;
  if (!message.empty()) answer_.message = message;
  if (new_reason == reason_code::connection_lost) {
    answer_.message = "the connection to the database was lost";
  }
  if (new_outcome != outcome_code::done) answer_.result.clear();
}

/// Rolls back a transaction that the statement left open, then answers.
void upstream_connection::rollback_and_finish() {
  if (!usable() || transaction() == PQTRANS_IDLE) return finish();
  send(
      {{sql_text::rollback, {}}, {}}, [this](results&) { finish(); },
      [this](bool) { finish(); });
}

void upstream_connection::finish() {
  auto done = std::exchange(on_done_, nullptr);
  if (done) done(std::move(answer_));
}

std::function<void(bool)> upstream_connection::loss_handler(
    outcome_code outcome_if_sent) {
  return [this, outcome_if_sent](bool may_have_sent) {
    set_outcome(may_have_sent ? outcome_if_sent : outcome_code::not_run,
                reason_code::connection_lost);
    finish();
  };
}

/// Detects the warning that PostgreSQL sends when the wait for a standby is
/// cancelled: the write is committed, but only on the primary.
void upstream_connection::handle_notice(void* self, const PGresult* result) {
  auto routine = error_field(result, PG_DIAG_SOURCE_FUNCTION);
  if (routine != "SyncRepWaitForLSN") return;
  static_cast<upstream_connection*>(self)->standby_wait_cancelled_ = true;
}

}  // namespace toucanmux
