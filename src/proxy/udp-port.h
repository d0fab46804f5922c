#pragma once

#include <functional>
#include <span>
#include <string_view>

#include "proxy/event-loop.h"
#include "toucanmux/proxy/inet-address.h"

namespace toucanmux {

/// Sends and receives datagrams on one address.
class udp_port final : public descriptor_handler {
 public:
  using receive_handler = std::function<void(std::span<const char> bytes,
                                             const inet_address& from)>;

  /// @throws platform_error if the address can't be bound.
  udp_port(event_loop& loop, const inet_address& bind_address,
           receive_handler on_receive);
  ~udp_port() override;
  udp_port(const udp_port&) = delete;
  udp_port(udp_port&&) = delete;
  udp_port& operator=(const udp_port&) = delete;
  udp_port& operator=(udp_port&&) = delete;

  /// @return false if the system did not accept the datagram. An accepted
  /// datagram may still be lost.
  bool send(std::string_view bytes, const inet_address& to);
  void on_ready(std::uint32_t events) override;

 private:
  event_loop& loop_;
  int descriptor_;
  receive_handler on_receive_;
};

}  // namespace toucanmux
