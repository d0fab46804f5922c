#include "toucanmux/proxy/config-reads.h"

namespace toucanmux {

namespace {

// A hub reads every 0.8 s and reports every 0.4 s.
constexpr duration proof_wait = std::chrono::milliseconds(1200);

}  // namespace

std::optional<read_consistency> config_reads::due(instant now,
                                                  const situation& at) const {
  if (!at.proven) {
    if (absent_) return read_consistency::stale;
    bool waits = at.peer_reads && now - found_at_ < proof_wait;
    return waits ? std::nullopt : std::optional(read_consistency::linearizable);
  }
  if (at.proof_age >= at.interval) return read_consistency::linearizable;
  if (!at.newer_elsewhere) return std::nullopt;
  return behind_ ? read_consistency::linearizable : read_consistency::stale;
}

void config_reads::found(instant now, read_consistency age,
                         bool newer_elsewhere) {
  if (absent_) found_at_ = now;
  absent_ = false;
  behind_ = age == read_consistency::stale && newer_elsewhere;
}

}  // namespace toucanmux
