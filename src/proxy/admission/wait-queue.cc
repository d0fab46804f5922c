#include "proxy/admission/wait-queue.h"

#include <algorithm>

namespace toucanmux {

namespace {

waiting_statement describe(const link_request& request) {
  return {request.priority, request.team.value, request.deadline, request.cost};
}

bool may_use(const link_request& request, std::size_t upstream,
             bool is_leader) {
  if (request.requirements.leader_only && !is_leader) return false;
  return (request.requirements.excluded >> (upstream % 64) & 1U) == 0;
}

}  // namespace

void wait_queue::push(link_request& request) { queue_.push_back(request); }

std::size_t wait_queue::size() const {
  return static_cast<std::size_t>(std::distance(queue_.begin(), queue_.end()));
}

void wait_queue::sort() {
  bool has_order = queue_.empty() || std::next(queue_.begin()) == queue_.end();
  if (has_order) return;
  std::vector<link_request*> requests;
  std::vector<waiting_statement> statements;
  for (auto& request : queue_) {
    requests.push_back(&request);
    statements.push_back(describe(request));
  }
  for (auto index : order_.sort(statements)) {
    requests[index]->unlink();
    queue_.push_back(*requests[index]);
  }
}

void wait_queue::record_start(const link_request& request, duration cost) {
  order_.record_start(request.priority, request.team.value, cost);
}

std::vector<const link_request*> wait_queue::served_before(
    const link_request& request) const {
  std::vector<const link_request*> requests;
  std::vector<waiting_statement> statements;
  auto add = [&](const link_request& each) {
    requests.push_back(&each);
    statements.push_back(describe(each));
  };
  for (const auto& queued : queue_) {
    if (&queued != &request) add(queued);
  }
  add(request);
  std::vector<const link_request*> out;
  for (auto index : order_.sort(statements)) {
    if (requests[index] == &request) break;
    out.push_back(requests[index]);
  }
  return out;
}

// A request of the same priority that arrives later claims nothing from those
// of other teams: they open connections side by side.
wait_queue::claims wait_queue::claims_before(const link_request& request,
                                             std::size_t upstream,
                                             bool is_leader) const {
  claims out;
  for (const auto& queued : queue_) {
    if (out.link && out.place) break;
    if (&queued == &request || !may_use(queued, upstream, is_leader)) continue;
    bool same_team = queued.team == request.team;
    if (queued.priority < request.priority) {
      out.place = true;
      out.link = out.link || same_team;
    } else if (queued.priority == request.priority && !request.is_linked()) {
      out.link = out.link || same_team;
    }
  }
  return out;
}

}  // namespace toucanmux
