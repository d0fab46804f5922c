#include "toucanmux/proxy/waiting-rule.h"

#include <algorithm>

namespace toucanmux {

namespace {

// Of a line that nothing serves at present.
constexpr duration unserved_wait = std::chrono::seconds(1);
constexpr duration least_response = std::chrono::milliseconds(1);

}  // namespace

duration expected_wait(const queue_state& line) {
  if (line.connections == 0) return unserved_wait;
  auto each = std::max(line.response_time, least_response);
  auto ahead = static_cast<duration::rep>(line.statements_ahead);
  return each * ahead / static_cast<duration::rep>(line.connections);
}

admission_decision queue_admission::decide(instant now,
                                           const admission_request& what,
                                           const queue_state& line) const {
  double share =
      what.is_retry ? settings_.retry_wait_share : settings_.first_wait_share;
  auto most = std::chrono::duration_cast<duration>(what.latency_goal * share);
  admission_decision out;
  out.wait_deadline =
      std::min(what.deadline, (what.is_retry ? now : what.arrived_at) + most);
  auto wait = expected_wait(line);
  out.admitted = now + wait <= out.wait_deadline;
  if (!out.admitted) out.retry_after = wait;
  return out;
}

}  // namespace toucanmux
