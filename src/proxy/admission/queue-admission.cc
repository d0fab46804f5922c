#include "toucanmux/proxy/admission/queue-admission.h"

#include <algorithm>

namespace toucanmux {

namespace {

// The estimate while no connection serves the queue.
constexpr duration unserved_queue_wait = std::chrono::seconds(1);
constexpr duration min_response_time = std::chrono::milliseconds(1);

}  // namespace

duration expected_wait(const queue_state& queue) {
  if (queue.connections == 0) return unserved_queue_wait;
  auto response_time = std::max(queue.response_time, min_response_time);
  auto statements_ahead = static_cast<duration::rep>(queue.statements_ahead);
  return response_time * statements_ahead /
         static_cast<duration::rep>(queue.connections);
}

admission_decision queue_admission::decide(instant now,
                                           const admission_request& request,
                                           const queue_state& queue) const {
  double share = request.is_retry ? settings_.retry_wait_share
                                  : settings_.first_wait_share;
  auto max_wait =
      std::chrono::duration_cast<duration>(request.latency_goal * share);
  admission_decision out;
  out.wait_deadline =
      std::min(request.deadline,
               (request.is_retry ? now : request.arrived_at) + max_wait);
  auto estimated_wait = expected_wait(queue);
  out.admitted = now + estimated_wait <= out.wait_deadline;
  if (!out.admitted) out.retry_after = estimated_wait;
  return out;
}

}  // namespace toucanmux
