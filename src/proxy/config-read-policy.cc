#include "toucanmux/proxy/config-read-policy.h"

#include <algorithm>

namespace toucanmux {

namespace {

// A hub reads every 0.8 s and reports every 0.4 s.
constexpr duration peer_confirmation_timeout = std::chrono::milliseconds(1200);

}  // namespace

std::optional<read_consistency> config_read_policy::due_read(
    instant now, const situation& current) const {
  if (!current.confirmed) {
    if (absent_) return read_consistency::stale;
    bool nothing_to_confirm = found_ && current.confirmable_for < duration{0};
    if (nothing_to_confirm) {
      return current.peer_has_newer ? std::optional(read_consistency::stale)
                                    : std::nullopt;
    }
    bool await_peer =
        current.peer_confirms && first_found_at_ &&
        std::min(now - *first_found_at_, current.confirmable_for) <
            peer_confirmation_timeout;
    return await_peer ? std::nullopt
                      : std::optional(read_consistency::linearizable);
  }
  if (current.confirmation_age >= current.max_age)
    return read_consistency::linearizable;
  if (!current.peer_has_newer) return std::nullopt;
  return stale_read_lagged_ ? read_consistency::linearizable
                            : read_consistency::stale;
}

void config_read_policy::record_read(instant now, read_consistency consistency,
                                     bool peer_has_newer) {
  if (absent_) first_found_at_ = now;
  absent_ = false;
  found_ = true;
  stale_read_lagged_ = consistency == read_consistency::stale && peer_has_newer;
}

}  // namespace toucanmux
