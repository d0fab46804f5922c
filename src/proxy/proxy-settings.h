#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "toucanmux/core.h"
#include "toucanmux/proxy/domain/region-map.h"
#include "toucanmux/proxy/inet-address.h"

namespace toucanmux {

/// The settings of a proxy process: its identity, addresses, timeouts and
/// limits.
struct proxy_settings {
  member_id self;
  domain_id domain;
  inet_address caller_address;     ///< Callers connect here.
  inet_address readiness_address;  ///< For readiness probes of the balancer.
  inet_address peer_address;       ///< Receives datagrams of other instances.
  /// Accepts statements that other instances relay; port 0 if there is none.
  /// The port is the same on all instances.
  inet_address relay_address;
  std::uint32_t ip = 0;  ///< Of this instance, in host byte order.
  inet_address store_address;
  inet_address failover_address;     ///< The service that promotes leaders.
  duration heartbeat_interval{0};    ///< Between heartbeats of a database.
  duration revocation_timeout{0};    ///< From the withdrawal of a key until no
                                     ///< statement with the key runs.
  duration drain_timeout{0};         ///< A draining database gets no statements
                                     ///< after this.
  bool tokens_checked = false;       ///< The failover service rejects stale
                                     ///< fencing tokens.
  std::size_t max_sessions = 2000;   ///< Further callers are disconnected.
  std::uint32_t cpu_millicores = 0;  ///< Thousandths of a CPU core.
  bool log_enabled = true;  ///< False only to measure the cost of logging.
  /// The deployment asks for the mechanisms of contended deployments.
  bool pressure = false;
  region_map regions;  ///< Of the failure domains.
  /// From the store's acknowledgement of a domain drain until no new statement
  /// reaches the domain's databases; 0 if no domain is ever drained.
  duration domain_drain_timeout{0};
  /// The same while single instances are cut off from the store.
  duration isolated_drain_timeout{0};
  double warm_up_excess = 0;  ///< Multiplies a group's rate for cold databases.
  double warm_up_margin = 0;  ///< Statements a second in addition to that.
  duration shutdown_timeout{0};  ///< From SIGTERM until the platform kills
                                 ///< the process.
};

/// Reads the settings file.
/// @throws settings_error which names the field and the remedy.
proxy_settings read_proxy_settings(const std::string& path);

/// The environment variable that names the settings file.
std::string_view settings_variable();

}  // namespace toucanmux
