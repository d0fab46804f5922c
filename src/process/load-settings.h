#pragma once

#include <string>
#include <vector>

#include "process/control-bus.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// A team whose callers the load tool simulates.
struct load_team {
  team_id id;
  std::string key;
  double rate = 0;     ///< The team's rate limit, statements per second.
  double burst = 0;    ///< The team's burst limit, statements.
  double offered = 0;  ///< Load of its callers, calls per second.
};

/// Relative weights of the kinds of calls.
struct load_mix {
  int read = 70;
  int aged_read = 10;
  int write = 15;
  int transaction = 5;
  int roam_percent = 20;  ///< Percentage of calls that draw an instance.
};

/// Settings of one run of the load tool.
struct load_settings {
  service_id service;
  std::vector<endpoint> targets;
  std::vector<load_team> teams;
  load_mix mix;
  int shards = 9;
  duration run_time{0};
  duration max_age{0};         ///< Staleness that aged reads accept.
  duration call_timeout{0};    ///< Deadline of each call.
  int sessions_per_team = 64;  ///< Maximum of concurrent calls of a team.
  std::uint64_t seed = 1;
};

/// Which instances accept connections; stands in for the health checks of the
/// platform's load balancer.
class target_health {
 public:
  explicit target_health(std::size_t count) : down_until_(count) {}

  bool is_up(std::size_t target, instant now) const {
    return now >= down_until_[target];
  }
  /// Records a refused connection: the target counts as down for two seconds.
  void record_refused(std::size_t target, instant now) {
    down_until_[target] = now + std::chrono::seconds(2);
  }

 private:
  std::vector<instant> down_until_;
};

/// @throws settings_error with the file, the line and how to correct it.
load_settings read_load_settings(const std::string& path);

}  // namespace toucanmux
