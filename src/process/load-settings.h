#pragma once

#include <string>
#include <vector>

#include "process/control-bus.h"
#include "toucanmux/core.h"

namespace toucanmux {

/// A team whose callers the load tool plays.
struct load_team {
  team_id id;
  std::string key;
  double rate = 0;     ///< What the team may use, statements a second.
  double burst = 0;    ///< What it may use at once, statements.
  double offered = 0;  ///< What its callers send, statements a second.
};

/// How often each kind of call is made; shares are relative.
struct load_mix {
  int read = 70;
  int aged_read = 10;
  int write = 15;
  int transaction = 5;
  int roam_percent = 20;  ///< Calls that go to another instance than the last.
};

/// One run of the load tool.
struct load_settings {
  service_id service;
  std::vector<endpoint> targets;
  std::vector<load_team> teams;
  load_mix mix;
  int shards = 9;
  duration run_time{0};
  duration max_age{0};       ///< What aged reads accept.
  duration call_timeout{0};  ///< Of each call.
  int sessions_per_team = 64;
  std::uint64_t seed = 1;
};

/// Which instances take connections, as the platform's balancer sees it.
class target_health {
 public:
  explicit target_health(std::size_t count) : down_until_(count) {}

  bool is_up(std::size_t target, instant now) const {
    return now >= down_until_[target];
  }
  /// A connection was refused: nothing goes there for a while.
  void record_refused(std::size_t target, instant now) {
    down_until_[target] = now + std::chrono::seconds(2);
  }

 private:
  std::vector<instant> down_until_;
};

/// @throws settings_error naming file, line and remedy.
load_settings read_load_settings(const std::string& path);

}  // namespace toucanmux
