#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection.h"

namespace review {

/// The answer to one statement.
struct statement_answer {
  bool complete = false;  ///< It ended with READY.
  bool success = false;
  std::string signature;
  std::string code;  ///< Of a failure.
  std::vector<std::string> rows;
  char state = 'I';
  std::string position;

  std::string text() const {
    if (success) return "DONE " + signature + " " + position;
    return code.empty() ? "no answer" : "ERR " + code;
  }
};

/// One session of a caller.
class line_client {
 public:
  /// Opens a session; null if it is refused.
  static std::unique_ptr<line_client> open(const address& proxy,
                                           const std::string& host,
                                           const std::string& key);

  /// Waits; returns false as soon as the session is closed.
  bool rest(milliseconds time);
  statement_answer query(const std::string& id, const std::string& text);

 private:
  explicit line_client(std::unique_ptr<connection> opened)
      : connection_(std::move(opened)) {}

  std::unique_ptr<connection> connection_;
};

}  // namespace review
