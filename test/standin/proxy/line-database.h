#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "proxy/tcp-listener.h"
#include "proxy/tcp-stream.h"
#include "toucanmux/proxy/upstream-entry.h"

namespace toucanmux::standin {

/// A stand-in for a database that speaks the line protocol, on the loop of the
/// test.
class line_database {
 public:
  line_database(event_loop& loop, std::string id, std::string group);
  ~line_database();
  line_database(const line_database&) = delete;
  line_database(line_database&&) = delete;
  line_database& operator=(const line_database&) = delete;
  line_database& operator=(line_database&&) = delete;

  upstream_entry entry() const;
  /// Executed statements and commits, as `id text`; the proxy's own statements
  /// are left out.
  const std::vector<std::string>& executed() const { return executed_; }
  /// Every received line, preceded by the number of its connection.
  const std::vector<std::string>& received_lines() const {
    return received_lines_;
  }
  /// Time of the last answer by statement id.
  const std::map<std::string, instant>& answered() const { return answered_; }
  std::size_t connections() const { return sessions_.size(); }
  /// Sends the deferred answers and stops deferring.
  void send_deferred_answers();
  /// Closes every connection.
  void reset_connections();

  bool is_primary = false;
  std::uint64_t log_end = 100;  ///< Number of the last log record.
  std::size_t connection_limit = 100;
  bool silent = false;  ///< Reads requests and answers none.
  /// Executes this many statements without sending their answers.
  unsigned answers_to_lose = 0;
  /// Executes this many statements and closes the connection in the middle of
  /// their answers.
  unsigned answers_to_truncate = 0;
  /// Executes statements and keeps their answers until send_deferred_answers().
  bool defer_answers = false;
  bool defer_begins = false;  ///< The same for the begins of transactions.
  /// Refuses every statement with this error code; empty refuses none.
  std::string error_code;
  duration slow_work{0};    ///< Time that `FETCH slow` takes.
  unsigned large_rows = 1;  ///< Rows of 256 KiB that `FETCH large` returns.

 private:
  class session;

  void accept(int descriptor);

  event_loop& loop_;
  std::string id_;
  std::string group_;
  std::uint64_t accepted_connections_ = 0;
  std::list<std::unique_ptr<session>> sessions_;
  std::vector<std::function<void()>> deferred_answers_;
  std::vector<std::string> executed_;
  std::vector<std::string> received_lines_;
  std::map<std::string, instant> answered_;
  tcp_listener listener_;
};

}  // namespace toucanmux::standin
