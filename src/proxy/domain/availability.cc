#include "toucanmux/proxy/domain/availability.h"

#include "toucanmux/proxy/domain/allowed-regions.h"
#include "toucanmux/proxy/domain/drained-domains.h"
#include "toucanmux/proxy/domain/region-map.h"
#include "toucanmux/proxy/domain/warm-up.h"

namespace toucanmux {

availability assess_availability(instant now,
                                 const availability_inputs& inputs) {
  const auto& domain = inputs.entry.domain;
  bool allowed =
      !inputs.allowed || inputs.allowed->allows(inputs.regions.find(domain));
  if (!allowed) return availability::outside_regions;
  if (inputs.drained.contains(domain)) return availability::drained;
  if (!inputs.budget.usable(now)) return availability::not_assigned;
  return inputs.budget.left(now) == 0U ? availability::budget_spent
                                       : availability::available;
}

}  // namespace toucanmux
