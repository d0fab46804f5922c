#pragma once

#include <optional>

#include "toucanmux/core.h"
#include "toucanmux/proxy/read-age.h"

namespace toucanmux {

/// Decides when an instance reads the configuration, and how recent the answer
/// has to be. Only the newest state proves that keys still hold; a version that
/// a peer has already is there in an older state as well.
class config_reads {
 public:
  struct situation {
    bool proven = false;  ///< Since the start of the process.
    duration proof_age{0};
    duration interval{0};          ///< The oldest proof without a read.
    bool newer_elsewhere = false;  ///< A peer has a version that lacks here.
    bool peer_reads = false;       ///< A peer proves the version for others.
  };

  /// Nothing if no read is needed now.
  std::optional<read_consistency> due(instant now, const situation& at) const;
  /// The store has answered that there is no configuration yet.
  void absent() { absent_ = true; }
  /// @param newer_elsewhere what was read is still not what a peer has.
  void found(instant now, read_consistency age, bool newer_elsewhere);

 private:
  bool absent_ = false;
  bool behind_ = false;  ///< The older state lacked what a peer has.
  instant found_at_;
};

}  // namespace toucanmux
