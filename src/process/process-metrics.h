#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <mutex>
#include <unordered_map>

#include "process/control-bus.h"
#include "process/platform-client.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

/// Counts finished statements by outcome, reason and use of a replica.
/// Thread-safe.
class statement_metrics {
 public:
  explicit statement_metrics(prometheus::Registry& registry);

  void count(outcome_code result, reason_code cause, bool from_replica);

 private:
  prometheus::Family<prometheus::Counter>& statement_counters_;
  std::mutex mutex_;
  std::unordered_map<std::uint32_t, prometheus::Counter*> counters_by_outcome_;
};

/// Metrics of the control traffic of a process. Lives on the control thread.
class control_metrics {
 public:
  explicit control_metrics(prometheus::Registry& registry);

  /// Sets the gauges to the current values; called before they are served.
  void update(const control_bus& bus, const platform_client& platform);

 private:
  prometheus::Gauge& sent_bytes_;
  prometheus::Gauge& dropped_datagrams_;
  prometheus::Gauge& platform_calls_;
};

}  // namespace toucanmux
