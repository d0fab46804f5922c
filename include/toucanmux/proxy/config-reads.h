#pragma once

#include <optional>

#include "toucanmux/core.h"
#include "toucanmux/proxy/read-age.h"

namespace toucanmux {

/// Decides when an instance reads the configuration, and how recent the answer
/// has to be. Only the newest state proves that keys still hold; a version that
/// a peer has already is there in an older state as well.
class config_read_policy {
 public:
  struct situation {
    bool confirmed = false;  ///< Since the start of the process.
    duration confirmation_age{0};
    duration max_age{0};          ///< The oldest proof without a read.
    bool peer_has_newer = false;  ///< A peer has a version that lacks here.
    bool peer_confirms = false;   ///< A peer proves the version for others.
  };

  /// Nothing if no read is needed now.
  std::optional<read_age> due_read(instant now, const situation& current) const;
  /// The store has answered that there is no configuration yet.
  void record_absent() { absent_ = true; }
  /// @param newer_elsewhere what was read is still not what a peer has.
  void record_read(instant now, read_age consistency, bool peer_has_newer);

 private:
  bool absent_ = false;
  bool stale_read_was_behind_ =
      false;  ///< The older state lacked what a peer has.
  instant first_found_at_;
};

}  // namespace toucanmux
