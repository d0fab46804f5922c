#pragma once

#include <libpq-fe.h>

#include <QObject>
#include <QSocketNotifier>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "connection/pg-result.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

/// Where a database is. User, database and password come from libpq's own
/// environment and password file.
struct upstream_target {
  std::string address;  ///< An IP number.
  std::uint16_t port = 0;
  std::string application_name;
};

struct open_result {
  bool ok = false;
  bool refused_as_full = false;  ///< By the database's connection limit.
  std::string message;
};

struct query_result {
  bool ok = false;
  std::vector<std::vector<std::string>> rows;  ///< NULL is an empty text.
  std::string sql_state;
  std::string message;
};

/// A connection to a database, used by one thread, one statement at a time.
/// Callbacks come from the event loop, never from inside a call, at most
/// once, and never after `close`; they may destroy the connection.
class upstream_connection {
 public:
  upstream_connection();
  ~upstream_connection();
  Q_DISABLE_COPY_MOVE(upstream_connection)

  /// Has no time limit of its own: `close` ends a slow one.
  void open(const upstream_target& target,
            std::function<void(open_result)> done);

  /// Runs a statement and says truly how it ended. A statement's step must
  /// fit the transaction that is open on this connection.
  void run(const statement& what, bool on_replica,
           std::function<void(answer)> done);

  /// Runs SQL of the pool's own, outside of any transaction.
  void query(std::string_view sql, std::function<void(query_result)> done);

  /// Calls `lost` once if the connection breaks while nothing runs on it.
  void when_lost(std::function<void()> lost) { idle_lost_ = std::move(lost); }

  /// Drops the connection at once. What runs is answered as if the
  /// connection had been lost.
  void abandon();

  /// Ends the connection; a running transaction rolls back, and what runs is
  /// not answered.
  void close();

  /// True from a successful `open` until the connection is lost or closed.
  bool usable() const { return open_ && connection_; }
  bool busy() const { return current_ || done_; }

 private:
  struct command {
    std::string_view sql;  ///< Empty for a Sync.
    std::vector<const char*> values;
  };
  using results = std::vector<result_ptr>;

  /// Commands that are sent together, and what has come back.
  struct exchange {
    std::vector<bool> syncs;  ///< For each command, whether it is a Sync.
    std::size_t next = 0;     ///< The command whose results come next.
    bool inside = false;      ///< A result of it has come.
    results got;              ///< One for each command that is no Sync.
    std::function<void(results&)> then;
    std::function<void(bool handed)> lost;
  };

  struct notifier_deleter {
    void operator()(QSocketNotifier* notifier) const;
  };
  using notifier = std::unique_ptr<QSocketNotifier, notifier_deleter>;

  void poll_open();
  void end_open(open_result result);
  void watch();
  void read();
  bool collect();
  bool take(result_ptr result);
  void drop();
  void lose();
  void later(std::function<void()> task);

  void send(const std::vector<command>& commands,
            std::function<void(results&)> then, std::function<void(bool)> lost);
  bool put(const command& what);
  void flush();

  void run_read();
  void run_primary_read();
  void run_write();
  void run_recorded_write();
  void record_outcome(const result_ptr& result);
  void create_outcomes();
  void replay_outcome();
  void run_begin();
  void run_inside();
  void run_commit();
  void run_rollback();

  command caller_statement() const;
  bool may_start();
  bool take_position(const result_ptr& result);
  bool covers_required() const;
  void refuse(const result_ptr& error);
  void accept(const result_ptr& result);
  void acknowledge(const result_ptr& position);
  void set(outcome_code how, reason_code why, std::string_view message = {});
  void settle();
  void finish();
  std::function<void(bool)> lost_as(outcome_code how);
  PGTransactionStatusType transaction() const;

  static void notice(void* self, const PGresult* result);

  QObject context_;  ///< Owns what is to be called later.
  PGconn* connection_ = nullptr;
  bool open_ = false;
  bool closed_ = false;
  bool not_replicated_ = false;
  notifier read_;
  notifier write_;
  std::function<void(open_result)> opened_;
  std::function<void()> idle_lost_;
  std::unique_ptr<exchange> current_;

  statement statement_;
  bool on_replica_ = false;
  bool created_ = false;  ///< The outcomes table, for this statement.
  std::string digest_;
  answer answer_;
  std::function<void(answer)> done_;
};

}  // namespace toucanmux
