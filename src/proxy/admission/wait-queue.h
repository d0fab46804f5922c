#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "proxy/link-request.h"
#include "toucanmux/proxy/admission/fair-order.h"

namespace toucanmux {

/// The queue of statements that wait for a connection to a database group. A
/// request leaves the queue by `unlink` or by its destruction. The order is
/// that of `fair_order`.
class wait_queue {
 public:
  /// What more urgent waiting requests need at one database.
  struct claims {
    bool link = false;   ///< A connection of the same team.
    bool place = false;  ///< Any connection, or the place of a new one.
  };

  void push(link_request& request);
  bool empty() const { return queue_.empty(); }
  std::size_t size() const;

  /// Offers connections to the requests in their order. `acquire` returns a
  /// connection for the request, or null.
  template <class Acquire>
  void serve(const Acquire& acquire);
  /// Calls `visit` for each request in the order of service. `visit` may remove
  /// the request that it is called for.
  template <class Visit>
  void for_each(const Visit& visit);

  /// Accounts for a request that gets a connection, whether it has waited or
  /// not.
  /// @param cost the expected time on the connection.
  void record_start(const link_request& request, duration cost);
  /// The requests that are to be served before this one, which may be in the
  /// queue.
  std::vector<const link_request*> served_before(
      const link_request& request) const;
  /// What the requests that are to be served before this one need at a
  /// database.
  claims claims_before(const link_request& request, std::size_t upstream,
                       bool is_leader) const;

 private:
  using request_list =
      boost::intrusive::list<link_request,
                             boost::intrusive::constant_time_size<false>>;

  void sort();

  request_list queue_;
  fair_order order_;
  std::uint64_t pass_ = 0;
  bool serving_ = false;
};

// Serving a request may remove others, so the pass starts again at the front
// after each one and skips the requests that it has seen.
template <class Acquire>
void wait_queue::serve(const Acquire& acquire) {
  if (serving_) return;
  serving_ = true;
  sort();
  ++pass_;
  for (auto next = queue_.begin(); next != queue_.end();) {
    link_request& request = *next++;
    if (request.seen_in_pass == pass_) continue;
    request.seen_in_pass = pass_;
    upstream_link* link = acquire(request);
    if (!link) continue;
    request.unlink();
    request.on_link(*link);
    next = queue_.begin();
  }
  serving_ = false;
}

template <class Visit>
void wait_queue::for_each(const Visit& visit) {
  sort();
  for (auto next = queue_.begin(); next != queue_.end();) visit(*next++);
}

}  // namespace toucanmux
