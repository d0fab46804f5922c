#pragma once

#include <list>
#include <memory>

#include "proxy/tcp-listener.h"
#include "proxy/tcp-stream.h"

namespace toucanmux::soak {

/// A TCP relay to one target address that injects network faults. Used on the
/// loop's thread.
class fault_relay {
 public:
  fault_relay(event_loop& loop, const inet_address& target);
  ~fault_relay();
  fault_relay(const fault_relay&) = delete;
  fault_relay(fault_relay&&) = delete;
  fault_relay& operator=(const fault_relay&) = delete;
  fault_relay& operator=(fault_relay&&) = delete;

  inet_address address() const { return listener_.address(); }
  /// Closes every connection at both ends; later connections work.
  void reset_all();
  /// Stops forwarding on the connections that are open now, without closing
  /// them; later connections work.
  void mute_open_connections();
  /// Bytes are delayed or held back, or an open connection is muted.
  bool in_trouble() const;

  /// Holds back bytes for the target until cleared.
  bool holds_to_target = false;
  /// Holds back bytes for the clients until cleared.
  bool holds_to_client = false;
  duration delay{0};  ///< Forwarding delay in both directions.

 private:
  class relayed_connection;

  void accept(int descriptor);

  event_loop& loop_;
  inet_address target_;
  std::list<std::unique_ptr<relayed_connection>> connections_;
  tcp_listener listener_;
};

}  // namespace toucanmux::soak
