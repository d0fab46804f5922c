#pragma once

#include <span>

#include "toucanmux/trace.h"

namespace toucanmux {

/// Builds a decision object from the fields of its settings.
using decision_factory = std::unique_ptr<traced_decision> (*)(const fields&);

/// A decision class that traces can build, by its name in trace files.
struct decision_kind {
  std::string_view name;
  decision_factory make;
};

/// Returns all decision classes that traces can build.
std::span<const decision_kind> decision_kinds();

}  // namespace toucanmux
