#pragma once

#include <cstdint>
#include <vector>

#include "proxy/connections/relay-session.h"
#include "proxy/tcp-listener.h"

namespace toucanmux {

/// Accepts the links of other instances, which relay statements to databases
/// whose connections this instance owns.
class relay_server {
 public:
  /// @throws platform_error if the address can't be listened on.
  relay_server(proxy_state& state, const inet_address& address);
  ~relay_server();
  relay_server(const relay_server&) = delete;
  relay_server(relay_server&&) = delete;
  relay_server& operator=(const relay_server&) = delete;
  relay_server& operator=(relay_server&&) = delete;

  /// Ends all sessions. Answers that are already written are sent at the end of
  /// the turn.
  void finish();
  inet_address address() const { return listener_.address(); }
  /// Called a few times a second.
  /// @param lateness how late the event loop made this call.
  void tick(duration lateness);
  /// True if the event loop is too slow to relay statements.
  bool is_late() const;
  std::size_t session_count() const { return sessions_.size(); }
  /// Sessions with a statement or a transaction.
  std::size_t busy_sessions() const;

  void count_refusal() { ++refusals_; }
  void count_use() { ++uses_; }
  std::uint64_t refusals() const { return refusals_; }
  /// How often a session took a connection to a database.
  std::uint64_t uses() const { return uses_; }
  void on_session_ended(relay_session& session);

 private:
  void accept(int descriptor);
  bool make_room();

  proxy_state& state_;
  bool ticked_late_ = false;
  std::uint64_t refusals_ = 0;
  std::uint64_t uses_ = 0;
  std::vector<relay_session_ptr> sessions_;
  tcp_listener listener_;
};

}  // namespace toucanmux
