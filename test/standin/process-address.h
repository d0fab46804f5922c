#pragma once

#include <unistd.h>

#include <cstdint>

#include "toucanmux/proxy/inet-address.h"

namespace toucanmux::standin {

/// A loopback address in host byte order that no other running process has;
/// neither has it the next one. Connections from other addresses can't take its
/// ports.
inline std::uint32_t process_ip() {
  constexpr std::uint32_t first = 0x7f800000;
  constexpr std::uint32_t max_processes = 1U << 22U;
  return first + 2 * (static_cast<std::uint32_t>(getpid()) % max_processes);
}

/// An address of this process that no earlier call returned.
inline inet_address next_address() {
  // Below the ports that the system chooses.
  static std::uint16_t next_port = 20'000;
  return {process_ip(), next_port++};
}

}  // namespace toucanmux::standin
