#define BOOST_TEST_MODULE placement_replay
#include "placement-replay.h"

#include <boost/test/unit_test.hpp>

#include "toucanmux/proxy/placement/group-placement.h"

using namespace toucanmux::test;
using namespace std::chrono_literals;

namespace {

struct outcome {
  result today;
  result by_load;
};

outcome play(const pattern& values, unsigned seed) {
  outcome out{replay(values, false, seed).run(24s),
              replay(values, true, seed).run(24s)};
  BOOST_TEST_MESSAGE(
      "seed " << seed << ": busiest/mean today " << out.today.imbalance()
              << ", by load " << out.by_load.imbalance() << "; in turn "
              << out.today.imbalance_in_turn() << ", "
              << out.by_load.imbalance_in_turn() << "; reads away "
              << out.today.away << ", " << out.by_load.away << "; failed "
              << out.today.failed << ", " << out.by_load.failed);
  return out;
}

void check_balance(const pattern& values) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    auto played = play(values, seed);
    BOOST_TEST(played.by_load.imbalance() < max_imbalance);
    BOOST_TEST(played.by_load.imbalance() < played.today.imbalance());
  }
}

}  // namespace

// Guards against instances that all choose the same database because they have
// the same information.
BOOST_AUTO_TEST_CASE(choosers_without_a_near_database_spread_their_reads) {
  pattern values;
  values.domains = false;
  check_balance(values);
  values.per_s = 150;
  values.burst = 1.7;
  check_balance(values);
}

// Guards against an overloaded database next to idle ones where one failure
// domain has more callers than the others.
BOOST_AUTO_TEST_CASE(a_crowded_domain_gives_reads_away) {
  pattern values;
  values.first_domain = 0.55;
  check_balance(values);
  values.writes_per_s = 16;
  check_balance(values);
}

// Guards against needless traffic between failure domains.
BOOST_AUTO_TEST_CASE(reads_stay_in_their_domain_under_even_load) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    auto played = play({}, seed).by_load;
    auto reads = played.reads[0] + played.reads[1] + played.reads[2];
    BOOST_TEST(played.away < reads / 10);
  }
}

BOOST_AUTO_TEST_CASE(a_slow_database_gets_fewer_reads) {
  pattern values;
  values.slowness = 2;
  check_balance(values);
  values.domains = false;
  check_balance(values);
  values.domains = true;
  values.slowness = 5;
  check_balance(values);
}

// The failing database is ejected most of the time; the others share its reads.
BOOST_AUTO_TEST_CASE(a_failing_database_is_avoided) {
  pattern values;
  values.failed_share = 0.45;
  for (unsigned seed = 1; seed <= 3; ++seed) {
    auto played = play(values, seed);
    BOOST_TEST(played.by_load.failed < played.today.failed / 2);
    const auto& busy = played.by_load.busy;
    BOOST_TEST(std::max(busy[0], busy[2]) <
               max_imbalance * (busy[0] + busy[2]) / 2);
  }
}

BOOST_AUTO_TEST_CASE(a_flapping_database_is_avoided) {
  pattern values;
  values.failed_share = 0.45;
  values.flaps = true;
  for (unsigned seed = 1; seed <= 3; ++seed) {
    auto played = play(values, seed);
    BOOST_TEST(played.by_load.failed < played.today.failed);
  }
}

// Guards against an instance whose false reports empty a good database.
BOOST_AUTO_TEST_CASE(a_false_report_does_not_upset_the_balance) {
  pattern values;
  values.false_report = true;
  for (unsigned seed = 1; seed <= 3; ++seed)
    BOOST_TEST(play(values, seed).by_load.imbalance() < max_imbalance);
}

BOOST_AUTO_TEST_CASE(lost_reports_and_a_missing_hub_do_not_upset_the_balance) {
  pattern values;
  values.first_domain = 0.55;
  values.lost_reports = 0.3;
  values.fleet_has_gap = true;
  check_balance(values);
}
