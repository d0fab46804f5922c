#pragma once

#include <map>

#include "connection/http-message.h"
#include "toucanmux/connection/link-message.h"
#include "toucanmux/process/member.h"
#include "version/fleet-view.h"

namespace toucanmux {

/// State of a process as JSON on one line: its name, the active versions of the
/// lists, the number of pools that it knows and its view of the groups.
/// @param hints states of groups that replace the view's; may be empty.
http_response make_status_page(const member& self, const fleet_view& view,
                               bool ready,
                               const std::map<group_id, group_hint>& hints);

}  // namespace toucanmux
