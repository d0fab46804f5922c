#pragma once

#include <QUdpSocket>
#include <array>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <tuple>

#include "toucanmux/process/datagram.h"
#include "toucanmux/process/member.h"

namespace toucanmux {

/// An IP address and a port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const endpoint&) const = default;
  bool operator<(const endpoint& other) const {
    return std::tie(address, port) < std::tie(other.address, other.port);
  }
};

/// Sends and receives datagrams between the control threads of members. Lives
/// on the control thread.
class control_bus {
 public:
  /// Called with the payload of a received datagram. If it throws an error, the
  /// datagram counts as dropped.
  using handler =
      std::function<void(const member_id& from, std::uint64_t incarnation,
                         std::span<const char> payload)>;

  /// Binds the member's control port.
  /// @throws settings_error if the port is in use.
  explicit control_bus(member self);

  /// Sets the handler of one part's datagrams.
  void on(control_part part, handler handle);
  /// Sends without blocking; the datagram may be lost.
  void send(const endpoint& to, control_part part, std::string payload);

  /// For tests: drops all datagrams from and to these addresses.
  void set_blocked_peers(std::set<endpoint> peers);

  std::uint64_t dropped_datagrams() const { return dropped_datagrams_; }
  std::uint64_t sent_bytes() const { return sent_bytes_; }
  std::uint16_t port() const { return socket_.localPort(); }

 private:
  void receive_datagrams();
  void handle_datagram(std::span<const char> bytes, const endpoint& from);

  member self_;
  QUdpSocket socket_;
  std::map<control_part, handler> handlers_;
  std::set<endpoint> blocked_peers_;
  std::uint64_t dropped_datagrams_ = 0;
  std::uint64_t sent_bytes_ = 0;
};

}  // namespace toucanmux
