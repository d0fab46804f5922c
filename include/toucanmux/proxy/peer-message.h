#pragma once

#include <variant>

#include "toucanmux/proxy/hub-notice.h"
#include "toucanmux/proxy/peer-report.h"
#include "toucanmux/proxy/position-messages.h"
#include "toucanmux/proxy/upstream-update.h"

namespace toucanmux {

/// The messages between proxy instances.
using peer_message = std::variant<peer_report, position_request, position_reply,
                                  upstream_update, hub_notice>;

}  // namespace toucanmux
