#pragma once

#include <netinet/in.h>

#include "toucanmux/proxy/inet-address.h"

namespace toucanmux {

/// Converts an address to the form of the socket API.
inline sockaddr_in to_sockaddr(const inet_address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  out.sin_addr.s_addr = htonl(address.ip);
  return out;
}

inline inet_address from_sockaddr(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

/// Closes a socket that couldn't be bound to `address` and reports `errno`.
/// @throws platform_error always.
[[noreturn]] void throw_address_error(int descriptor,
                                      const inet_address& address);

}  // namespace toucanmux
