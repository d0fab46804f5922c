#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "toucanmux/core.h"
#include "toucanmux/proxy/inet-address.h"

namespace toucanmux {

/// What a proxy process is told about its place.
struct proxy_settings {
  member_id self;
  domain_id domain;
  inet_address caller_address;     ///< Where callers connect.
  inet_address readiness_address;  ///< Where the balancer asks.
  inet_address peer_address;       ///< Where other instances send datagrams.
  std::uint32_t ip = 0;
  inet_address store_address;
  inet_address failover_address;   ///< Where a new leader is named.
  duration heartbeat_interval{0};  ///< Of databases.
  duration revocation_timeout{0};  ///< A withdrawn key runs nothing after it.
  duration drain_timeout{0};   ///< A draining database gets nothing after it.
  bool tokens_checked = true;  ///< By the failover service: refuses old ones.
  std::size_t max_sessions = 2000;   ///< Callers beyond it are turned away.
  std::uint32_t cpu_millicores = 0;  ///< Thousandths of a core.
  bool log_enabled = true;           ///< Off only to measure what logs cost.
  duration shutdown_timeout{0};  ///< From SIGTERM until the process is killed.
};

/// Reads the settings file.
/// @throws settings_error that names the field and the remedy.
proxy_settings read_proxy_settings(const std::string& path);

/// The variable of the environment that names the settings file.
std::string_view settings_variable();

}  // namespace toucanmux
