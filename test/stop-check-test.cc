#define BOOST_TEST_MODULE stop_check
#include "soak/stop-check.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace toucanmux::soak;
using namespace std::chrono_literals;

namespace {

constexpr instant start(100s);
constexpr duration grace = 2s;
constexpr duration last_sixth = grace * 5 / 6;
constexpr duration time_limit = 800ms;

struct check_fixture {
  /// Cuts off a statement of instance 0; the times count from `start`.
  bool reports(duration sent, duration ended) const {
    auto copy = check;
    copy.on_cut({"c0.1", 0, start + sent, start + ended, start + ended});
    BOOST_TEST(copy.cut_count() == 1U);
    return !copy.violations([this](const auto&) { return work; }).empty();
  }

  stop_check check{2, grace, time_limit};
  stop_check::database_work work{true, {}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cuts, check_fixture)

// Guards against an excuse by what happens elsewhere or by the slack for
// statements that crossed the close.
BOOST_AUTO_TEST_CASE(only_an_unreceived_statement_may_cross_the_close) {
  check.on_stop(1, start);
  check.on_trouble(1, start);
  BOOST_TEST(reports(0ms, 200ms));
  work.received = false;
  BOOST_TEST(!reports(0ms, 200ms));
  BOOST_TEST(reports(0ms, 201ms));
}

// Guards against an excuse by trouble that is over or a limit not yet reached.
BOOST_AUTO_TEST_CASE(trouble_and_the_time_limit_excuse_a_cut) {
  BOOST_TEST(!reports(0ms, time_limit));
  BOOST_TEST(reports(0ms, time_limit - 1ms));
  check.on_trouble(0, start);
  BOOST_TEST(!reports(-100ms, 100ms));
  BOOST_TEST(!reports(4s, 4100ms));
  BOOST_TEST(reports(4001ms, 4100ms));
  check.on_shared_trouble(start + 4s);
  BOOST_TEST(!reports(8s, 8100ms));
  check.on_stop(0, start + 8s);
  BOOST_TEST(check.calm_stops() == 0U);
}

// Guards against an excuse for work that a stop had time to answer.
BOOST_AUTO_TEST_CASE(work_at_the_end_of_a_stop_is_excused) {
  check.on_stop(0, start);
  check.on_stop(0, start + grace - 1ms);
  BOOST_TEST(!reports(grace / 2, last_sixth));
  BOOST_TEST(reports(grace / 2 + 1ms, last_sixth));
  BOOST_TEST(reports(grace / 2, last_sixth - 1ms));
  work.answered_at = start + last_sixth;
  BOOST_TEST(!reports(grace / 2, last_sixth));
  work.answered_at = start + last_sixth - 1ms;
  BOOST_TEST(reports(grace / 2, last_sixth));
  BOOST_TEST(check.calm_stops() == 1U);
  check.on_stop(0, start + grace);
  BOOST_TEST(check.calm_stops() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
