#define BOOST_TEST_MODULE position_check
#include "toucanmux/request/position-check.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using std::chrono::milliseconds;

namespace {

position_read replica_at(log_position position, duration age) {
  position_read e;
  e.required = {2, 100};
  e.position = position;
  e.age = age;
  e.replica = true;
  e.current_term = 2;
  return e;
}

template <class Action>
bool results_in(const position_read& e) {
  auto actions = position_check::step(instant(), e);
  return actions.size() == 1 && std::holds_alternative<Action>(actions[0]);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_read_must_cover_the_position) {
  BOOST_TEST(results_in<answer_fresh>(replica_at({2, 100}, duration(-1))));
  BOOST_TEST(results_in<answer_behind>(replica_at({2, 99}, duration(-1))));
  BOOST_TEST(results_in<answer_behind>(replica_at({1, 500}, duration(-1))));
  BOOST_TEST(results_in<answer_behind>(replica_at({}, duration(-1))));
}

BOOST_AUTO_TEST_CASE(only_a_primary_of_a_later_term_may_have_a_shorter_log) {
  auto e = replica_at({3, 90}, duration(-1));
  BOOST_TEST(results_in<answer_behind>(e));
  e.replica = false;
  BOOST_TEST(results_in<answer_fresh>(e));
  e.position = {2, 90};
  BOOST_TEST(results_in<answer_behind>(e));
}

BOOST_AUTO_TEST_CASE(a_read_must_meet_both_position_and_max_age) {
  auto e = replica_at({2, 100}, milliseconds(50));
  e.max_age = milliseconds(50);
  BOOST_TEST(results_in<answer_fresh>(e));
  e.max_age = milliseconds(49);
  BOOST_TEST(results_in<answer_behind>(e));
  e = replica_at({2, 99}, milliseconds(10));
  e.max_age = milliseconds(50);
  BOOST_TEST(results_in<answer_behind>(e));
}

BOOST_AUTO_TEST_CASE(an_unknown_age_is_too_old) {
  auto e = replica_at({2, 100}, duration(-1));
  e.max_age = std::chrono::hours(1);
  BOOST_TEST(results_in<answer_behind>(e));
}

BOOST_AUTO_TEST_CASE(only_a_primary_of_the_current_term_meets_any_max_age) {
  auto e = replica_at({2, 100}, duration(-1));
  e.replica = false;
  e.max_age = duration(0);
  BOOST_TEST(results_in<answer_fresh>(e));
  e.current_term = 3;
  BOOST_TEST(results_in<answer_behind>(e));
}

BOOST_AUTO_TEST_CASE(a_write_of_an_old_term_has_an_unknown_outcome) {
  auto e = replica_at({2, 100}, duration(-1));
  e.access = access_class::write;
  e.replica = false;
  BOOST_TEST(results_in<answer_fresh>(e));
  e.current_term = 3;
  BOOST_TEST(results_in<answer_doubtful>(e));
  e.position = {};
  e.current_term = 0;
  BOOST_TEST(results_in<answer_doubtful>(e));
}
