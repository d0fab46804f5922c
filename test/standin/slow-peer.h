#pragma once

#include <string>
#include <string_view>

#include "toucanmux/proxy/inet-address.h"

namespace toucanmux::standin {

/// A peer apart from the loop of the test, on a TCP socket of its own with a
/// small receive buffer. It takes bytes only in `read`, so that a large message
/// is sent to it in parts.
class slow_peer {
 public:
  /// Connects to a server under test.
  /// @throws error if it can't.
  explicit slow_peer(const inet_address& server);
  /// Opens a connection whose `other_end` is under test and has a small send
  /// buffer.
  /// @throws error if it can't.
  slow_peer();
  ~slow_peer();
  slow_peer(const slow_peer&) = delete;
  slow_peer(slow_peer&&) = delete;
  slow_peer& operator=(const slow_peer&) = delete;
  slow_peer& operator=(slow_peer&&) = delete;

  /// The descriptor of the connection under test, which must close it.
  int other_end() const { return other_end_; }
  /// Sends what the connection takes now of the bytes of earlier calls and of
  /// these.
  /// @throws error if the connection is broken.
  void send(std::string_view bytes = {});
  bool all_sent() const { return unsent_.empty(); }
  /// Appends the bytes that have arrived to `received`.
  void read();
  /// Ends the sending side; `read` goes on.
  void finish() const;
  void close();

  const std::string& received() const { return received_; }
  /// True if the other end has closed its sending side or the connection.
  bool ended() const { return ended_; }
  /// True if the connection was reset, also behind the end of what was
  /// received.
  bool was_reset() const { return was_reset_; }

 private:
  void connect(const inet_address& server);
  bool has_error() const;

  int descriptor_ = -1;
  int other_end_ = -1;
  std::string unsent_;
  std::string received_;
  bool ended_ = false;
  bool was_reset_ = false;
};

}  // namespace toucanmux::standin
