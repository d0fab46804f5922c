#pragma once

#include <QObject>
#include <QPointer>
#include <QTcpServer>
#include <QThread>
#include <atomic>
#include <boost/intrusive/list.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "standin/database-session.h"
#include "standin/database-settings.h"
#include "standin/log-record.h"
#include "standin/micro-timer.h"
#include "standin/sqlite.h"

namespace toucanmux::standin {

/// One database of a group, on a thread of its own. A primary executes writes
/// on `head_` and shows `visible_`, which contains a write once a standby has
/// received it; a replica shows what it has replayed.
///
/// Differs from PostgreSQL to keep the stand-in simple: statements are
/// replicated as text, one transaction writes at a time, a former primary that
/// gets a follow command rewinds itself, and cascading replication is not
/// supported.
class database_server : public QObject {
 public:
  database_server(const database& description,
                  const database_settings& settings);
  ~database_server() override;
  Q_DISABLE_COPY_MOVE(database_server)

  /// These may be called by any thread.
  const database& description() const { return description_; }
  void start(const std::vector<database_server*>& peers);
  /// Ends the thread. Peers may still send messages to the database; they are
  /// dropped.
  void stop();
  /// Runs `task` on the database's thread and waits for it, also while the
  /// database is frozen.
  void run_on_thread(const std::function<void()>& task);

  /// Faults; to be called through `run_on_thread`.
  void freeze() { frozen_ = true; }
  void thaw() { frozen_ = false; }
  void kill();
  void restart();
  void partition(bool callers);
  void end_partition();
  /// Closes the callers' connections without a message, except that of
  /// `except`.
  void drop_sessions(const database_session* except = nullptr);
  void terminate_sessions();
  /// Ends the commits that wait for a standby, as pg_cancel_backend does.
  void cancel_waits();
  nlohmann::json state() const;
  sql_result dump(std::string_view sql) { return visible_->run(sql, {}); }
  /// Requests the log from the primary, starting at the end of its own.
  void reattach();

  std::uint32_t receive_lag_ms;
  std::uint32_t replay_lag_ms;
  std::uint32_t service_time_us;

  /// Called by sessions. Functions that return a bool return false if the
  /// session has to wait and call again.
  bool admit_session(database_session& session);
  bool execute(database_session& session, const std::string& sql,
               std::span<const parameter> values, sql_result& out);
  bool synchronize(database_session& session);
  void fail(database_session& session);
  void remove_session(database_session& session);
  bool callers_partitioned() const { return callers_partitioned_; }

 private:
  using waiters =
      boost::intrusive::list<database_session,
                             boost::intrusive::constant_time_size<false>>;
  struct log_stream {
    /// The replica's epoch; messages of another epoch are outdated.
    std::uint64_t epoch = 0;
    std::size_t sent = 0;  ///< Number of records sent.
    std::uint64_t flushed = 0;
  };

  void run_tasks();
  void listen();
  template <class Task>
  void send(database_server& to, Task task);
  bool is_partitioned_from(const database_server& other) const;

  bool control_statement(database_session& session, const std::string& sql,
                         sql_result& out, bool& waits);
  void set_conninfo(std::string_view sql);
  void reload(const database_session& session);
  bool run(database_session& session, const std::string& sql,
           std::span<const parameter> values, sql_result& out);
  bool occupy_slot(database_session& session);
  bool commit(database_session& session);
  void commit_head(database_session& session);
  void roll_back_head(database_session& session);
  void release_writer();
  bool acknowledged(database_session& session);
  static bool wait(waiters& list, database_session& session);
  void wake_front(waiters& list);

  void append(std::vector<logged_statement> statements);
  void acknowledge_to(std::uint64_t lsn);
  void replay_to(std::uint64_t lsn);
  void promote();
  void attach(database_server& replica, std::uint64_t epoch,
              const log_record_ptr& tail);
  void stream();
  void receive(std::uint64_t epoch, const std::vector<log_record_ptr>& records);
  void rewind(std::uint64_t epoch);
  std::uint64_t log_end() const;
  std::uint64_t term() const;
  std::uint64_t replayed() const;
  database_server* upstream() const;

  const database description_;
  const std::uint64_t first_term_;
  const std::uint32_t connect_delay_ms_;
  QThread thread_;
  std::vector<database_server*> peers_;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> tasks_;
  bool frozen_ = false;
  std::atomic<bool> alive_ = false;
  std::atomic<bool> partitioned_ = false;
  bool callers_partitioned_ = false;

  std::unique_ptr<QTcpServer> listener_;
  std::unique_ptr<micro_timer> timer_;
  std::map<database_session*, bool> sessions_;
  std::unique_ptr<sqlite> head_;
  std::unique_ptr<sqlite> visible_;
  database_session* writer_ = nullptr;
  waiters writers_;  ///< Sessions that wait to become the writer.
  waiters slot_waiters_;
  waiters acknowledgement_waiters_;
  std::uint32_t running_ = 0;
  std::uint64_t statement_count_ = 0;
  std::uint64_t refused_connections_ = 0;

  bool primary_;
  bool needs_standby_ = true;
  std::string conninfo_;
  std::string next_conninfo_;
  std::vector<log_record_ptr> log_;
  std::size_t replayed_ = 0;  ///< Number of records applied to `visible_`.
  std::uint64_t acknowledged_;
  std::uint64_t epoch_ = 0;
  std::map<database_server*, log_stream> log_streams_;
  bool streaming_ = false;
};

}  // namespace toucanmux::standin
