#include "process/process-metrics.h"

#include <string>

namespace toucanmux {

namespace {

prometheus::Gauge& make_gauge(prometheus::Registry& registry,
                              const std::string& name,
                              const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

std::uint32_t key_of(outcome_code result, reason_code cause,
                     bool from_replica) {
  return static_cast<std::uint32_t>(result) << 16U |
         static_cast<std::uint32_t>(cause) << 8U |
         static_cast<std::uint32_t>(from_replica);
}

}  // namespace

statement_metrics::statement_metrics(prometheus::Registry& registry)
    : statement_counters_(prometheus::BuildCounter()
                              .Name("toucanmux_statements_total")
                              .Help("Statements by outcome and reason.")
                              .Register(registry)) {}

void statement_metrics::count(outcome_code result, reason_code cause,
                              bool from_replica) {
  std::lock_guard lock(mutex_);
  auto& counter = counters_by_outcome_[key_of(result, cause, from_replica)];
  if (counter == nullptr) {
    counter =
        &statement_counters_.Add({{"outcome", std::string(to_string(result))},
                                  {"reason", std::string(to_string(cause))},
                                  {"replica", from_replica ? "yes" : "no"}});
  }
  counter->Increment();
}

control_metrics::control_metrics(prometheus::Registry& registry)
    : sent_bytes_(make_gauge(registry, "toucanmux_control_sent_bytes",
                             "Datagram bytes sent to other members.")),
      dropped_datagrams_(make_gauge(
          registry, "toucanmux_control_dropped_datagrams",
          "Received datagrams that were invalid or of another version.")),
      platform_calls_(make_gauge(registry, "toucanmux_platform_calls",
                                 "Calls to the platform's object API.")) {}

void control_metrics::update(const control_bus& bus,
                             const platform_client& platform) {
  sent_bytes_.Set(static_cast<double>(bus.sent_bytes()));
  dropped_datagrams_.Set(static_cast<double>(bus.dropped_datagrams()));
  platform_calls_.Set(static_cast<double>(platform.calls()));
}

}  // namespace toucanmux
