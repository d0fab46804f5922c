#include "proxy/placement/load-exchange.h"

#include <algorithm>
#include <array>

#include "proxy/peer-directory.h"
#include "proxy/proxy-state.h"
#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

using scope = peer_report::scope;
using source_kind = load_view::source_kind;

// A hub's bytes may grow by a tenth. The rest is left for the byte that each
// report has without loads.
constexpr double hub_share = 0.09;
// Allows the first report after a pause to carry all loads.
constexpr double max_allowance = 1024;
// How often the metrics are renewed.
constexpr duration metrics_interval = std::chrono::seconds(1);
// The source of the fleet's sums; those of instances are their names' hashes.
constexpr std::uint64_t fleet_source = 0;

}  // namespace

void load_exchange::tick() {
  if (active_ && !state_.contended) clear();
  active_ = state_.contended;
  for (const auto& [id, group] : state_.groups)
    group->update_placement(active_ ? &view_ : nullptr);
  if (active_) update_metrics();
}

void load_exchange::clear() { view_.clear(); }

std::vector<database_load> load_exchange::own_loads() const {
  std::vector<database_load> out;
  for (const auto& [id, group] : state_.groups) group->add_own_loads(out);
  return out;
}

std::optional<std::vector<database_load>> load_exchange::loads(
    scope report_scope) {
  if (!state_.contended) return {};
  auto out = own_loads();
  bool is_sum = report_scope != scope::self;
  if (is_sum)
    out = view_.sums(state_.loop.now(), out, report_scope == scope::fleet);
  // The most loaded databases matter most.
  std::stable_sort(out.begin(), out.end(),
                   [](const auto& one, const auto& other) {
                     return one.in_flight > other.in_flight;
                   });
  if (out.size() > load_list::max_size) out.resize(load_list::max_size);
  load_list list{std::move(out)};
  auto allowance = allowances_[static_cast<std::size_t>(report_scope)];
  if (is_sum && static_cast<double>(list.bytes()) > allowance) return {};
  return std::move(list.items);
}

// Each recipient gets the same bytes, so the bytes of one copy decide.
void load_exchange::record_sent(scope report_scope, std::uint64_t stamp,
                                const load_list& loads,
                                std::span<const std::string> parts) {
  if (!state_.contended) return;
  if (report_scope == scope::self) {
    if (loads.items) sent_.record(stamp, *loads.items);
    return;
  }
  std::size_t bytes = 0;
  for (const auto& part : parts) bytes += part.size();
  auto carried = static_cast<double>(loads.bytes());
  auto& allowance = allowances_[static_cast<std::size_t>(report_scope)];
  allowance += hub_share * (static_cast<double>(bytes) - carried) - carried;
  allowance = std::min(allowance, max_allowance);
}

void load_exchange::apply_instance(const peer& sender,
                                   const peer_report& report) {
  if (!state_.contended || !report.loads.items) return;
  view_.apply(state_.loop.now(), stable_hash(sender.record.id.value),
              source_kind::instance, *report.loads.items);
}

void load_exchange::apply_domain(const domain_id& domain,
                                 const peer_report& report) {
  if (!state_.contended || !report.loads.items) return;
  view_.apply(state_.loop.now(), stable_hash("*" + domain.value),
              source_kind::domain, *report.loads.items);
}

void load_exchange::apply_fleet(const peer& sender, const peer_report& report) {
  if (!state_.contended || !report.loads.items) return;
  view_.apply(state_.loop.now(), fleet_source, source_kind::fleet,
              sent_.peers_part(sender.echoed_stamp, *report.loads.items));
}

void load_exchange::update_metrics() {
  instant now = state_.loop.now();
  if (now < next_metrics_) return;
  next_metrics_ = now + metrics_interval;
  double highest = 0;
  std::size_t ejected = 0;
  for (const auto& [id, group] : state_.groups) {
    for (const auto& known : group->placement().databases())
      highest = std::max(highest, known.usable ? known.load_ratio : 0);
    ejected += group->placement().ejected(now);
  }
  auto age = view_.age(now);
  std::chrono::duration<double, std::milli> age_ms =
      age.value_or(duration{-1000});
  state_.metrics.set("load_age_ms", age_ms.count());
  state_.metrics.set("load_busiest_to_mean", highest);
  state_.metrics.set("databases_ejected", static_cast<double>(ejected));
}

}  // namespace toucanmux
