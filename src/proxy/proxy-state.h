#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include "proxy/event-loop.h"
#include "proxy/journal.h"
#include "proxy/proxy-metrics.h"
#include "proxy/proxy-settings.h"
#include "proxy/upstream-group.h"
#include "toucanmux/proxy/config-proof.h"
#include "toucanmux/proxy/fleet-config.h"
#include "toucanmux/proxy/lead-lease.h"
#include "toucanmux/proxy/rate-ledger.h"
#include "toucanmux/request/retry-budget.h"

namespace toucanmux {

/// What the parts of one proxy process share: the configuration in force, the
/// groups, the limits and the log.
struct proxy_state {
  proxy_state(event_loop& event_source, const proxy_settings& values)
      : loop(event_source),
        settings(values),
        log(values.self, values.logs),
        proof(values.revoke_bound) {}

  upstream_group* find_group(const group_id& id) const {
    auto at = groups.find(id);
    return at != groups.end() ? at->second.get() : nullptr;
  }

  /// By the low bits of the name's stable hash, as messages of peers have it.
  upstream_group* find_group(std::uint32_t hash) const {
    auto at = std::find_if(groups.begin(), groups.end(), [&](const auto& item) {
      return item.second->hash() == hash;
    });
    return at != groups.end() ? at->second.get() : nullptr;
  }

  event_loop& loop;
  proxy_settings settings;
  journal log;
  proxy_metrics metrics;
  std::shared_ptr<const fleet_config> config =
      std::make_shared<const fleet_config>();
  config_confirmation proof;
  leader_lease leases;
  rate_ledger limits;
  retry_budget retries;  ///< Second tries of reads that have no answer.
  std::map<group_id, std::unique_ptr<upstream_group>> groups;
  bool stopping = false;  ///< Told to end.
};

}  // namespace toucanmux
