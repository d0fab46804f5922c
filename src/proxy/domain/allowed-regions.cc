#include "toucanmux/proxy/domain/allowed-regions.h"

#include <algorithm>

namespace toucanmux {

void allowed_regions::restrict_to(std::span<const region_id> regions) {
  if (regions.empty()) return;
  if (!restricted_) {
    restricted_ = true;
    regions_.assign(regions.begin(), regions.end());
    return;
  }
  std::erase_if(regions_, [&](const region_id& each) {
    return std::find(regions.begin(), regions.end(), each) == regions.end();
  });
}

bool allowed_regions::allows(const region_id& region) const {
  if (!restricted_) return true;
  return !region.empty() &&
         std::find(regions_.begin(), regions_.end(), region) != regions_.end();
}

}  // namespace toucanmux
