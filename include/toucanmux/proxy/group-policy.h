#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// The operators' settings for a database group.
struct group_policy {
  group_id id;
  unsigned max_connections = 0;  ///< Per database, over all instances.
  unsigned sync_replicas = 0;    ///< Replicas that must receive a commit.
  /// Statements a second that a cold database can take; 0 sets no limit.
  double warm_up_rate = 0;
};

}  // namespace toucanmux
