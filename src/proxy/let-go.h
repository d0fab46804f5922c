#pragma once

#include <algorithm>
#include <memory>

#include "proxy/event-loop.h"

namespace toucanmux {

/// Takes an item out of its owners; it lives until the end of the turn, since
/// it may be in the middle of its own call. Nothing happens if it is not there.
///
///     erase_deferred(loop, clients, client);
template <class Owners, class Item>
void erase_deferred(event_loop& loop, Owners& owners, const Item& gone) {
  using owner = typename Owners::value_type;
  auto at = std::find_if(owners.begin(), owners.end(),
                         [&](const owner& one) { return one.get() == &gone; });
  if (at == owners.end()) return;
  // A function can be copied, and not every owner can.
  auto kept = std::make_shared<owner>(std::move(*at));
  owners.erase(at);
  loop.defer([kept] {});
}

}  // namespace toucanmux
