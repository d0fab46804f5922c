#pragma once

#include <list>
#include <memory>

#include "proxy/tcp-listener.h"
#include "proxy/tcp-stream.h"

namespace toucanmux::soak {

/// Passes connections on to one address, and harms them as it is told.
class fault_relay {
 public:
  fault_relay(event_loop& loop, const inet_address& to);
  ~fault_relay();
  fault_relay(const fault_relay&) = delete;
  fault_relay(fault_relay&&) = delete;
  fault_relay& operator=(const fault_relay&) = delete;
  fault_relay& operator=(fault_relay&&) = delete;

  inet_address address() const { return listener_.address(); }
  /// Breaks every connection; new ones work.
  void reset_all();
  /// Connections that are open now stay silent for good; new ones work.
  void silence_open();

  bool drops_forward = false;  ///< Bytes to the far side wait.
  bool drops_back = false;     ///< Bytes from it wait.
  duration delay{0};           ///< Of bytes in both directions.

 private:
  class pair;

  void accept(int descriptor);

  event_loop& loop_;
  inet_address to_;
  std::list<std::unique_ptr<pair>> pairs_;
  tcp_listener listener_;
};

}  // namespace toucanmux::soak
