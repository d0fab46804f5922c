#define BOOST_TEST_MODULE upstream_choice
#include "toucanmux/proxy/upstream-choice.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <vector>

#include "toucanmux/proxy/outcome-score.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

upstream_candidate candidate(std::size_t index, bool leader) {
  upstream_candidate out;
  out.index = index;
  out.leader = leader;
  out.usable = true;
  out.same_domain = true;
  out.warm = true;
  out.can_open = true;
  out.response_time = 15ms;
  return out;
}

std::vector<upstream_candidate> group() {
  return {candidate(0, true), candidate(1, false), candidate(2, false)};
}

}  // namespace

BOOST_AUTO_TEST_CASE(what_needs_the_leader_goes_to_it_or_waits) {
  auto all = group();
  BOOST_TEST(choose_upstream(all, {true, 0}).value() == 0U);
  all[0].warm = all[0].can_open = false;
  BOOST_TEST(!choose_upstream(all, {true, 0}).has_value());
  all[0].usable = false;
  BOOST_TEST(!choose_upstream(all, {true, 0}).has_value());
}

BOOST_AUTO_TEST_CASE(reads_leave_the_leader_to_what_only_it_can_do) {
  auto all = group();
  BOOST_TEST(choose_upstream(all, {}).value() != 0U);
  // Unless the replicas are loaded.
  all[1].in_flight = all[2].in_flight = 4;
  BOOST_TEST(choose_upstream(all, {}).value() == 0U);
}

BOOST_AUTO_TEST_CASE(reads_stay_in_their_failure_domain) {
  auto all = group();
  all[1].same_domain = false;
  BOOST_TEST(choose_upstream(all, {}).value() == 2U);
}

BOOST_AUTO_TEST_CASE(a_warm_connection_is_worth_a_little_load) {
  auto all = group();
  all[1].warm = false;
  all[2].in_flight = 1;
  BOOST_TEST(choose_upstream(all, {}).value() == 2U);
}

// Work differs from read to read, and with it the smoothed response times of
// databases that are alike. Under the usual load nearly all reads stay.
BOOST_AUTO_TEST_CASE(the_spread_of_response_times_moves_few_reads) {
  std::mt19937 random(5);
  std::lognormal_distribution<double> work(std::log(33.0), 0.7);
  std::vector<double> smoothed{33, 33, 33};
  int stayed = 0;
  for (int i = 0; i < 2000; ++i) {
    auto all = group();
    for (auto& one : all) {
      one.response_time =
          std::chrono::milliseconds(std::lround(smoothed[one.index]));
    }
    all[0].same_domain = all[1].same_domain = false;
    auto at = choose_upstream(all, {false, 0}).value();
    stayed += at == 2 ? 1 : 0;
    smoothed[at] += 0.2 * (work(random) - smoothed[at]);
  }
  BOOST_TEST(stayed >= 2000 * 0.9);
}

// A database of the own domain that is loaded still sheds its reads.
BOOST_AUTO_TEST_CASE(a_loaded_database_of_the_own_domain_sheds_reads) {
  auto all = group();
  all[0].same_domain = all[1].same_domain = false;
  all[2].response_time = 80ms;
  BOOST_TEST(choose_upstream(all, {false, 0}).value() == 1U);
}

BOOST_AUTO_TEST_CASE(outcomes_count_more_than_the_failure_domain) {
  auto all = group();
  outcome_score score;
  instant now{1s};
  for (int i = 0; i < 40; ++i) score.record(now, i % 5 < 2);
  BOOST_TEST(score.failure_rate(now) > 0.25);
  BOOST_TEST(score.failure_rate(now) < 0.55);
  all[1].failure_rate = score.failure_rate(now);
  all[2].same_domain = false;
  BOOST_TEST(choose_upstream(all, {}).value() != 1U);
  // If all fail alike nothing is gained by leaving one.
  all[0].failure_rate = all[2].failure_rate = all[1].failure_rate;
  BOOST_TEST(choose_upstream(all, {}).value() == 1U);
  // One that got nothing for a while is tried again.
  BOOST_TEST(score.failure_rate(now + 30s) < 0.01);
}

BOOST_AUTO_TEST_CASE(places_that_failed_are_left_out) {
  auto all = group();
  BOOST_TEST(choose_upstream(all, {false, 0b110}).value() == 0U);
  BOOST_TEST(!choose_upstream(all, {false, 0b111}).has_value());
}

BOOST_AUTO_TEST_CASE(a_database_that_lags_comes_last) {
  auto all = group();
  all[1].lagging = all[2].lagging = true;
  BOOST_TEST(choose_upstream(all, {}).value() == 0U);
}
