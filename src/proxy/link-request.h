#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>

#include "proxy/upstream-link.h"
#include "toucanmux/core.h"
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

  /// Called when the request was removed from the queue because the databases
  /// that could serve it may not be used any more.
  virtual void on_refused() = 0;

  upstream_requirements requirements;
  team_id team;
  /// A link with these values is preferred.
  const session_values* values = nullptr;
  unsigned priority = 0;  ///< 0 is served first.
  instant waiting_since;
};

}  // namespace toucanmux
