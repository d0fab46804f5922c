#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <string>

#include "proxy/admission/refusal-counter.h"
#include "proxy/wire.h"
#include "toucanmux/core.h"
#include "toucanmux/proxy/route.h"

namespace toucanmux {

/// The metrics of one proxy process. Used by one thread only.
class proxy_metrics {
 public:
  proxy_metrics();

  void count_served(route_kind kind, duration latency);
  void count_refused(wire::failure_kind failure);
  refusal_counter& refusals() { return refusals_; }
  /// Sets the gauge `toucanmux_state` with the label `name`.
  void set(std::string_view name, double value);
  /// All metrics in the Prometheus text format.
  std::string text() const;

 private:
  static constexpr std::size_t max_failure_kinds = 16;

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& refused_family_;
  prometheus::Family<prometheus::Histogram>& latency_family_;
  prometheus::Family<prometheus::Gauge>& gauge_family_;
  refusal_counter refusals_;
  std::array<prometheus::Counter*, max_failure_kinds> refused_counters_{};
  std::array<prometheus::Histogram*, 3> latency_histograms_{};
};

}  // namespace toucanmux
