#define BOOST_TEST_MODULE stop_schedule
#include "toucanmux/process/stop-schedule.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start{};

}  // namespace

BOOST_AUTO_TEST_CASE(without_a_signal_everything_is_accepted) {
  stop_schedule schedule;
  BOOST_TEST(schedule.accepts_operations(start + 1h));
  BOOST_TEST(schedule.accepts_statement(start + 1h, start + 2h));
  BOOST_TEST(!schedule.over(start + 1h));
}

// Guards against statements whose answers can't arrive before the process is
// killed.
BOOST_AUTO_TEST_CASE(long_statements_end_at_half_of_the_timeout) {
  stop_schedule schedule;
  schedule.begin(start, 6s);
  schedule.begin(start + 5s, 6s);
  BOOST_TEST(schedule.accepts_operations(start + 2s));
  BOOST_TEST(!schedule.accepts_operations(start + 2500ms));
  BOOST_TEST(schedule.accepts_statement(start + 2999ms, start + 9s));
  BOOST_TEST(!schedule.accepts_statement(start + 3s, start + 9s));
  // A statement sent before may be waited for until the last sixth.
  BOOST_TEST(!schedule.over(start + 5s));
  BOOST_TEST(schedule.over(start + 6s - 100ms));
  // The last answers have time to be sent.
  BOOST_TEST(!schedule.expired(start + 5500ms));
  BOOST_TEST(schedule.expired(start + 6s - 100ms));
}

BOOST_AUTO_TEST_CASE(a_statement_that_ends_in_time_is_sent_later_too) {
  stop_schedule schedule;
  schedule.begin(start, 6s);
  BOOST_TEST(schedule.accepts_statement(start + 4s, start + 5s));
  BOOST_TEST(!schedule.accepts_statement(start + 4s, start + 6s));
}

BOOST_AUTO_TEST_CASE(operations_never_outlast_long_statements) {
  stop_schedule schedule;
  schedule.begin(start, 1s);
  BOOST_TEST(!schedule.accepts_operations(start + 500ms));
  BOOST_TEST(!schedule.accepts_statement(start + 500ms, start + 2s));
  BOOST_TEST(schedule.over(start + 999ms));
}
