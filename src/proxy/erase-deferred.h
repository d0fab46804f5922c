#pragma once

#include <algorithm>
#include <memory>

#include "proxy/event-loop.h"

namespace toucanmux {

/// Removes an item from a container of owning pointers and destroys it at the
/// end of the event loop's turn, because one of its own functions may be
/// running. No effect if the container does not own the item.
///
///     erase_deferred(loop, clients, client);
template <class Owners, class Item>
void erase_deferred(event_loop& loop, Owners& owners, const Item& item) {
  using owner = typename Owners::value_type;
  auto at = std::find_if(owners.begin(), owners.end(),
                         [&](const owner& one) { return one.get() == &item; });
  if (at == owners.end()) return;
  // A std::function must be copyable, and not every owner is.
  auto kept = std::make_shared<owner>(std::move(*at));
  owners.erase(at);
  loop.defer([kept] {});
}

}  // namespace toucanmux
