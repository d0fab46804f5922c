#include <algorithm>

#include "proxy/leader-service.h"

namespace toucanmux {

// After a failure, only the log of a replica in a drained domain may have the
// last commits. A planned change waits for a complete log, and without such a
// replica outside of the drained domains it does not begin.
bool leader_service::avoids_drained_domains(const upstream_group& group,
                                            const takeover_start& start) const {
  if (start.planned) return true;
  auto outside = static_cast<std::size_t>(
      std::count_if(start.candidates.begin(), start.candidates.end(),
                    [&](const database_id& database) {
                      return database != start.leader &&
                             !group.is_drained(*group.find(database));
                    }));
  return start.sync_replicas > 0 &&
         outside + start.sync_replicas > start.replica_count;
}

}  // namespace toucanmux
