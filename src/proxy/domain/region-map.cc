#include "toucanmux/proxy/domain/region-map.h"

namespace toucanmux {

const region_id& region_map::find(const domain_id& domain) const {
  static const region_id unknown;
  auto found = regions_.find(domain);
  return found != regions_.end() ? found->second : unknown;
}

}  // namespace toucanmux
