#define BOOST_TEST_MODULE retry_time
#include "toucanmux/proxy/admission/retry-time.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "toucanmux/proxy/admission/leader-change-estimate.h"
#include "toucanmux/proxy/admission/refusal-trend.h"
#include "toucanmux/proxy/admission/retry-schedule.h"
#include "toucanmux/proxy/leader-lease.h"

using namespace toucanmux;
using namespace std::chrono_literals;

// Guards against callers that were refused together and return together, the
// less urgent ones first, or before the cause of the refusal has ended.
BOOST_AUTO_TEST_CASE(urgent_statements_return_first_and_spread) {
  for (duration expected : {0ms, 120ms, 900ms, 60000ms}) {
    duration last{0};
    for (unsigned priority = 0; priority < 3; ++priority) {
      std::set<duration> times;
      for (std::uint64_t seed = 0; seed < 100; ++seed)
        times.insert(retry_time(expected, priority, seed));
      BOOST_TEST(times.size() > 50U);
      BOOST_TEST((*times.begin() >= expected));
      BOOST_TEST((*times.rbegin() <= expected + 500ms));
      BOOST_TEST((*times.begin() >= last));
      last = *times.rbegin();
    }
  }
}

// Guards against callers that are told to return before they can be served, and
// use up their retries.
BOOST_AUTO_TEST_CASE(turns_are_given_as_far_ahead_as_the_work_reaches) {
  retry_schedule schedule;
  instant now{10s};
  BOOST_TEST((schedule.next(now, 3s, 1, 10ms, 800ms) == 3s));
  BOOST_TEST((schedule.next(now, 3s, 1, 10ms, 800ms) == 3010ms));
  BOOST_TEST((schedule.next(now, 3s, 0, 10ms, 800ms) == 3s));
  duration last{0};
  for (int i = 0; i < 200; ++i) last = schedule.next(now, 3s, 1, 10ms, 800ms);
  BOOST_TEST((last == 3800ms));
}

// Guards against retries that come while the leader is still being replaced.
BOOST_AUTO_TEST_CASE(the_remaining_time_of_a_leader_change_shrinks) {
  leader_change_state state;
  state.promotion_time = 400ms;
  state.suspected = true;
  auto at_first = leader_change_remaining(state);
  state.leaderless = 400ms;
  auto examined = leader_change_remaining(state);
  state.phase = leadership_phase::revoked;
  auto revoked = leader_change_remaining(state);
  state.phase = leadership_phase::named;
  state.suspected = false;
  auto named = leader_change_remaining(state);
  BOOST_TEST((at_first > examined && examined >= revoked && revoked > named));
  // A change that is not complete soon waits for the leases.
  state.phase = leadership_phase::revoked;
  state.in_phase = 800ms;
  BOOST_TEST((leader_change_remaining(state) >=
              leader_lease::expiry_wait - state.in_phase));
}

// Guards against internal retries that add to the load of refusing databases.
BOOST_AUTO_TEST_CASE(refusals_increase_until_they_are_steady) {
  refusal_trend trend;
  instant now{10s};
  for (int i = 0; i < 5; ++i) trend.record(now);
  BOOST_TEST(trend.increasing(now));
  BOOST_TEST(trend.increasing(now + 500ms));
  BOOST_TEST(!trend.increasing(now + 1500ms));
  for (int i = 0; i < 2; ++i) trend.record(now + 5s);
  BOOST_TEST(!trend.increasing(now + 5s));
}
