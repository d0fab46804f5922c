#include "proxy/proxy-metrics.h"

#include <prometheus/text_serializer.h>

namespace toucanmux {

namespace {

constexpr std::array<std::string_view, 3> route_names{"leader", "bounded",
                                                      "session"};
constexpr std::array<std::string_view, 15> failure_names{
    "busy",        "aborted",          "behind",
    "not_leader",  "wrong_upstream",   "too_many",
    "failed",      "timed_out",        "outcome_unknown",
    "unknown_key", "unknown_database", "unknown_prepared",
    "too_big",     "bad_statement",    "other"};

// In seconds; the usual ones of Prometheus, so that programs can be compared.
const prometheus::Histogram::BucketBoundaries latency_buckets{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

}  // namespace

proxy_metrics::proxy_metrics()
    : refused_family_(prometheus::BuildCounter()
                          .Name("toucanmux_statements_refused_total")
                          .Help("Statements that ended without success.")
                          .Register(registry_)),
      latency_family_(prometheus::BuildHistogram()
                          .Name("toucanmux_statement_seconds")
                          .Help("Time from a statement to its answer.")
                          .Register(registry_)),
      gauge_family_(prometheus::BuildGauge()
                        .Name("toucanmux_state")
                        .Help("Current values of this process.")
                        .Register(registry_)),
      refusals_(registry_) {}

void proxy_metrics::count_served(route_kind kind, duration latency) {
  auto index = static_cast<std::size_t>(kind);
  if (!latency_histograms_[index]) {
    latency_histograms_[index] = &latency_family_.Add(
        {{"route", std::string(route_names[index])}}, latency_buckets);
  }
  latency_histograms_[index]->Observe(
      std::chrono::duration<double>(latency).count());
}

void proxy_metrics::count_refused(wire::failure_kind failure) {
  auto index = static_cast<std::size_t>(failure);
  if (!refused_counters_[index]) {
    refused_counters_[index] =
        &refused_family_.Add({{"reason", std::string(failure_names[index])}});
  }
  refused_counters_[index]->Increment();
}

void proxy_metrics::set(std::string_view name, double value) {
  gauge_family_.Add({{"name", std::string(name)}}).Set(value);
}

std::string proxy_metrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace toucanmux
