#pragma once

#include <span>
#include <vector>

#include "toucanmux/proxy/domain/region-id.h"

namespace toucanmux {

/// The regions in which the statements of one operation may run.
class allowed_regions {
 public:
  /// Allows only what is also in this list. An empty list restricts nothing.
  void restrict_to(std::span<const region_id> regions);
  bool restricted() const { return restricted_; }
  /// A region that is not known (empty) is outside of every restriction.
  bool allows(const region_id& region) const;

 private:
  bool restricted_ = false;
  std::vector<region_id> regions_;
};

}  // namespace toucanmux
