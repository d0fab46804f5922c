#pragma once

#include <string>
#include <vector>

#include "process/control-bus.h"
#include "process/settings-reader.h"
#include "toucanmux/core.h"
#include "toucanmux/process/member.h"

namespace toucanmux {

/// Settings that entries and pools have in common.
struct process_settings {
  member self;
  std::uint16_t admin_port = 0;
  std::string log_level;
  int threads = 1;  ///< Traffic threads, 1 to 64.
  /// Time in a drain from reporting not ready until new work is refused.
  duration drain_notice{0};
  bool test_controls = false;  ///< Serves `/cut` on the admin port.
  endpoint platform;
  std::vector<member> seeds;  ///< Members to contact when joining the fleet.
};

/// An entry's settings.
struct entry_settings {
  process_settings process;
  std::string caller_address;
  std::uint16_t caller_port = 0;
  /// Limit from a request's first to its last byte.
  duration request_timeout{0};
  duration idle_timeout{0};  ///< Limit between two requests of a caller.
  /// All failure domains with entries. Each owns an equal part of every team's
  /// limits, so the list must be the same on all members.
  std::vector<domain_id> domains;
  std::string session_key;  ///< Signs session tokens; the same on all entries.
};

/// A pool's settings.
struct pool_settings {
  process_settings process;
  /// Small enough that the connections of a database's old and new owner
  /// together stay within the database's limit.
  int connections_per_database = 12;
  int queue_limit = 1000;  ///< Maximum of waiting statements per database.
  /// An open transaction that is idle for longer is rolled back.
  duration transaction_idle_timeout{0};
};

/// @throws settings_error with the file, the line and how to correct it.
entry_settings read_entry_settings(const std::string& path);
/// @throws settings_error with the file, the line and how to correct it.
pool_settings read_pool_settings(const std::string& path);

}  // namespace toucanmux
