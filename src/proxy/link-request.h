#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>

#include "proxy/upstream-link.h"
#include "toucanmux/core.h"
#include "toucanmux/proxy/upstream-choice.h"

namespace toucanmux {

/// A statement that looks for a connection. It leaves the line when it is
/// destroyed.
class link_request
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  virtual ~link_request() = default;
  /// The request has left the line; the link is its to use.
  virtual void on_link(upstream_link& link) = 0;

  upstream_requirements requirements;
  team_id team;
  const session_values* values = nullptr;  ///< To find a link that fits.
  unsigned priority = 0;                   ///< 0 goes first.
  instant waiting_since;
};

}  // namespace toucanmux
