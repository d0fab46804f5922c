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

/// Address of a database. libpq reads the user, database and password from its
/// environment variables and password file.
struct upstream_target {
  std::string address;  ///< A numeric IP address.
  std::uint16_t port = 0;
  std::string application_name;
};

struct open_result {
  bool ok = false;
  bool connection_limit_reached = false;  ///< SQLSTATE 53300.
  std::string message;  ///< The error if the connection could not be opened.
};

struct query_result {
  bool ok = false;
  std::vector<std::vector<std::string>> rows;  ///< NULL becomes an empty text.
  std::string sql_state;
  std::string message;
};

/// A connection to a database, used by one thread, with one statement at a
/// time. Callbacks are called from the event loop, at most once, never from
/// inside a member function and never after `close`. They may destroy the
/// connection.
class upstream_connection {
 public:
  upstream_connection();
  ~upstream_connection();
  Q_DISABLE_COPY_MOVE(upstream_connection)

  /// Starts to connect. There is no timeout: call `close` to end a slow
  /// attempt.
  void open(const upstream_target& target,
            std::function<void(open_result)> done);

  /// Runs a statement. The answer says `unknown` whenever the statement's
  /// effect is uncertain. The statement's step must match whether a transaction
  /// is open on this connection.
  void run(const statement& request, bool on_replica,
           std::function<void(answer)> done);

  /// Runs a query of the pool itself, outside of any transaction.
  void query(std::string_view sql, std::function<void(query_result)> done);

  /// Sets a handler that is called once if the connection is lost while idle.
  void set_idle_loss_handler(std::function<void()> on_lost) {
    on_idle_loss_ = std::move(on_lost);
  }

  /// Closes the connection at once. A running statement or query is answered as
  /// after a lost connection.
  void abandon();

  /// Closes the connection. An open transaction is rolled back, and a running
  /// statement or query is not answered.
  void close();

  /// True from a successful `open` until the connection is lost or closed.
  bool usable() const { return open_ && connection_; }
  bool busy() const { return exchange_ || on_done_; }

 private:
  struct command {
    std::string_view sql;  ///< Empty for a Sync message.
    std::vector<const char*> values;
  };
  using results = std::vector<result_ptr>;

  /// Commands that are sent together in pipeline mode, and their results.
  struct exchange {
    std::vector<bool> syncs;  ///< Per command: whether it is a Sync.
    std::size_t next = 0;     ///< Index of the command whose results are next.
    bool has_result = false;  ///< That command has a result already.
    results received;         ///< One per command other than Sync.
    std::function<void(results&)> on_complete;
    std::function<void(bool may_have_sent)> on_lost;
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
  void set_outcome(outcome_code new_outcome, reason_code new_reason,
                   std::string_view message = {});
  void rollback_and_finish();
  void finish();
  std::function<void(bool)> loss_handler(outcome_code outcome_if_sent);
  PGTransactionStatusType transaction() const;

  static void handle_notice(void* self, const PGresult* result);

  QObject context_;  ///< Receiver of posted calls.
  PGconn* connection_ = nullptr;
  bool open_ = false;
  bool closed_ = false;
  bool standby_wait_cancelled_ = false;
  notifier read_notifier_;
  notifier write_notifier_;
  std::function<void(open_result)> on_opened_;
  std::function<void()> on_idle_loss_;
  std::unique_ptr<exchange> exchange_;

  statement statement_;
  bool on_replica_ = false;
  bool outcomes_table_created_ = false;  ///< For the current statement.
  std::string digest_;
  answer answer_;
  std::function<void(answer)> on_done_;
};

}  // namespace toucanmux
