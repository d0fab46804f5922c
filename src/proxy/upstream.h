#pragma once

#include <optional>
#include <vector>

#include "proxy/upstream-link.h"
#include "toucanmux/proxy/admission/refusal-trend.h"
#include "toucanmux/proxy/connections/connection-share.h"
#include "toucanmux/proxy/connections/idle-timeout.h"
#include "toucanmux/proxy/domain/warm-up.h"
#include "toucanmux/proxy/placement/load-meter.h"
#include "toucanmux/proxy/placement/outcome-score.h"
#include "toucanmux/proxy/upstream-entry.h"

namespace toucanmux {

/// One database and this instance's view of its state.
struct upstream {
  upstream_entry entry;
  std::vector<link_ptr> links;
  connection_allowance allowance;  ///< This instance's connection quota.
  idle_timeout link_idle_timeout;  ///< Of idle connections.

  std::optional<instant> removed_at;  ///< When its discovery entry vanished.
  std::optional<instant> draining_since;  ///< When its entry became draining.
  warm_up budget;                         ///< While the database is cold.
  bool warm_up_logged = false;
  /// Silent or refusing connections; gets only probes, no statements.
  bool suspended = false;
  instant next_probe_at;  ///< While suspended.
  unsigned consecutive_failures = 0;
  /// No connection is opened before this time, since the database refused the
  /// last one for exceeding its connection limit.
  instant full_until;
  /// Reads avoid the database until then: its log lacked a required position.
  instant lagging_until;
  unsigned lagging_count = 0;      ///< Consecutive lag periods.
  bool denied_leadership = false;  ///< Answered that it does not lead.
  /// The database has answered as leader since the store's leader record last
  /// changed.
  bool confirmed_leadership = false;
  /// When the discovery entry began to claim leadership.
  store_version leadership_version;
  std::uint64_t term = 0;  ///< Highest term seen in answers.
  /// Moving average that starts with this estimate.
  duration response_time = std::chrono::milliseconds(15);
  /// Moving average of the deviation from that average.
  duration response_deviation = response_time / 2;
  instant response_time_at;  ///< Of the last answer in these averages.
  /// Moving average of the time to open a connection.
  duration open_time = std::chrono::milliseconds(15);
  outcome_score outcomes;
  refusal_trend refusals;  ///< Statements and connections that it refused.
  load_meter meter;        ///< Of this instance's statements.
  std::optional<instant> last_answer_at;  ///< Any kind of answer.
  unsigned in_flight = 0;                 ///< Links in use.
  team_id last_team;                      ///< Of the newest connection.
};

}  // namespace toucanmux
