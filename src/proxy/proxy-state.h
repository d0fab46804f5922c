#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include "proxy/event-loop.h"
#include "proxy/journal.h"
#include "proxy/proxy-metrics.h"
#include "proxy/proxy-settings.h"
#include "proxy/unreadable-log.h"
#include "proxy/upstream-group.h"
#include "toucanmux/process/stop-schedule.h"
#include "toucanmux/proxy/config-confirmation.h"
#include "toucanmux/proxy/domain/domain-rules.h"
#include "toucanmux/proxy/fleet-config.h"
#include "toucanmux/proxy/leader-lease.h"
#include "toucanmux/proxy/list-confirmation.h"
#include "toucanmux/proxy/rate-ledger.h"
#include "toucanmux/proxy/store-contact.h"
#include "toucanmux/proxy/store-generation.h"
#include "toucanmux/request/retry-budget.h"

namespace toucanmux {

/// The state that the components of one proxy process share: the active
/// configuration, the groups, the rate limits and the log.
struct proxy_state {
  proxy_state(event_loop& process_loop, const proxy_settings& values)
      : loop(process_loop),
        settings(values),
        log(values.self, values.log_enabled),
        unreadable(log),
        confirmation(values.revocation_timeout) {
    domains.regions = values.regions;
    domains.warm_up_excess = values.warm_up_excess;
    domains.warm_up_margin = values.warm_up_margin;
    if (values.domain_drain_timeout > duration{0}) domains.drained.follow();
  }

  upstream_group* find_group(const group_id& id) const {
    auto found = groups.find(id);
    return found != groups.end() ? found->second.get() : nullptr;
  }

  /// Finds a group by the stable hash of its name, truncated to 32 bits, which
  /// identifies it in peer messages.
  upstream_group* find_group(std::uint32_t hash) const {
    auto found = std::find_if(
        groups.begin(), groups.end(),
        [&](const auto& item) { return item.second->hash() == hash; });
    return found != groups.end() ? found->second.get() : nullptr;
  }

  event_loop& loop;
  proxy_settings settings;
  journal log;
  unreadable_log unreadable;
  proxy_metrics metrics;
  std::shared_ptr<const fleet_config> config =
      std::make_shared<const fleet_config>();
  store_generation store;
  store_contact contact;  ///< Of this instance's own calls to the store.
  config_confirmation confirmation;
  list_confirmation upstream_confirmation;
  domain_rules domains;
  std::uint64_t residency_refusals = 0;  ///< Statements refused for regions.
  leader_lease leader_leases;
  promotion_time promotions;
  rate_ledger rate_limits;
  retry_budget read_retries;  ///< For reads that failed or were not
                              ///< answered in time.
  std::map<group_id, std::unique_ptr<upstream_group>> groups;
  std::uint64_t answers_cut = 0;  ///< Answers that were not sent whole.
  bool contended = false;         ///< By `is_contended`.
  bool stopping = false;          ///< A signal asked the process to stop.
  stop_schedule stop;             ///< Begins with that signal.
};

}  // namespace toucanmux
