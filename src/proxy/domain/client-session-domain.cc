#include "proxy/client-session.h"

namespace toucanmux {

namespace {

refusal_reason reason_of(availability obstacle) {
  switch (obstacle) {
    case availability::outside_regions:
      return refusal_reason::outside_regions;
    case availability::drained:
      return refusal_reason::domain_drained;
    case availability::not_assigned:
    case availability::budget_spent:
      return refusal_reason::warming_up;
    case availability::available:
      break;
  }
  return refusal_reason::no_database;
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
  refuse_statement(reason_of(obstacle));
}

}  // namespace toucanmux
