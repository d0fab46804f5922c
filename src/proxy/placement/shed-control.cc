#include "toucanmux/proxy/placement/shed-control.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Reads stay while the database's load is below this multiple of the mean; well
// below the 1.3 that it must not exceed, and above the usual random
// differences.
constexpr double tolerated_ratio = 1.12;
// Change of the share in a second for a load that exceeds the tolerated one by
// the mean. Slower than reports arrive, so that random differences move few
// reads between the domains.
constexpr double gain = 0.5;
// So that one late update does not move all reads at once.
constexpr double max_excess = 0.8;
constexpr duration max_step = std::chrono::seconds(1);

}  // namespace

void shed_control::update(instant now, std::span<const database_ratio> group) {
  std::chrono::duration<double> elapsed =
      std::clamp<duration>(now - updated_at_, duration{0}, max_step);
  updated_at_ = now;
  for (const auto& item : group) {
    auto excess =
        std::clamp(item.load_ratio - tolerated_ratio, -max_excess, max_excess);
    double& share = shares_[item.database];
    share = std::clamp(share + gain * excess * elapsed.count(), 0.0, 1.0);
  }
}

double shed_control::shed_share(std::uint32_t database) const {
  auto found = shares_.find(database);
  return found != shares_.end() ? found->second : 0;
}

}  // namespace toucanmux
