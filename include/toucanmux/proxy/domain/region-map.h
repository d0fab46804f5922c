#pragma once

#include <map>

#include "toucanmux/proxy/domain/region-id.h"

namespace toucanmux {

/// The region of each failure domain.
class region_map {
 public:
  void add(const domain_id& domain, const region_id& region) {
    regions_.try_emplace(domain, region);
  }
  /// The domain's region; empty if it is not known.
  const region_id& find(const domain_id& domain) const;
  bool has(const domain_id& domain) const { return regions_.contains(domain); }

 private:
  std::map<domain_id, region_id> regions_;
};

}  // namespace toucanmux
