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
  bool connection_limit_reached =
      false;  ///< By the database's connection limit.
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
  void run(const statement& request, bool on_replica,
           std::function<void(answer)> done);

  /// Runs SQL of the pool's own, outside of any transaction.
  void query(std::string_view sql, std::function<void(query_result)> done);

  /// Calls `lost` once if the connection breaks while nothing runs on it.
  void when_lost(std::function<void()> on_lost) {
    on_idle_loss_ = std::move(on_lost);
  }

  /// Drops the connection at once. What runs is answered as if the
  /// connection had been lost.
  void abandon();

  /// Ends the connection; a running transaction rolls back, and what runs is
  /// not answered.
  void close();

  /// True from a successful `open` until the connection is lost or closed.
  bool usable() const { return open_ && connection_; }
  bool busy() const { return current_exchange_ || on_done_; }

 private:
  struct command {
    std::string_view sql;  ///< Empty for a Sync.
    std::vector<const char*> values;
  };
  using results = std::vector<result_ptr>;

  /// Commands that are sent together, and what has come back.
  struct exchange {
    std::vector<bool> syncs;       ///< For each command, whether it is a Sync.
    std::size_t next_command = 0;  ///< The command whose results come next.
    bool has_result = false;       ///< A result of it has come.
    results received;              ///< One for each command that is no Sync.
    std::function<void(results&)> on_complete;
    std::function<void(bool handed)> on_lost;
  };

  struct notifier_deleter {
    void operator()(QSocketNotifier* notifier) const;
  };
  using notifier = std::unique_ptr<QSocketNotifier, notifier_deleter>;

  void poll_open();
  void end_open(open_result result);
  void watch_socket();
  void read();
  bool collect_results();
  bool handle_result(result_ptr result);
  void disconnect();
  void handle_loss();
  void post(std::function<void()> task);

  void send(const std::vector<command>& commands,
            std::function<void(results&)> on_complete,
            std::function<void(bool)> on_lost);
  bool queue_command(const command& next);
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

  command statement_command() const;
  bool check_runnable();
  bool read_position(const result_ptr& result);
  bool covers_required() const;
  void set_error(const result_ptr& error);
  void set_result(const result_ptr& result);
  void confirm_write(const result_ptr& position);
  void set_outcome(outcome how, reason why, std::string_view message = {});
  void rollback_and_finish();
  void finish();
  std::function<void(bool)> loss_handler(outcome how);
  PGTransactionStatusType transaction() const;

  static void notice(void* self, const PGresult* result);

  QObject context_;  ///< Owns what is to be called later.
  PGconn* connection_ = nullptr;
  bool open_ = false;
  bool closed_ = false;
  bool standby_wait_cancelled_ = false;
  notifier read_notifier_;
  notifier write_notifier_;
  std::function<void(open_result)> on_opened_;
  std::function<void()> on_idle_loss_;
  std::unique_ptr<exchange> current_exchange_;

  statement statement_;
  bool on_replica_ = false;
  bool outcomes_table_created_ =
      false;  ///< The outcomes table, for this statement.
  std::string digest_;
  answer answer_;
  std::function<void(answer)> on_done_;
};

}  // namespace toucanmux
