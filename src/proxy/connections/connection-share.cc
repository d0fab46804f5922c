#include "toucanmux/proxy/connections/connection-share.h"

#include <algorithm>

#include "toucanmux/process/rendezvous.h"

namespace toucanmux {

namespace {

// One in 6 connections is left free for times in which instances see different
// members.
constexpr unsigned spare_divisor = 6;

// With a smaller share an instance could not serve two teams alternately.
constexpr unsigned min_share = 2;
// A borrowing instance may open one in 16 connections of the limit, so that a
// single busy instance leaves room for its peers.
constexpr unsigned borrowed_divisor = 16;
constexpr unsigned min_borrowed = 2;

}  // namespace

unsigned usable_connections(unsigned max_connections) {
  return max_connections - max_connections / spare_divisor;
}

unsigned borrowed_limit(unsigned max_connections) {
  return std::max(max_connections / borrowed_divisor, min_borrowed);
}

unsigned connection_quotient(unsigned members, unsigned max_connections) {
  return usable_connections(max_connections) / std::max(members, 1U);
}

unsigned connection_share(const member_id& self,
                          std::span<const member_id> members,
                          std::string_view upstream, unsigned max_connections) {
  unsigned usable = usable_connections(max_connections);
  auto count = static_cast<unsigned>(std::max<std::size_t>(members.size(), 1));
  unsigned quotient = usable / count;
  unsigned remainder = usable % count;
  if (remainder == 0) return quotient;
  return quotient + (owns(self, upstream, members, remainder) ? 1 : 0);
}

connection_allowance compute_allowance(const member_id& self,
                                       std::span<const member_id> members,
                                       std::string_view upstream,
                                       unsigned max_connections) {
  connection_allowance out;
  auto usable = usable_connections(max_connections);
  out.borrows = members.size() * min_share > usable;
  if (!out.borrows) {
    out.share = connection_share(self, members, upstream, max_connections);
    out.limit = out.share;
    return out;
  }
  // The remainder is not distributed: it does not matter for borrowing, and
  // ranking hundreds of instances for each of hundreds of databases takes
  // long.
  out.share = usable / static_cast<unsigned>(members.size());
  out.limit = borrowed_limit(max_connections);
  return out;
}

}  // namespace toucanmux
