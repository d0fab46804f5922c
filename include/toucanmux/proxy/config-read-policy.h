#pragma once

#include <optional>

#include "toucanmux/core.h"
#include "toucanmux/proxy/read-consistency.h"

namespace toucanmux {

/// Decides when an instance reads the configuration, and whether a stale read
/// is enough. Only a linearizable read confirms that keys are still valid; a
/// version that a peer already has is also found by a stale read.
class config_read_policy {
 public:
  struct situation {
    /// Confirmed at least once since the process started.
    bool confirmed = false;
    /// For how long reads have been able to confirm the configuration; negative
    /// while a restored store may lack its newest version.
    duration confirmable_for = duration::max();
    duration confirmation_age{0};
    duration max_age{0};  ///< Older confirmations make a read due.
    /// A peer has a newer version than this instance.
    bool peer_has_newer = false;
    /// A peer confirms the version in its reports.
    bool peer_confirms = false;
  };

  /// The kind of read that is due, or nothing.
  std::optional<read_consistency> due_read(instant now,
                                           const situation& current) const;
  /// The store answered that no configuration exists yet.
  void record_absent() { absent_ = true; }
  /// A read has succeeded.
  /// @param peer_has_newer a peer still has a newer version than the one that
  /// was read.
  void record_read(instant now, read_consistency consistency,
                   bool peer_has_newer);

 private:
  bool absent_ = false;
  bool found_ = false;
  /// The last stale read did not find the version that a peer has.
  bool stale_read_lagged_ = false;
  /// When a configuration appeared that this instance had polled for.
  std::optional<instant> first_found_at_;
};

}  // namespace toucanmux
