#pragma once

#include <QObject>
#include <QTcpSocket>
#include <boost/intrusive/list.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "standin/log-record.h"
#include "standin/sqlite.h"

namespace toucanmux::standin {

class database_server;

/// A session's transaction. An implicit one ends with its Sync.
struct session_transaction {
  bool open = false;
  bool read_only = false;
  bool failed = false;
  bool is_writer = false;   ///< It is the database's only writer.
  bool committing = false;  ///< It is in the log and waits for a standby.
  /// Position of the data it read or wrote; answers wait until a standby has
  /// it.
  std::uint64_t required_lsn = 0;
  std::vector<logged_statement> statements;
};

using session_hook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// One caller's connection, in PostgreSQL's protocol 3 with text values only. A
/// message that has to wait stays in the input and is processed again on
/// wake-up.
class database_session : public QObject, public session_hook {
 public:
  database_session(database_server& server, QTcpSocket* socket);
  ~database_session() override;
  Q_DISABLE_COPY_MOVE(database_session)

  /// Processes the messages that have arrived.
  void process_messages();
  /// Completes the start-up: the session is ready for queries.
  void complete_startup();
  /// Ends the connection with the error of pg_terminate_backend.
  void terminate();
  /// Sends PostgreSQL's warning for a cancelled wait for a standby.
  void warn_not_replicated();
  /// Closes the connection without an error message.
  void abort();

  session_transaction transaction;
  bool occupies_slot = false;  ///< Its statement occupies a slot.
  bool service_done = false;   ///< Its statement's service time has passed.

 private:
  struct portal {
    std::string sql;
    std::vector<parameter> values;
    bool described = false;
  };

  bool next_message(char& type, std::string_view& body);
  bool start_up();
  bool handle(char type, std::string_view body);
  void parse(std::string_view body);
  void bind(std::string_view body);
  bool execute(portal& target);
  bool simple_query(std::string_view body);
  bool synchronize();
  void send_error(const sql_error& problem, std::string_view severity);
  void send_rows(const sql_result& result, bool described);
  void send(char type, std::string_view body = {});
  void flush();

  database_server& server_;
  QTcpSocket* socket_;
  std::string input_;
  std::size_t consumed_ = 0;
  std::string output_;
  bool started_ = false;
  bool startup_complete_ = false;
  /// After an error, messages up to the Sync are skipped.
  bool skips_to_sync_ = false;
  /// The simple query was executed; its end is outstanding.
  bool query_executed_ = false;
  std::map<std::string, std::string, std::less<>> statements_;
  std::map<std::string, portal, std::less<>> portals_;
};

}  // namespace toucanmux::standin
