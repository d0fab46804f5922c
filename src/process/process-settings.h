#pragma once

#include <string>
#include <vector>

#include "process/control-bus.h"
#include "process/settings-reader.h"
#include "toucanmux/core.h"
#include "toucanmux/process/member.h"

namespace toucanmux {

/// What the settings of an entry and of a pool have in common.
struct process_settings {
  member self;
  std::uint16_t admin_port = 0;
  std::string log_level;
  int threads = 1;  ///< Traffic threads, 1 to 64.
  /// From not ready until no new work, at a drain.
  duration drain_notice{0};
  bool test_controls = false;  ///< Serves `/cut` on the admin port.
  endpoint platform;
  std::vector<member> seeds;  ///< Members to ask first.
};

/// An entry's settings.
struct entry_settings {
  process_settings process;
  std::string caller_address;
  std::uint16_t caller_port = 0;
  duration request_timeout{0};  ///< From a request's first byte to its last.
  duration idle_timeout{0};     ///< Between a caller's requests.
  /// All failure domains with entries: each owns an equal slice of every
  /// team's limits, so all members must have the same.
  std::vector<domain_id> domains;
  std::string session_key;  ///< Signs session tokens; the fleet shares it.
};

/// A pool's settings.
struct pool_settings {
  process_settings process;
  int connections_per_database = 12;     ///< Old and new owners fit together.
  int queue_limit = 1000;                ///< Statements waiting per database.
  duration transaction_idle_timeout{0};  ///< Then an open one is rolled back.
};

/// @throws settings_error naming file, line and remedy.
entry_settings read_entry_settings(const std::string& path);
/// @throws settings_error naming file, line and remedy.
pool_settings read_pool_settings(const std::string& path);

}  // namespace toucanmux
