#pragma once

#include <cstddef>

namespace toucanmux {

/// What decides whether a deployment is contended.
struct contention_inputs {
  /// The settings list the rules for operation under pressure.
  bool pressure = false;
  std::size_t known_instances = 0;  ///< By the store's records; includes self.
  std::size_t teams = 0;
  /// The smallest share of a database's connections that an instance has.
  unsigned connection_share = 0;
};

/// Whether teams compete for connections to such an extent that instances share
/// them and balance load by each other's reports. That costs most statements
/// another hop, and each report a list of loads.
bool is_contended(const contention_inputs& inputs);

}  // namespace toucanmux
