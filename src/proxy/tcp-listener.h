#pragma once

#include <functional>

#include "proxy/event-loop.h"
#include "toucanmux/proxy/inet-address.h"

namespace toucanmux {

/// Accepts connections on one address.
class tcp_listener final : public descriptor_handler {
 public:
  using accept_handler = std::function<void(int descriptor)>;

  /// @throws platform_error if the address can't be listened on.
  tcp_listener(event_loop& loop, const inet_address& listen_address,
               accept_handler on_accept);
  ~tcp_listener() override;
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener(tcp_listener&&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  tcp_listener& operator=(tcp_listener&&) = delete;

  /// The bound address. If port 0 was requested, it has the port that the
  /// system chose.
  inet_address address() const;

  void on_ready(std::uint32_t events) override;

 private:
  /// Stops accepting connections for a short time.
  void pause_accepting();

  event_loop& loop_;
  int descriptor_;
  accept_handler on_accept_;
  timer pause_timer_;
};

}  // namespace toucanmux
