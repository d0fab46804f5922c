#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak/caller-kind.h"
#include "soak/caller-socket.h"
#include "soak/cut-statement.h"

namespace toucanmux::soak {

/// The outcome of a statement or transaction, as its caller saw it.
struct soak_outcome {
  std::vector<std::string> write_ids;  ///< Statement ids of the writes.
  /// Statement id of the commit, or of the write outside of a transaction.
  std::string commit_id;
  bool transaction = false;
  bool acknowledged = false;
  /// The error code says that no effect is kept.
  bool promised_no_effect = false;
};

/// Callbacks through which a caller reaches the soak environment.
struct caller_hooks {
  std::vector<inet_address> instances;
  std::function<std::string()> api_key;
  std::function<void(const soak_outcome&)> on_outcome;
  /// Called before a read is sent; returns a check to call with the position
  /// that the read's answer carries.
  std::function<std::function<void(std::uint64_t)>()> begin_read;
  /// Called with the position at which a write or transaction was acknowledged.
  std::function<void(std::uint64_t)> on_written;
  /// Called for each statement that was sent whole, when its connection ends
  /// before its answer is complete. The receiver sets the times of the end.
  std::function<void(const cut_statement&)> on_cut;
};

/// A client that sends one statement or transaction after another, and keeps
/// its connection until it fails.
class soak_caller final : public stream_owner {
 public:
  soak_caller(event_loop& loop, caller_hooks hooks, std::string name,
              std::uint32_t seed, caller_kind kind);

  void stop() { stopping_ = true; }
  /// The instance is expected to close its idle sessions at the given time: an
  /// idle caller sends its next statement about then.
  void expect_close(int instance, instant closes_at);

  void on_open() override;
  void on_input() override;
  void on_closed() override;

 private:
  struct sent_statement {
    std::string id;
    /// Time of its last byte; empty until it was sent whole.
    std::optional<instant> sent_at;
    std::function<void(std::uint64_t)> check_position;
  };

  void connect();
  void choose_operation();
  void send_next();
  std::string add_statement();
  void send_whole(const std::string& bytes);
  void handle_line(const std::string& line);
  void handle_ready(const std::string& ready_line);
  void finish();
  void leave();

  event_loop& loop_;
  caller_hooks hooks_;
  std::string name_;
  std::mt19937 random_;
  caller_kind kind_;
  caller_socket socket_;
  timer timer_;
  bool stopping_ = false;
  bool connected_ = false;
  int instance_ = 0;
  unsigned statement_count_ = 0;
  /// Statements of the current operation that are still to be sent, in order.
  std::vector<std::string> remaining_;
  std::deque<sent_statement> outstanding_;
  std::string second_half_;  ///< Of the statement that is being sent.
  /// Error code of the answer being received; empty without an error.
  std::string error_;
  soak_outcome outcome_;
};

}  // namespace toucanmux::soak
