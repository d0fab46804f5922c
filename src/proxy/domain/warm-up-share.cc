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
  // Instances that are not known here may all come before this one. So each
  // instance that chooses itself is also among the first of all instances.
  auto unknown = size - fleet.known.size();
  if (unknown >= whole) return 0;
  return owns(self, database, fleet.known, whole - unknown) ? 1 : 0;
}

}  // namespace toucanmux
