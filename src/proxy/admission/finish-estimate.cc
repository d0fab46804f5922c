#include "toucanmux/proxy/admission/finish-estimate.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Databases that don't answer are probed again within this time.
constexpr duration unserved_wait = std::chrono::seconds(1);
constexpr duration min_response_time = std::chrono::milliseconds(1);

// Time until a lane is free. Lanes end their statements one after the other, so
// one of them is free after a part of the usual time.
duration time_to_free_lane(const serving_state& state, duration response_time) {
  if (state.running < state.lanes) return duration{0};
  auto statements = state.running - state.lanes + 1;
  return response_time * static_cast<duration::rep>(statements) /
         static_cast<duration::rep>(state.lanes);
}

}  // namespace

finish_estimate::finish_estimate(const serving_state& state) {
  auto response_time = std::max(state.response_time, min_response_time);
  if (state.lanes == 0) {
    wait_ = unserved_wait + state.open_time;
  } else {
    wait_ = time_to_free_lane(state, response_time) +
            state.work_ahead / static_cast<duration::rep>(state.lanes) +
            state.open_time;
  }
  finish_ = wait_ + response_time;
}

}  // namespace toucanmux
