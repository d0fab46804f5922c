#pragma once

#include "proxy/tcp-listener.h"

namespace toucanmux::standin {

/// 127.0.0.1 in host byte order.
inline constexpr std::uint32_t loopback = 0x7f000001;

/// A loopback address with a port that was free at the time of the call.
inline inet_address free_address(event_loop& loop) {
  return tcp_listener(loop, {loopback, 0}, [](int) {}).address();
}

}  // namespace toucanmux::standin
