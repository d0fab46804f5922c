#include "toucanmux/proxy/connection-share.h"

#include <algorithm>

#include "toucanmux/process/rendezvous.h"

namespace toucanmux {

namespace {

// Connections left free for the moment in which views of the members differ.
constexpr unsigned spare_part = 6;

// With fewer of its own an instance could not serve two teams in turn.
constexpr unsigned least_share = 2;
// What one instance may borrow: a part of the limit, so that a single busy
// instance leaves room for the others.
constexpr unsigned borrowed_part = 16;
constexpr unsigned least_borrowed = 2;

unsigned usable_connections(unsigned max_connections) {
  return max_connections - max_connections / spare_part;
}

}  // namespace

unsigned connection_share(const member_id& self,
                          std::span<const member_id> members,
                          std::string_view upstream, unsigned max_connections) {
  unsigned usable = usable_connections(max_connections);
  auto count = static_cast<unsigned>(std::max<std::size_t>(members.size(), 1));
  unsigned each = usable / count;
  unsigned rest = usable % count;
  if (rest == 0) return each;
  return each + (owns(self, upstream, members, rest) ? 1 : 0);
}

connection_allowance compute_allowance(const member_id& self,
                                       std::span<const member_id> members,
                                       std::string_view upstream,
                                       unsigned max_connections) {
  connection_allowance out;
  auto usable = usable_connections(max_connections);
  out.borrows = members.size() * least_share > usable;
  if (!out.borrows) {
    out.share = connection_share(self, members, upstream, max_connections);
    out.limit = out.share;
    return out;
  }
  // Whose share is larger by one does not matter then, and ranking hundreds of
  // instances at each of hundreds of databases would take long.
  out.share = usable / static_cast<unsigned>(members.size());
  out.limit = std::max(max_connections / borrowed_part, least_borrowed);
  return out;
}

}  // namespace toucanmux
