#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// A statement that waits for a connection, as far as its order depends on it.
struct waiting_statement {
  unsigned priority = 0;  ///< 0 is served first.
  std::string_view team;
  instant deadline;
  duration cost{0};  ///< Expected time on a connection.
};

/// The order in which waiting statements are served: strictly by priority,
/// within a priority by start-time fair queueing of the teams, and within a
/// team by deadline.
///
/// Each team has a virtual time per priority, which advances by the cost of
/// what is served. A team that had no demand starts at the virtual time of the
/// statement that was served last, so it neither saves up service nor owes any.
class fair_order {
 public:
  /// Returns the indexes of `waiting` in the order of service.
  std::vector<std::size_t> sort(
      std::span<const waiting_statement> waiting) const;
  /// Accounts for a statement that gets a connection now.
  void record_start(unsigned priority, std::string_view team, duration cost);

 private:
  using team_times = std::map<std::string, duration, std::less<>>;
  struct level {
    duration virtual_time{0};  ///< Start of the statement served last.
    team_times finish;         ///< End of each team's last statement.
  };

  duration start_of(unsigned priority, std::string_view team) const;

  std::map<unsigned, level> levels_;
};

}  // namespace toucanmux
