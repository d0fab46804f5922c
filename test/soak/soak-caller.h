#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "proxy/tcp-stream.h"

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
  /// Picks an instance's address for the next connection.
  std::function<inet_address()> pick_instance;
  std::function<std::string()> api_key;
  std::function<void(const soak_outcome&)> on_outcome;
  /// Called before a read is sent; returns a check to call with the position
  /// that the read's answer carries.
  std::function<std::function<void(std::uint64_t)>()> begin_read;
  /// Called with the position at which a write or transaction was acknowledged.
  std::function<void(std::uint64_t)> on_written;
};

/// A client that sends one statement or transaction after another, and keeps
/// its connection until it fails.
class soak_caller final : public stream_owner {
 public:
  soak_caller(event_loop& loop, caller_hooks hooks, std::string name,
              std::uint32_t seed);

  void stop() { stopping_ = true; }

  void on_open() override;
  void on_input() override;
  void on_closed() override;

 private:
  void connect();
  void send_next();
  void send_statement(const std::string& text);
  void handle_line(const std::string& line);
  void handle_ready(const std::string& ready_line);
  void handle_error(const std::string& code);
  void finish();

  event_loop& loop_;
  caller_hooks hooks_;
  std::string name_;
  std::mt19937 random_;
  tcp_stream stream_;
  timer timer_;
  bool stopping_ = false;
  bool connected_ = false;
  unsigned statement_count_ = 0;
  /// Statements of the current operation that are still to be sent, in order.
  std::vector<std::string> remaining_;
  bool in_flight_ = false;
  /// Error code of the answer being received; empty without an error.
  std::string error_;
  soak_outcome outcome_;
  std::function<void(std::uint64_t)> position_check_;
};

}  // namespace toucanmux::soak
