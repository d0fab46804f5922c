#define BOOST_TEST_MODULE position_watch
#include "toucanmux/process/position-watch.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using std::chrono::milliseconds;

namespace {

instant at(int ms) { return instant(milliseconds(ms)); }

}  // namespace

BOOST_AUTO_TEST_CASE(age_counts_from_last_covered_heartbeat) {
  position_watch watch({});
  watch.step(at(130), heartbeat_confirmed{at(100), {1, 10}});
  watch.step(at(230), heartbeat_confirmed{at(200), {1, 20}});
  BOOST_CHECK(watch.age_bound(at(300), {1, 20}) == milliseconds(100));
  BOOST_CHECK(watch.age_bound(at(300), {1, 19}) == milliseconds(200));
  BOOST_CHECK(watch.age_bound(at(300), {1, 9}) == duration(-1));
}

BOOST_AUTO_TEST_CASE(earlier_term_does_not_cover_later_heartbeat) {
  position_watch watch({});
  watch.step(at(110), heartbeat_confirmed{at(100), {1, 10}});
  watch.step(at(210), heartbeat_confirmed{at(200), {2, 12}});
  BOOST_CHECK(watch.age_bound(at(300), {1, 99}) == milliseconds(200));
  BOOST_CHECK(watch.age_bound(at(300), {2, 12}) == milliseconds(100));
}

BOOST_AUTO_TEST_CASE(late_confirmation_counts_from_sending_time) {
  position_watch watch({});
  watch.step(at(9000), heartbeat_confirmed{at(100), {1, 10}});
  BOOST_CHECK(watch.age_bound(at(9000), {1, 10}) == milliseconds(8900));
}

BOOST_AUTO_TEST_CASE(report_counts_from_echoed_stamp) {
  position_watch watch({});
  // The peer held the stamp for 50 ms and sent the heartbeat 80 ms before its
  // report.
  watch.step(
      at(500),
      heartbeat_reported{at(400), milliseconds(50), milliseconds(80), {1, 10}});
  BOOST_CHECK(watch.age_bound(at(500), {1, 10}) == milliseconds(130));
  // The same report with a longer delivery gives an older bound.
  watch.step(
      at(5000),
      heartbeat_reported{at(400), milliseconds(50), milliseconds(80), {1, 10}});
  BOOST_CHECK(watch.age_bound(at(5000), {1, 10}) == milliseconds(4630));
  // A report without a stamp of this pool is ignored.
  watch.step(at(6000), heartbeat_reported{instant{}, {}, {}, {1, 99}});
  BOOST_CHECK(watch.age_bound(at(6000), {1, 99}) == milliseconds(5630));
}

BOOST_AUTO_TEST_CASE(history_is_bounded) {
  position_watch::settings values;
  values.history = milliseconds(1000);
  position_watch watch(values);
  for (int i = 1; i < 100; ++i) {
    watch.step(at(100 * i),
               heartbeat_confirmed{at(100 * i), {1, std::uint64_t(i)}});
  }
  BOOST_CHECK(watch.age_bound(at(9900), {1, 50}) == duration(-1));
  BOOST_CHECK(watch.age_bound(at(9900), {1, 95}) == milliseconds(400));
}

BOOST_AUTO_TEST_CASE(estimate_extrapolates_up_to_confirmed_position) {
  position_watch watch({});
  database_id replica("r");
  BOOST_CHECK(watch.estimate(at(0), replica) == log_position());
  watch.step(at(100), replay_seen{replica, {1, 100}});
  watch.step(at(200), replay_seen{replica, {1, 200}});
  BOOST_CHECK(watch.estimate(at(250), replica) == log_position({1, 200}));
  watch.step(at(200), heartbeat_confirmed{at(200), {1, 240}});
  BOOST_CHECK(watch.estimate(at(220), replica) == log_position({1, 220}));
  BOOST_CHECK(watch.estimate(at(900), replica) == log_position({1, 240}));
}
