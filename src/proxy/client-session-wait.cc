#include "proxy/client-session.h"
#include "toucanmux/hash.h"
#include "toucanmux/proxy/admission/retry-time.h"

namespace toucanmux {

// Queues the statement if it is expected to be answered before its deadline.
// The group checks that again while the statement waits.
void client_session::wait_for_link(upstream_group& group) {
  auto estimate = group.estimate_finish(*this);
  if (!estimate.meets(state_.loop.now(), deadline))
    return refuse_statement(refusal_reason::queue_too_long);
  group.enqueue(*this);
  state_.loop.arm(timer_, estimate.latest_start(deadline));
}

void client_session::on_refused(refusal_reason reason) {
  refuse_statement(reason);
}

// Nothing of the statement was run, and the cause of the refusal will end.
void client_session::refuse_statement(refusal_reason reason) {
  if (is_linked()) unlink();
  fail_statement(wire::failure_kind::busy, reason, retry_after(reason));
}

bool client_session::may_retry_read() const {
  return state_.read_retries.may_retry(state_.loop.now()) &&
         !refusals_increase();
}

bool client_session::refusals_increase() const {
  auto* group = state_.find_group(route_.group);
  return group && group->refusals_increase();
}

// The read was refused for the database's load and has not run, so it is tried
// on the other databases, unless their refusals show that all are overloaded.
void client_session::retry_refused_read() {
  if (refusals_increase())
    return refuse_statement(refusal_reason::databases_busy);
  retry_or_refuse(refusal_reason::databases_busy);
}

// When the statement can be served, as far as that can be estimated.
duration client_session::retry_after(refusal_reason reason) {
  auto* group = state_.find_group(route_.group);
  if (!group) return duration{0};
  bool awaits_leader =
      reason == refusal_reason::leader_changes ||
      (reason == refusal_reason::no_database && requirements.leader_only);
  auto expected = awaits_leader ? group->leader_change_remaining()
                                : group->estimate_finish(*this).finish();
  expected = group->schedule_retry(*this, expected);
  return retry_time(expected, route_.priority, stable_hash(statement_.id));
}

}  // namespace toucanmux
