#pragma once

#include <span>
#include <string_view>

#include "toucanmux/core.h"

namespace toucanmux {

/// The instances among which a cold database's statements are divided.
struct warm_up_fleet {
  /// All known instances, this one included, alive or not.
  std::span<const member_id> known;
  /// The larger of the numbers of registered and of live instances, as far as
  /// known here; 0 while the instances are not known.
  std::size_t size = 0;
};

/// How many statements in any second this instance may send to a cold database.
/// @param allowance statements in any second from all instances together.
unsigned warm_up_share(const member_id& self, const warm_up_fleet& fleet,
                       std::string_view database, double allowance);

}  // namespace toucanmux
