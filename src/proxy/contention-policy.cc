#include "toucanmux/proxy/contention-policy.h"

namespace toucanmux {

namespace {

// The largest fleet in which all instances report to each other, this instance
// included.
constexpr std::size_t max_mesh_instances = 33;
// With fewer teams for each connection, most statements find one of their team.
constexpr std::size_t teams_per_connection = 8;

}  // namespace

bool is_contended(const contention_inputs& inputs) {
  if (inputs.pressure) return true;
  bool is_mesh = inputs.known_instances <= max_mesh_instances;
  return is_mesh &&
         inputs.teams > teams_per_connection * inputs.connection_share;
}

}  // namespace toucanmux
