#pragma once

#include <optional>

#include "toucanmux/core.h"

namespace toucanmux {

/// What the decision to read the list of drained domains depends on.
struct drained_list_situation {
  bool read_once = false;       ///< Since the start of this process.
  bool is_reader = false;       ///< For its failure domain.
  std::optional<duration> age;  ///< Since the list was known to be current.
  duration reader_silence{0};   ///< Since the reader reported a list.
};

/// Whether an instance reads the list of drained domains now.
/// @param bound within which a drain has to take effect.
bool drained_list_due(const drained_list_situation& situation, duration bound);

}  // namespace toucanmux
