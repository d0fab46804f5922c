#define BOOST_TEST_MODULE request_attempts
#include "toucanmux/request/request-attempts.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using std::chrono::milliseconds;

namespace {

instant at(int ms) { return instant(milliseconds(ms)); }

candidate replica(std::string_view id, bool own = true, int wait_ms = 0) {
  return {database_id(id), false, own, milliseconds(wait_ms)};
}

candidate primary(std::string_view id) {
  return {database_id(id), true, false, duration(0)};
}

request_started read_of(std::vector<candidate> candidates) {
  request_started e;
  e.request = 1;
  e.required = {1, 100};
  e.time_left = milliseconds(1000);
  e.candidates = std::move(candidates);
  return e;
}

request_started write_to(std::string_view database,
                         bool has_idempotency_key = false) {
  auto e = read_of({primary(database)});
  e.access = access_class::write;
  e.has_idempotency_key = has_idempotency_key;
  return e;
}

request_started in_transaction(statement_step step) {
  auto e = write_to("p");
  e.access = access_class::transaction;
  e.step = step;
  e.transaction = step == statement_step::begin ? 0 : 9;
  return e;
}

template <class Action>
const Action* find_action(const request_attempts::actions& actions) {
  for (const auto& a : actions) {
    if (const auto* found = std::get_if<Action>(&a)) return found;
  }
  return nullptr;
}

// A request and the actions of its latest step.
struct request {
  request_attempts attempts{request_attempts::settings()};
  request_attempts::actions actions;

  request& step(int ms, const request_attempts::event& e) {
    actions = attempts.step(at(ms), e);
    return *this;
  }
  request& answered(int ms, outcome_code outcome,
                    reason_code reason = reason_code::none,
                    log_position position = {1, 100}) {
    attempt_answered e;
    e.id = last_id;
    e.outcome = outcome;
    e.reason = reason;
    e.position = position;
    return step(ms, e);
  }
  std::string sent_database() {
    const auto* s = find_action<send_attempt>(actions);
    if (s == nullptr) return "";
    last_id = s->id;
    return s->database.value;
  }
  std::string final_answer() {
    const auto* a = find_action<answer_caller>(actions);
    if (a == nullptr) return "";
    return std::string(to_string(a->outcome)) + " " +
           std::string(to_string(a->reason));
  }

  std::uint64_t last_id = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_read_prefers_a_replica_of_its_own_domain) {
  request r;
  r.step(0, read_of({replica("own"), replica("far", false), primary("p")}));
  BOOST_TEST(r.sent_database() == "own");
  BOOST_TEST(r.answered(2, outcome_code::done).final_answer() == "done none");
  BOOST_TEST(r.attempts.finished());
}

BOOST_AUTO_TEST_CASE(a_fresh_replica_of_another_domain_beats_a_stale_own_one) {
  request r;
  r.step(0, read_of({replica("own", true, 50), replica("far", false),
                     primary("p")}));
  BOOST_TEST(r.sent_database() == "far");
}

BOOST_AUTO_TEST_CASE(
    a_read_goes_to_the_primary_after_an_answer_that_is_behind) {
  request r;
  r.step(0, read_of({replica("own"), replica("far", false), primary("p")}));
  r.sent_database();
  BOOST_TEST(r.answered(1, outcome_code::behind).sent_database() == "p");
}

BOOST_AUTO_TEST_CASE(
    an_answer_that_does_not_cover_the_position_is_not_relayed) {
  request r;
  r.step(0, read_of({replica("own"), primary("p")}));
  r.sent_database();
  r.answered(1, outcome_code::done, reason_code::none, {1, 99});
  BOOST_TEST(r.final_answer() == "");
  BOOST_TEST(r.sent_database() == "p");
}

BOOST_AUTO_TEST_CASE(only_a_primary_of_a_later_term_may_have_a_shorter_log) {
  request r;
  r.step(0, read_of({replica("own"), primary("p")}));
  r.sent_database();
  attempt_answered e;
  e.id = r.last_id;
  e.position = {2, 90};
  e.from_replica = true;
  BOOST_TEST(r.step(1, e).sent_database() == "p");
  BOOST_TEST(r.answered(2, outcome_code::done, reason_code::none, {2, 90})
                 .final_answer() == "done none");
}

BOOST_AUTO_TEST_CASE(a_read_waits_a_short_time_for_a_replica) {
  request r;
  r.step(0, read_of({replica("own", true, 3), primary("p")}));
  BOOST_TEST(r.sent_database() == "");
  BOOST_TEST(r.step(2, attempt_timer()).sent_database() == "");
  BOOST_TEST(r.step(3, attempt_timer()).sent_database() == "own");
}

BOOST_AUTO_TEST_CASE(only_hints_of_a_fresh_replica_end_the_wait) {
  request r;
  r.step(0, read_of({replica("own", true, 3), primary("p")}));
  candidates_changed later{{replica("own", true, 2), primary("p")}};
  BOOST_TEST(r.step(1, later).sent_database() == "");
  candidates_changed fresh{{replica("own"), primary("p")}};
  BOOST_TEST(r.step(2, fresh).sent_database() == "own");
}

BOOST_AUTO_TEST_CASE(a_read_goes_to_the_primary_if_the_wait_is_long) {
  request r;
  r.step(0, read_of({replica("own", true, 20), primary("p")}));
  BOOST_TEST(r.sent_database() == "p");
}

BOOST_AUTO_TEST_CASE(reads_use_a_stale_replica_without_a_primary) {
  request r;
  r.step(0, read_of({replica("own", true, 20)}));
  BOOST_TEST(r.sent_database() == "own");
}

BOOST_AUTO_TEST_CASE(a_lost_read_is_retried_elsewhere_within_the_budget) {
  request r;
  r.step(0, read_of({replica("own"), primary("p")}));
  r.sent_database();
  r.step(1, attempt_lost{r.last_id, true, true});
  BOOST_TEST(r.sent_database() == "p");
  BOOST_TEST(find_action<send_attempt>(r.actions)->counts_as_retry);
  r.step(2, attempt_lost{r.last_id, true, false});
  BOOST_TEST(r.final_answer() == "unknown connection_lost");
}

BOOST_AUTO_TEST_CASE(a_lost_write_is_unknown_without_a_retry) {
  request r;
  r.step(0, write_to("p"));
  r.sent_database();
  r.step(1, attempt_lost{r.last_id, true, true});
  BOOST_TEST(r.final_answer() == "unknown connection_lost");
  BOOST_TEST(r.sent_database() == "");
}

BOOST_AUTO_TEST_CASE(a_write_that_was_not_sent_goes_to_the_next_owner) {
  request r;
  r.step(0, write_to("p"));
  r.sent_database();
  r.step(1, attempt_lost{r.last_id, false, false});
  BOOST_TEST(r.sent_database() == "p");
  BOOST_TEST(find_action<send_attempt>(r.actions)->owner_index == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_write_with_an_idempotency_key_is_retried) {
  request r;
  r.step(0, write_to("p", true));
  r.sent_database();
  r.step(1, attempt_lost{r.last_id, true, true});
  BOOST_TEST(r.sent_database() == "");
  BOOST_TEST(r.step(20, attempt_timer()).sent_database() == "p");
  r.answered(25, outcome_code::not_run, reason_code::queue_full);
  BOOST_TEST(r.final_answer() == "unknown queue_full");
}

BOOST_AUTO_TEST_CASE(a_failure_after_a_lost_write_stays_unknown) {
  request r;
  r.step(0, write_to("p", true));
  r.sent_database();
  r.step(1, attempt_lost{r.last_id, true, true});
  r.step(20, attempt_timer()).sent_database();
  BOOST_TEST(r.answered(25, outcome_code::failed).final_answer() ==
             "unknown none");
}

BOOST_AUTO_TEST_CASE(redirects_are_bounded) {
  request r;
  r.step(0, write_to("p"));
  int sends = 0;
  for (int ms = 0; ms < 900 && !r.attempts.finished(); ++ms) {
    if (!r.sent_database().empty()) {
      ++sends;
      r.answered(ms, outcome_code::moved);
      continue;
    }
    r.step(ms, attempt_timer());
  }
  BOOST_TEST(sends == 7);
  BOOST_TEST(r.final_answer() == "not_run no_upstream");
  BOOST_CHECK(find_action<answer_caller>(r.actions)->retry_after > duration(0));
}

// Guards against a caller that is refused only when its deadline has passed,
// though the next attempt would begin after it.
BOOST_AUTO_TEST_CASE(a_backoff_beyond_the_deadline_ends_the_request_at_once) {
  request r;
  auto e = write_to("p");
  e.time_left = milliseconds(100);
  r.step(0, e);
  BOOST_TEST(r.sent_database() == "p");
  BOOST_TEST(r.answered(10, outcome_code::moved).sent_database() == "p");
  r.answered(97, outcome_code::moved);
  BOOST_REQUIRE(r.final_answer() == "not_run no_upstream");
  BOOST_CHECK(find_action<answer_caller>(r.actions)->retry_after > duration(0));
  request lost;
  e.has_idempotency_key = true;
  BOOST_TEST(lost.step(0, e).sent_database() == "p");
  lost.step(95, attempt_lost{lost.last_id, true, true});
  BOOST_TEST(lost.final_answer() == "unknown connection_lost");
}

BOOST_AUTO_TEST_CASE(a_write_without_a_primary_is_refused_at_once) {
  request r;
  auto e = write_to("p");
  e.writes_open = false;
  e.retry_after = milliseconds(700);
  r.step(0, e);
  BOOST_TEST(r.final_answer() == "not_run no_primary");
  BOOST_CHECK(find_action<answer_caller>(r.actions)->retry_after ==
              milliseconds(700));
}

BOOST_AUTO_TEST_CASE(answers_of_another_attempt_are_ignored) {
  request r;
  r.step(0, read_of({replica("own"), primary("p")}));
  r.sent_database();
  auto first = r.last_id;
  r.answered(1, outcome_code::behind).sent_database();
  attempt_answered late;
  late.id = first;
  late.position = {1, 200};
  BOOST_TEST(r.step(2, late).actions.empty());
  BOOST_TEST(r.answered(3, outcome_code::done).final_answer() == "done none");
  BOOST_TEST(r.answered(4, outcome_code::done).actions.empty());
}

BOOST_AUTO_TEST_CASE(at_the_deadline_only_a_sent_write_is_unknown) {
  request waiting;
  waiting.step(0, write_to("p"));
  waiting.sent_database();
  // It would wait until its deadline for the next attempt.
  waiting.answered(990, outcome_code::not_run, reason_code::connection_lost);
  BOOST_TEST(waiting.final_answer() == "not_run connection_lost");

  request running;
  running.step(0, write_to("p"));
  BOOST_TEST(running.step(1000, attempt_timer()).final_answer() ==
             "unknown deadline");
  BOOST_TEST(find_action<cancel_attempt>(running.actions) != nullptr);
}

BOOST_AUTO_TEST_CASE(an_attempt_gets_the_remaining_time_less_the_margin) {
  request r;
  r.step(0, read_of({replica("own"), primary("p")}));
  r.sent_database();
  r.answered(400, outcome_code::behind);
  BOOST_CHECK(find_action<send_attempt>(r.actions)->time_left ==
              milliseconds(596));
}

BOOST_AUTO_TEST_CASE(a_lost_link_ends_the_transaction) {
  request inside;
  inside.step(0, in_transaction(statement_step::inside));
  inside.sent_database();
  inside.step(1, attempt_lost{inside.last_id, true, true});
  BOOST_TEST(inside.final_answer() == "failed transaction_gone");

  request commit;
  commit.step(0, in_transaction(statement_step::commit));
  commit.sent_database();
  commit.step(1, attempt_lost{commit.last_id, true, true});
  BOOST_TEST(commit.final_answer() == "unknown transaction_gone");

  request unsent;
  unsent.step(0, in_transaction(statement_step::commit));
  unsent.sent_database();
  unsent.step(1, attempt_lost{unsent.last_id, false, true});
  BOOST_TEST(unsent.final_answer() == "not_run transaction_gone");
}

BOOST_AUTO_TEST_CASE(a_transaction_is_never_retried) {
  request r;
  r.step(0, in_transaction(statement_step::inside));
  r.sent_database();
  r.answered(1, outcome_code::not_run, reason_code::connection_lost);
  BOOST_TEST(r.final_answer() == "not_run connection_lost");
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_abandons_its_transaction) {
  request r;
  r.step(0, in_transaction(statement_step::inside));
  r.sent_database();
  r.step(1, caller_gone());
  BOOST_TEST(find_action<cancel_attempt>(r.actions)->id == r.last_id);
  BOOST_TEST(find_action<abandon_transaction>(r.actions)->transaction == 9);
  BOOST_TEST(find_action<answer_caller>(r.actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(after_a_key_withdrawal_only_a_sent_write_is_unknown) {
  request waiting;
  waiting.step(0, read_of({replica("own", true, 3), primary("p")}));
  BOOST_TEST(waiting.step(1, key_withdrawn()).final_answer() ==
             "not_run key_refused");

  request queued;
  queued.step(0, write_to("p")).sent_database();
  queued.step(1, key_withdrawn());
  BOOST_TEST(find_action<cancel_attempt>(queued.actions) != nullptr);
  BOOST_TEST(queued.answered(2, outcome_code::not_run).final_answer() ==
             "not_run key_refused");

  request silent;
  silent.step(0, write_to("p")).sent_database();
  silent.step(1, key_withdrawn());
  BOOST_TEST(silent.step(1001, attempt_timer()).final_answer() ==
             "unknown key_refused");
}
