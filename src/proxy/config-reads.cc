#include "toucanmux/proxy/config-reads.h"

namespace toucanmux {

namespace {

// A hub reads every 0.8 s and reports every 0.4 s.
constexpr duration proof_wait = std::chrono::milliseconds(1200);

}  // namespace

std::optional<read_age> config_reads::due(instant now,
                                          const situation& at) const {
  if (!at.proven) {
    if (absent_) return read_age::seconds_old;
    bool waits = at.peer_reads && now - found_at_ < proof_wait;
    return waits ? std::nullopt : std::optional(read_age::newest);
  }
  if (at.proof_age >= at.interval) return read_age::newest;
  if (!at.newer_elsewhere) return std::nullopt;
  return behind_ ? read_age::newest : read_age::seconds_old;
}

void config_reads::found(instant now, read_age age, bool newer_elsewhere) {
  if (absent_) found_at_ = now;
  absent_ = false;
  behind_ = age == read_age::seconds_old && newer_elsewhere;
}

}  // namespace toucanmux
