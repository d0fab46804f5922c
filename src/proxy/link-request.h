#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <optional>

#include "proxy/upstream-link.h"
#include "toucanmux/core.h"
#include "toucanmux/proxy/admission/refusal-reason.h"
#include "toucanmux/proxy/placement/upstream-choice.h"

namespace toucanmux {

/// A statement that requests an upstream connection. Destroying the request
/// removes it from the queue.
class link_request
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  virtual ~link_request() = default;
  /// Called when the request was removed from the queue. The request may use
  /// the link until it calls `release` of the link.
  virtual void on_link(upstream_link& link) = 0;
  /// Called while the request waits, when it can't be served before its
  /// deadline. The request removes itself from the queue.
  virtual void on_refused(refusal_reason reason) = 0;

  upstream_requirements requirements;
  team_id team;
  /// A link with these values is preferred.
  const session_values* values = nullptr;
  unsigned priority = 0;  ///< 0 is served first.
  instant waiting_since;
  instant deadline;  ///< A request that can't be served by then is refused.
  duration cost{0};  ///< Expected time on a connection; set by the group.
  std::uint64_t seen_in_pass = 0;  ///< Used by the queue.
  /// Set for a statement that another instance relays to this one: the only
  /// database that may be used, over a connection of this instance.
  std::optional<std::size_t> only_upstream;
};

}  // namespace toucanmux
