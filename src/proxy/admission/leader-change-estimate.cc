#include "toucanmux/proxy/admission/leader-change-estimate.h"

#include <algorithm>

#include "toucanmux/proxy/leader-lease.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;

// Examination of a suspected leader until its record is revoked.
constexpr duration examination_time = milliseconds(600);
// From the revocation until a successor is named, if all instances are
// informed; if some are not, the leases have to expire.
constexpr duration informed_change_time = milliseconds(700);
// Peers or the store confirm the leaders again at about this interval.
constexpr duration confirmation_interval = milliseconds(800);
// What remains of a stage that takes longer than usual is not known.
constexpr duration min_remaining = milliseconds(100);

duration remaining_of(duration usual, duration passed) {
  return std::max(usual - passed, min_remaining);
}

duration time_until_named(duration passed) {
  return passed < informed_change_time
             ? informed_change_time - passed
             : remaining_of(leader_lease::expiry_wait, passed);
}

}  // namespace

duration leader_change_remaining(const leader_change_state& state) {
  if (!state.lease_valid) return confirmation_interval;
  if (state.phase == leadership_phase::revoked)
    return time_until_named(state.in_phase) + state.promotion_time;
  bool being_promoted =
      state.phase == leadership_phase::named && !state.suspected;
  if (being_promoted) return remaining_of(state.promotion_time, state.in_phase);
  return remaining_of(examination_time, state.leaderless) +
         informed_change_time + state.promotion_time;
}

}  // namespace toucanmux
