#pragma once

#include <optional>

#include "toucanmux/core.h"
#include "toucanmux/proxy/leader-record.h"

namespace toucanmux {

/// How far the replacement of a group's leader has got.
struct leader_change_state {
  /// This instance's knowledge of the leaders is recent enough to be used.
  bool lease_valid = true;
  /// Of the store's record; nothing if no leader was ever replaced.
  std::optional<leadership_phase> phase;
  duration in_phase{0};    ///< Time since the record was learned.
  duration leaderless{0};  ///< Time since no leader is known.
  bool suspected = false;  ///< The leader is seen failing.
  /// Usual time from the naming of a leader until it is known to lead.
  duration promotion_time{0};
};

/// The expected time until statements may be sent to a leader again.
duration leader_change_remaining(const leader_change_state& state);

}  // namespace toucanmux
