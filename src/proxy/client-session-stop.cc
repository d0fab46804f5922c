#include "proxy/client-session.h"

namespace toucanmux {

namespace {

using wire::failure_kind;

// A few round trips to a caller: it may have sent a statement, which is better
// refused with a complete answer.
constexpr duration min_idle = std::chrono::milliseconds(20);

}  // namespace

void client_session::close_if_idle() {
  if (state_.loop.now() - answered_at_ < min_idle) return;
  if (!opened_ || !can_close() || is_sending()) return;
  session_ptr keep(this);
  if (!stream_.poll_input()) return;
  if (can_close() && !is_sending()) finish_for_stop();
}

// The error answers a statement that is still on its way: input is discarded
// from now on.
void client_session::finish_for_stop() {
  wire::write_failure(stream_.output(), failure_kind::busy,
                      text_of(refusal_reason::instance_stops),
                      stop_retry_after);
  finish();
}

void client_session::finish_when_delivered() {
  if (stream_.unacknowledged() == 0) return finish_for_stop();
  state_.loop.arm_in(timer_, min_idle);
}

bool client_session::may_send() const {
  return state_.stop.accepts_statement(state_.loop.now(), statement_.deadline);
}

// The next statement of the transaction, or its commit, learns that nothing of
// it is kept.
void client_session::end_unsent_work() {
  if (ended_) return;
  session_ptr keep(this);
  if (running_ && !statement_.sent && !may_send()) return refuse_for_stop();
  if (running_ || transaction_phase_ != phase::open) return;
  instant now = state_.loop.now();
  if (state_.stop.accepts_statement(now, now + statement_timeout())) return;
  break_transaction("the instance stops");
  release_link();
  return_token();
}

void client_session::give_up() {
  if (ended_) return;
  session_ptr keep(this);
  if (running_ && statement_.deferred) {
    fail_statement(failure_kind::outcome_unknown,
                   refusal_reason::instance_stops);
  } else if (running_ && statement_.sent) {
    fail_unanswered(refusal_reason::instance_stops);
  } else if (running_) {
    refuse_for_stop();
  }
  // Statements behind it are refused.
  on_input();
  stream_.poll_input();
  if (!ended_) finish_for_stop();
}

void client_session::refuse_for_stop() {
  fail_statement(failure_kind::busy, refusal_reason::instance_stops,
                 stop_retry_after);
}

}  // namespace toucanmux
