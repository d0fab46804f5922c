#include "standin/database-server.h"

#include <QHostAddress>
#include <algorithm>
#include <future>

#include "toucanmux/connection/upstream-sql.h"

namespace toucanmux::standin {

namespace sql_text = upstream_sql;

namespace {

constexpr std::uint64_t first_lsn = 0x1000000;
constexpr std::uint64_t record_bytes = 48;

sql_result one_row(std::vector<parameter> values) {
  sql_result out;
  for (std::size_t i = 0; i < values.size(); ++i) {
    out.columns.push_back({"column" + std::to_string(i + 1)});
  }
  out.rows.push_back(std::move(values));
  out.tag = "SELECT 1";
  return out;
}

sql_result result_with_tag(std::string_view tag) {
  sql_result out;
  out.tag = tag;
  return out;
}

parameter text(std::string_view value) { return {false, std::string(value)}; }

parameter number(std::uint64_t value) { return text(std::to_string(value)); }

std::uint64_t size_of(const std::vector<logged_statement>& statements) {
  std::uint64_t size = record_bytes;
  for (const auto& statement : statements) {
    size += statement.sql.size();
    for (const auto& value : statement.values) size += value.text.size() + 4;
  }
  return (size + 7) / 8 * 8;
}

bool is_read_only_begin(std::string_view sql) {
  std::string lower(sql);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower.find("read only") != lower.npos;
}

}  // namespace

database_server::database_server(const database& description,
                                 const database_settings& settings)
    : receive_lag_ms(settings.receive_lag_ms),
      replay_lag_ms(settings.replay_lag_ms),
      service_time_us(settings.service_time_us),
      description_(description),
      first_term_(settings.group.term),
      connect_delay_ms_(settings.connect_delay_ms),
      head_(std::make_unique<sqlite>()),
      visible_(std::make_unique<sqlite>()),
      primary_(settings.group.primary == description.id),
      acknowledged_(first_lsn) {
  for (const auto& other : settings.group.databases) {
    if (primary_ || other.id != settings.group.primary) continue;
    set_conninfo(
        sql_text::follow(other.address, other.port, description.id.value));
    conninfo_ = next_conninfo_;
  }
}

database_server::~database_server() { stop(); }

void database_server::stop() {
  if (!thread_.isRunning()) return;
  run_on_thread([this] {
    kill();
    timer_.reset();
    listener_.reset();
    moveToThread(nullptr);
  });
  thread_.quit();
  thread_.wait();
}

void database_server::start(const std::vector<database_server*>& peers) {
  peers_ = peers;
  moveToThread(&thread_);
  thread_.start();
  run_on_thread([this] {
    timer_ = std::make_unique<micro_timer>();
    listener_ = std::make_unique<QTcpServer>();
    listener_->setListenBacklogSize(1000);
    connect(listener_.get(), &QTcpServer::newConnection, this, [this] {
      while (auto* socket = listener_->nextPendingConnection()) {
        sessions_[new database_session(*this, socket)] = false;
      }
    });
    listen();
  });
}

void database_server::listen() {
  QHostAddress address(QString::fromStdString(description_.address));
  if (!listener_->listen(address, description_.port)) {
    throw error("database " + description_.id.value + " can't listen on port " +
                std::to_string(description_.port) + ": " +
                listener_->errorString().toStdString());
  }
  alive_ = true;
}

void database_server::run_on_thread(const std::function<void()>& task) {
  std::packaged_task<void()> packaged(task);
  {
    std::lock_guard lock(mutex_);
    tasks_.emplace_back([&packaged] { packaged(); });
  }
  wake_.notify_all();
  QMetaObject::invokeMethod(
      this, [this] { run_tasks(); }, Qt::QueuedConnection);
  packaged.get_future().get();
}

/// Blocks the thread while the database is frozen, as a stopped process would
/// be: input waits in the sockets and in the event queue.
void database_server::run_tasks() {
  std::unique_lock lock(mutex_);
  while (frozen_ || !tasks_.empty()) {
    wake_.wait(lock, [this] { return !tasks_.empty(); });
    auto task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

void database_server::kill() {
  alive_ = false;
  frozen_ = false;
  listener_->close();
  log_streams_.clear();
  ++epoch_;
  drop_sessions();
  // After a restart the database shows its whole log, including records that no
  // standby received.
  if (primary_) acknowledge_to(log_end());
}

void database_server::restart() {
  if (!alive_) listen();
}

void database_server::partition(bool callers) {
  partitioned_ = true;
  callers_partitioned_ = callers;
}

void database_server::end_partition() {
  partitioned_ = false;
  if (!std::exchange(callers_partitioned_, false)) return;
  auto sessions = sessions_;
  for (auto [session, counted] : sessions) session->process_messages();
}

void database_server::drop_sessions(const database_session* except) {
  auto sessions = sessions_;
  for (auto [session, counted] : sessions) {
    if (session != except) session->abort();
  }
}

void database_server::terminate_sessions() {
  auto sessions = sessions_;
  for (auto [session, counted] : sessions) session->terminate();
}

void database_server::cancel_waits() {
  for (auto& session : acknowledgement_waiters_) session.warn_not_replicated();
  acknowledge_to(log_end());
}

nlohmann::json database_server::state() const {
  return {{"id", description_.id.value},
          {"port", description_.port},
          {"alive", alive_.load()},
          {"frozen", frozen_},
          {"cut", partitioned_.load()},
          {"primary", primary_},
          {"term", term()},
          {"lsn", log_end()},
          {"visible", replayed()},
          {"acknowledged", acknowledged_},
          {"fence", sql_text::fence_term(conninfo_)},
          {"connections", sessions_.size()},
          {"refused", refused_connections_},
          {"running", running_},
          {"queued", slot_waiters_.size()},
          {"attached", log_streams_.size()},
          {"waiting", acknowledgement_waiters_.size()},
          {"statements", statement_count_}};
}

bool database_server::is_partitioned_from(const database_server& other) const {
  return partitioned_ || other.partitioned_;
}

/// Runs `task` on the other database's thread. The task is lost, as on a broken
/// connection, if by then one of the two is partitioned or the other one is
/// dead.
template <class Task>
void database_server::send(database_server& to, Task task) {
  if (is_partitioned_from(to)) return;
  QMetaObject::invokeMethod(
      &to,
      [this, &to, task = std::move(task)] {
        if (!is_partitioned_from(to) && to.alive_) task(to);
      },
      Qt::QueuedConnection);
}

bool database_server::admit_session(database_session& session) {
  auto limit = description_.connection_limit;
  auto admitted = std::ranges::count_if(
      sessions_, [](const auto& entry) { return entry.second; });
  if (admitted >= limit) {
    ++refused_connections_;
    return false;
  }
  sessions_[&session] = true;
  QPointer<database_session> guard(&session);
  timer_->after(std::chrono::milliseconds(connect_delay_ms_), [guard] {
    if (guard) guard->complete_startup();
  });
  return true;
}

bool database_server::execute(database_session& session, const std::string& sql,
                              std::span<const parameter> values,
                              sql_result& out) {
  auto& tx = session.transaction;
  auto word = first_word(sql);
  if (word == "ROLLBACK" || (tx.failed && word == "COMMIT")) {
    roll_back_head(session);
    tx.open = tx.failed = tx.read_only = false;
    out = result_with_tag("ROLLBACK");
    return true;
  }
  if (tx.failed) {
    throw sql_error("25P02",
                    "current transaction is aborted, commands ignored until "
                    "end of transaction block");
  }
  if (word == "COMMIT") {
    out = result_with_tag("COMMIT");
    return commit(session);
  }
  if (word == "BEGIN") {
    tx.open = true;
    tx.read_only = is_read_only_begin(sql);
    out = result_with_tag("BEGIN");
    return true;
  }
  bool waits = false;
  if (control_statement(session, sql, out, waits)) return !waits;
  return run(session, sql, values, out);
}

bool database_server::control_statement(database_session& session,
                                        const std::string& sql, sql_result& out,
                                        bool& waits) {
  if (sql == sql_text::position) {
    auto lsn = primary_ ? log_end() : replayed();
    out = one_row({text(primary_ ? "f" : "t"), text(sql_text::format_lsn(lsn)),
                   number(term())});
    return true;
  }
  if (sql.find("pg_") == sql.npos && !sql.starts_with("alter system")) {
    return false;
  }
  auto& tx = session.transaction;
  if (sql == sql_text::heartbeat) {
    if (!primary_) throw sql_error("55000", "recovery is in progress");
    if (!tx.committing) append({});
    if (!tx.committing) tx.required_lsn = log_end();
    tx.committing = true;
    waits = !acknowledged(session);
    if (!waits) tx.committing = false;
    out = one_row({text(sql_text::format_lsn(log_end()))});
  } else if (sql == sql_text::replicas) {
    out = one_row({{}, {}});
    out.rows.clear();
    for (const auto& [replica, progress] : log_streams_) {
      out.rows.push_back({text(replica->description_.id.value),
                          text(sql_text::format_lsn(progress.flushed))});
    }
    out.tag = "SELECT " + std::to_string(out.rows.size());
  } else if (sql == sql_text::receiver_state) {
    // A WAL receiver stops immediately when its primary's process ends.
    auto* from = upstream();
    bool fenced = sql_text::fence_term(conninfo_) > 0;
    bool receives = !primary_ && !fenced && from != nullptr && from->alive_;
    out = one_row({text(sql_text::format_lsn(log_end())), number(term()),
                   text(conninfo_), number(receives ? 1 : 0)});
  } else if (sql.starts_with("alter system")) {
    if (tx.open) {
      throw sql_error("25001",
                      "ALTER SYSTEM cannot run inside a transaction block");
    }
    set_conninfo(sql);
    out = result_with_tag("ALTER SYSTEM");
  } else if (sql == sql_text::reload_config) {
    reload(session);
    out = one_row({text("t")});
  } else if (sql == sql_text::promote) {
    if (primary_) throw sql_error("55000", "recovery is not in progress");
    promote();
    out = one_row({text("t")});
  } else {
    return false;
  }
  return true;
}

void database_server::set_conninfo(std::string_view sql) {
  if (!sql.starts_with(sql_text::set_conninfo)) return;
  sql.remove_prefix(sql_text::set_conninfo.size() + 1);
  sql.remove_suffix(1);
  next_conninfo_ = sql;
}

void database_server::reload(const database_session& session) {
  if (conninfo_ == next_conninfo_) return;
  conninfo_ = next_conninfo_;
  ++epoch_;
  if (sql_text::fence_term(conninfo_) > 0) return;
  if (std::exchange(primary_, false)) {
    drop_sessions(&session);
    log_streams_.clear();
    head_ = std::make_unique<sqlite>();
  }
  reattach();
}

bool database_server::run(database_session& session, const std::string& sql,
                          std::span<const parameter> values, sql_result& out) {
  auto& tx = session.transaction;
  bool reads = (tx.is_writer ? head_ : visible_)->reads_only(sql);
  if (!reads && (!primary_ || tx.read_only)) {
    throw sql_error("25006", "cannot execute " + first_word(sql) +
                                 " in a read-only transaction");
  }
  if (!reads && writer_ != &session) {
    bool another_is_first = !writers_.empty() && &writers_.front() != &session;
    if (writer_ || another_is_first) return wait(writers_, session);
  }
  if (!occupy_slot(session)) return false;
  if (!reads && writer_ && writer_ != &session) return wait(writers_, session);
  session.session_hook::unlink();
  session.service_done = false;
  ++statement_count_;
  if (!reads && !tx.is_writer) {
    head_->run("begin", {});
    tx.is_writer = true;
    tx.required_lsn = log_end();
    writer_ = &session;
  }
  out = (tx.is_writer ? head_ : visible_)->run(sql, values);
  if (!reads) tx.statements.push_back({sql, {values.begin(), values.end()}});
  return true;
}

/// Occupies a slot for the service time.
bool database_server::occupy_slot(database_session& session) {
  if (service_time_us == 0 || session.service_done) return true;
  if (session.occupies_slot) return false;
  if (running_ >= description_.slots) return wait(slot_waiters_, session);
  session.session_hook::unlink();
  ++running_;
  session.occupies_slot = true;
  QPointer<database_session> guard(&session);
  timer_->after(std::chrono::microseconds(service_time_us), [this, guard] {
    --running_;
    wake_front(slot_waiters_);
    if (!guard) return;
    guard->occupies_slot = false;
    guard->service_done = true;
    guard->process_messages();
  });
  return false;
}

bool database_server::wait(waiters& list, database_session& session) {
  if (session.is_linked()) return false;
  list.push_back(session);
  return false;
}

/// Wakes the first waiter through the event queue, so that sessions don't call
/// each other recursively.
void database_server::wake_front(waiters& list) {
  if (list.empty()) return;
  QMetaObject::invokeMethod(
      this,
      [&list] {
        if (!list.empty()) list.front().process_messages();
      },
      Qt::QueuedConnection);
}

bool database_server::commit(database_session& session) {
  auto& tx = session.transaction;
  if (!std::exchange(tx.committing, true)) commit_head(session);
  if (!acknowledged(session)) return false;
  tx.committing = tx.open = tx.read_only = false;
  return true;
}

void database_server::commit_head(database_session& session) {
  auto& tx = session.transaction;
  if (!tx.is_writer) return;
  head_->run("commit", {});
  append(std::exchange(tx.statements, {}));
  tx.is_writer = false;
  tx.required_lsn = log_end();
  release_writer();
}

void database_server::roll_back_head(database_session& session) {
  auto& tx = session.transaction;
  tx.committing = false;
  if (!std::exchange(tx.is_writer, false)) return;
  tx.statements.clear();
  try {
    head_->run("rollback", {});
  } catch (const sql_error&) {
    // The error that failed the transaction has already rolled it back.
  }
  release_writer();
}

void database_server::release_writer() {
  writer_ = nullptr;
  wake_front(writers_);
}

bool database_server::acknowledged(database_session& session) {
  auto& tx = session.transaction;
  if (!primary_ || tx.required_lsn <= acknowledged_) {
    session.session_hook::unlink();
    return true;
  }
  return wait(acknowledgement_waiters_, session);
}

bool database_server::synchronize(database_session& session) {
  if (!session.transaction.open) commit_head(session);
  if (!acknowledged(session)) return false;
  if (!writer_) wake_front(writers_);
  return true;
}

void database_server::fail(database_session& session) {
  session.session_hook::unlink();
  roll_back_head(session);
  session.transaction.failed = session.transaction.open;
}

void database_server::remove_session(database_session& session) {
  sessions_.erase(&session);
  session.session_hook::unlink();
  roll_back_head(session);
  if (!writer_) wake_front(writers_);
  wake_front(slot_waiters_);
}

std::uint64_t database_server::log_end() const {
  return log_.empty() ? first_lsn : log_.back()->lsn;
}

std::uint64_t database_server::term() const {
  return log_.empty() ? first_term_ : log_.back()->term;
}

std::uint64_t database_server::replayed() const {
  return replayed_ == 0 ? first_lsn : log_[replayed_ - 1]->lsn;
}

void database_server::append(std::vector<logged_statement> statements) {
  auto lsn = log_end() + size_of(statements);
  log_.push_back(std::make_shared<log_record>(
      log_record{term(), log_end(), lsn, std::move(statements)}));
  if (std::exchange(streaming_, true)) return;
  QMetaObject::invokeMethod(
      this, [this] { stream(); }, Qt::QueuedConnection);
}

void database_server::acknowledge_to(std::uint64_t lsn) {
  if (lsn <= acknowledged_) return;
  acknowledged_ = lsn;
  replay_to(lsn);
  waiters woken;
  woken.swap(acknowledgement_waiters_);
  while (!woken.empty()) {
    auto& session = woken.front();
    woken.pop_front();
    session.process_messages();
  }
}

void database_server::replay_to(std::uint64_t lsn) {
  for (; replayed_ < log_.size(); ++replayed_) {
    const auto& record = *log_[replayed_];
    if (record.lsn > lsn) return;
    if (record.statements.empty()) continue;
    visible_->run("begin", {});
    for (const auto& [sql, values] : record.statements) {
      visible_->run(sql, values);
    }
    visible_->run("commit", {});
  }
}

void database_server::promote() {
  ++epoch_;
  replay_to(log_end());
  head_ = std::make_unique<sqlite>();
  head_->copy_from(*visible_);
  primary_ = true;
  log_.push_back(std::make_shared<log_record>(
      log_record{term() + 1, log_end(), log_end() + record_bytes, {}}));
  replayed_ = log_.size();
  acknowledged_ = log_end();
  for (auto* peer : peers_) {
    if (peer == this) continue;
    send(*peer, [](database_server& to) { to.reattach(); });
  }
}

database_server* database_server::upstream() const {
  for (auto* peer : peers_) {
    const auto& description = peer->description_;
    if (conninfo_.find(" port=" + std::to_string(description.port) + " ") !=
            conninfo_.npos &&
        conninfo_.starts_with("host=" + description.address + " ")) {
      return peer;
    }
  }
  return nullptr;
}

void database_server::reattach() {
  auto* primary = upstream();
  if (!alive_ || primary_ || !primary || primary == this) return;
  ++epoch_;
  auto tail = log_.empty() ? nullptr : log_.back();
  send(*primary, [this, epoch = epoch_, tail](database_server& to) {
    to.attach(*this, epoch, tail);
  });
}

void database_server::attach(database_server& replica, std::uint64_t epoch,
                             const log_record_ptr& tail) {
  if (!primary_) return;
  std::size_t already_sent = 0;
  if (tail) {
    auto found =
        std::ranges::lower_bound(log_, tail->lsn, {}, &log_record::lsn);
    if (found == log_.end() || *found != tail) {
      send(replica, [epoch](database_server& to) { to.rewind(epoch); });
      return;
    }
    already_sent = static_cast<std::size_t>(found - log_.begin()) + 1;
  }
  auto flushed = tail ? tail->lsn : first_lsn;
  log_streams_[&replica] = {epoch, already_sent, flushed};
  acknowledge_to(flushed);
  stream();
}

void database_server::stream() {
  streaming_ = false;
  for (auto& [replica, progress] : log_streams_) {
    if (progress.sent == log_.size()) continue;
    auto unsent = std::span(log_).subspan(progress.sent);
    std::vector<log_record_ptr> records(unsent.begin(), unsent.end());
    progress.sent = log_.size();
    send(*replica, [this, epoch = progress.epoch,
                    records](database_server& to) {
      if (to.receive_lag_ms == 0) return to.receive(epoch, records);
      to.timer_->after(std::chrono::milliseconds(to.receive_lag_ms),
                       [&to, epoch, records] { to.receive(epoch, records); });
    });
  }
}

void database_server::receive(std::uint64_t epoch,
                              const std::vector<log_record_ptr>& records) {
  if (!alive_ || epoch != epoch_) return;
  for (const auto& record : records) {
    if (record->lsn <= log_end()) continue;
    if (record->previous != log_end()) return reattach();
    log_.push_back(record);
  }
  auto* primary = upstream();
  if (!primary) return;
  auto lsn = log_end();
  send(*primary, [this, epoch, lsn](database_server& to) {
    auto it = to.log_streams_.find(this);
    if (it == to.log_streams_.end() || it->second.epoch != epoch) return;
    it->second.flushed = lsn;
    to.acknowledge_to(lsn);
  });
  if (replay_lag_ms == 0) return replay_to(lsn);
  timer_->after(std::chrono::milliseconds(replay_lag_ms),
                [this, lsn] { replay_to(std::min(lsn, log_end())); });
}

void database_server::rewind(std::uint64_t epoch) {
  if (epoch != epoch_) return;
  log_.clear();
  replayed_ = 0;
  visible_ = std::make_unique<sqlite>();
  reattach();
}

}  // namespace toucanmux::standin
