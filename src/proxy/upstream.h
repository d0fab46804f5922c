#pragma once

#include <optional>
#include <vector>

#include "proxy/upstream-link.h"
#include "toucanmux/proxy/connection-share.h"
#include "toucanmux/proxy/idle-limit.h"
#include "toucanmux/proxy/outcome-score.h"
#include "toucanmux/proxy/upstream-entry.h"

namespace toucanmux {

/// One database and what this instance has learned of it.
struct upstream {
  upstream_entry entry;
  std::vector<link_ptr> links;
  connection_allowance allowed;
  idle_timeout link_idle_timeout;  ///< How long an unused connection is kept.

  std::optional<instant> removed_at;      ///< Since when discovery lacks it.
  std::optional<instant> draining_since;  ///< Since when it leaves.
  bool suspended = false;  ///< Silent or refusing: gets nothing but probes.
  instant next_probe_at;   ///< When a suspended one is tried again.
  unsigned consecutive_failures = 0;  ///< In a row.
  instant full_until;                 ///< It refused a connection as too many.
  instant lagging_until;              ///< Its log lacks what reads need.
  unsigned lagging_count = 0;         ///< Times in a row.
  bool denied_leadership = false;     ///< It says that it does not lead.
  bool confirmed_leadership =
      false;  ///< It answered as leader since it was named.
  std::uint64_t leadership_revision = 0;  ///< When it began to claim the lead.
  std::uint64_t term = 0;                 ///< The highest seen in its answers.
  duration response_time = std::chrono::milliseconds(15);
  outcome_score outcomes;
  std::optional<instant> last_answer_at;  ///< The last answer of any kind.
  unsigned in_flight = 0;
  team_id last_team;  ///< Of the last connection that was opened.
};

}  // namespace toucanmux
