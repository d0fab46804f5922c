#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "proxy/tcp-listener.h"
#include "proxy/tcp-stream.h"
#include "toucanmux/proxy/upstream-entry.h"

namespace toucanmux::standin {

/// A small stand-in of a database that speaks the users' line protocol, on the
/// loop of the test.
class line_database {
 public:
  line_database(event_loop& loop, std::string id, std::string group);
  ~line_database();
  line_database(const line_database&) = delete;
  line_database(line_database&&) = delete;
  line_database& operator=(const line_database&) = delete;
  line_database& operator=(line_database&&) = delete;

  upstream_entry entry() const;
  /// Statements that ran, as `id text`, without this program's own.
  const std::vector<std::string>& executed() const { return ran_; }
  /// Every line that came, with the number of its connection before it.
  const std::vector<std::string>& received_lines() const { return lines_; }
  std::size_t connections() const { return sessions_.size(); }
  /// Sends the answers that were held, and holds no more.
  void send_deferred_answers();
  /// Breaks every connection.
  void reset_connections();

  bool is_primary = false;
  std::uint64_t log_end = 100;  ///< The end of its log.
  std::size_t connection_limit = 100;
  bool silent = false;          ///< Reads, and answers nothing.
  unsigned answers_to_lose = 0;    ///< Runs that many and loses the answers.
  unsigned answers_to_truncate = 0;  ///< Runs that many and breaks off midway.
  bool defer_answers = false;    ///< Runs, and answers when released.
  std::string error_code;      ///< Answers statements with this code.

 private:
  class session;

  void accept(int descriptor);

  event_loop& loop_;
  std::string id_;
  std::string group_;
  std::uint64_t accepted_ = 0;
  std::list<std::unique_ptr<session>> sessions_;
  std::vector<std::function<void()>> held_answers_;
  std::vector<std::string> ran_;
  std::vector<std::string> lines_;
  tcp_listener listener_;
};

}  // namespace toucanmux::standin
