#include "toucanmux/proxy/domain/warm-up-share.h"

#include <algorithm>

#include "toucanmux/process/rendezvous.h"

namespace toucanmux {

namespace {

// Bounds the conversion of an operator's figure to an integer.
constexpr double max_allowance = 1e6;

}  // namespace

// The remainder of the division is not given out: instances with different
// views would give it to different ones.
unsigned warm_up_share(const member_id& self, const warm_up_fleet& fleet,
                       std::string_view database, double allowance) {
  auto size = std::max(fleet.size, fleet.known.size());
  if (fleet.size == 0 || !(allowance >= 1)) return 0;
  auto whole = static_cast<std::size_t>(std::min(allowance, max_allowance));
  if (whole >= size) return static_cast<unsigned>(whole / size);
  // Of the instances that are not known here, as large a part is chosen.
  auto chosen = whole * fleet.known.size() / size;
  return owns(self, database, fleet.known, chosen) ? 1 : 0;
}

}  // namespace toucanmux
