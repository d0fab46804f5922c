#define BOOST_TEST_MODULE retry_budget
#include "toucanmux/request/retry-budget.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using std::chrono::milliseconds;

namespace {

int retries_allowed(retry_budget& budget, instant now, int wanted) {
  int allowed = 0;
  for (int i = 0; i < wanted; ++i) {
    auto actions = budget.step(now, retry_wanted());
    if (std::holds_alternative<retry_allowed>(actions[0])) ++allowed;
  }
  return allowed;
}

const instant start(milliseconds(1000));

}  // namespace

BOOST_AUTO_TEST_CASE(a_share_of_the_requests_may_be_retried) {
  retry_budget budget({0.1, 0, 1000});
  for (int i = 0; i < 500; ++i) budget.step(start, request_counted());
  int allowed = retries_allowed(budget, start, 500);
  BOOST_TEST(allowed >= 49);
  BOOST_TEST(allowed <= 50);
}

BOOST_AUTO_TEST_CASE(a_team_without_requests_gets_the_floor_rate) {
  retry_budget budget({0.1, 2, 20});
  BOOST_TEST(retries_allowed(budget, start, 9) == 2);
  BOOST_TEST(retries_allowed(budget, start + milliseconds(499), 9) == 0);
  BOOST_TEST(retries_allowed(budget, start + milliseconds(1000), 9) == 2);
}

BOOST_AUTO_TEST_CASE(saved_retries_are_bounded) {
  retry_budget budget({0.5, 1, 5});
  for (int i = 0; i < 1000; ++i) budget.step(start, request_counted());
  auto later = start + std::chrono::hours(1);
  BOOST_TEST(retries_allowed(budget, later, 100) == 5);
}

BOOST_AUTO_TEST_CASE(a_clock_that_steps_back_adds_no_retries) {
  retry_budget budget({0.1, 1, 5});
  BOOST_TEST(retries_allowed(budget, start, 9) == 1);
  BOOST_TEST(retries_allowed(budget, start - milliseconds(900), 9) == 0);
  BOOST_TEST(retries_allowed(budget, start, 9) == 0);
}
