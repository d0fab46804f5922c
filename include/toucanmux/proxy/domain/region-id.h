#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// Identifies a region: one or more failure domains under the same law.
using region_id = name<struct region_tag>;

}  // namespace toucanmux
