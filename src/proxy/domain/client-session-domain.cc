#include "proxy/client-session.h"

namespace toucanmux {

namespace {

// Retry delay sent to callers during a leader change, which takes about 1 s.
constexpr duration unavailable_retry_after = std::chrono::milliseconds(400);

std::string_view reason_of(availability obstacle) {
  switch (obstacle) {
    case availability::outside_regions:
      return "no database in an allowed region can serve this now";
    case availability::drained:
      return "the failure domain is drained";
    case availability::not_assigned:
    case availability::budget_spent:
      return "the database warms up";
    case availability::available:
      break;
  }
  return "no database can serve this now";
}

}  // namespace

// The regions stay the same for the whole operation, as its route does.
void client_session::limit_regions(const team_plan* plan) {
  regions_ = {};
  regions_.restrict_to(route_.allowed_regions);
  if (plan) regions_.restrict_to(plan->allowed_regions);
}

void client_session::refuse_unservable(const upstream_group& group) {
  auto obstacle = group.obstacle(requirements);
  if (obstacle == availability::outside_regions) ++state_.residency_refusals;
  fail_statement(wire::failure_kind::busy, reason_of(obstacle),
                 unavailable_retry_after);
}

void client_session::on_refused() {
  session_ptr keep(this);
  if (const upstream_group* group = state_.find_group(route_.group))
    return refuse_unservable(*group);
  fail_statement(wire::failure_kind::busy, "no such group here");
}

}  // namespace toucanmux
