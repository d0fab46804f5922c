#include "toucanmux/proxy/placement/sent-loads.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Several times the number of reports that are sent before a hub counts as
// silent.
constexpr std::size_t max_kept_reports = 16;

}  // namespace

void sent_loads::record(std::uint64_t stamp,
                        std::span<const database_load> own) {
  // The sums are made of what the hub decodes, which is rounded.
  sent_report report{stamp, {}};
  for (const auto& load : own)
    report.loads.push_back(database_load::unpack(load.packed()));
  reports_.push_front(std::move(report));
  if (reports_.size() > max_kept_reports) reports_.pop_back();
}

std::vector<database_load> sent_loads::peers_part(
    std::uint64_t acked_stamp, std::span<const database_load> fleet) const {
  std::vector<database_load> out(fleet.begin(), fleet.end());
  auto acked = std::find_if(
      reports_.begin(), reports_.end(),
      [&](const auto& report) { return report.stamp <= acked_stamp; });
  if (acked == reports_.end()) return out;
  for (auto& sum : out) {
    for (const auto& part : acked->loads) {
      if (part.database == sum.database) subtract_load(sum, part);
    }
  }
  return out;
}

}  // namespace toucanmux
