#define BOOST_TEST_MODULE upstream_choice
#include "toucanmux/proxy/placement/upstream-choice.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <vector>

#include "toucanmux/proxy/placement/outcome-score.h"

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
  out.response_deviation = 10ms;
  out.open_time = 15ms;
  out.late_after = 250ms;
  out.slots = 4;
  return out;
}

std::vector<upstream_candidate> group() {
  return {candidate(0, true), candidate(1, false), candidate(2, false)};
}

}  // namespace

BOOST_AUTO_TEST_CASE(leader_only_statements_run_at_the_leader_or_wait) {
  auto candidates = group();
  BOOST_TEST(choose_upstream(candidates, {true, 0}).value() == 0U);
  candidates[0].warm = candidates[0].can_open = false;
  BOOST_TEST(!choose_upstream(candidates, {true, 0}).has_value());
  candidates[0].usable = false;
  BOOST_TEST(!choose_upstream(candidates, {true, 0}).has_value());
}

BOOST_AUTO_TEST_CASE(reads_prefer_replicas_unless_they_are_loaded) {
  auto candidates = group();
  BOOST_TEST(choose_upstream(candidates, {}).value() != 0U);
  // The leader serves reads while the replicas are loaded.
  candidates[1].in_flight = candidates[2].in_flight = 4;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 0U);
}

// Guards against reads that fill the leader because it answers them a little
// sooner, in groups whose statements take long.
BOOST_AUTO_TEST_CASE(long_reads_leave_the_leader_to_writes) {
  auto candidates = group();
  for (auto& database : candidates) database.response_time = 300ms;
  candidates[0].response_time = 270ms;
  BOOST_TEST(choose_upstream(candidates, {}).value() != 0U);
  candidates[1].in_flight = candidates[2].in_flight = 2;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 0U);
}

BOOST_AUTO_TEST_CASE(reads_stay_in_their_failure_domain) {
  auto candidates = group();
  candidates[1].same_domain = false;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 2U);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_outweighs_a_little_load) {
  auto candidates = group();
  candidates[1].warm = false;
  candidates[2].in_flight = 1;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 2U);
}

// Guards against needless traffic between failure domains: the work differs
// from read to read, so the average response times of equal databases differ.
// Under the usual load nearly all reads must stay in their domain, whatever the
// work takes.
BOOST_DATA_TEST_CASE(the_spread_of_response_times_moves_few_reads,
                     boost::unit_test::data::make({33.0, 330.0}), median_ms) {
  constexpr duration interval = 50ms;
  std::mt19937 random(5);
  std::lognormal_distribution<double> work(std::log(median_ms), 0.7);
  std::vector<double> averages(3, median_ms);
  std::vector<double> deviations(3, median_ms / 2);
  std::vector<int> last_read(3, 0);
  auto to_duration = [](double ms) {
    return std::chrono::milliseconds(std::lround(ms));
  };
  int stayed = 0;
  for (int i = 0; i < 2000; ++i) {
    auto candidates = group();
    for (auto& database : candidates) {
      database.response_time = to_duration(averages[database.index]);
      database.response_deviation = to_duration(deviations[database.index]);
      database.idle_time = (i - last_read[database.index]) * interval;
    }
    candidates[0].same_domain = candidates[1].same_domain = false;
    auto chosen = choose_upstream(candidates, {false, 0}).value();
    stayed += chosen == 2 ? 1 : 0;
    last_read[chosen] = i;
    auto error = work(random) - averages[chosen];
    averages[chosen] += 0.2 * error;
    deviations[chosen] += 0.2 * (std::abs(error) - deviations[chosen]);
  }
  BOOST_TEST(stayed >= 2000 * 0.9);
}

// Guards against callers that wait several times as long as they would at the
// database of another domain, where all reads take a few milliseconds.
BOOST_AUTO_TEST_CASE(short_reads_leave_a_domain_that_is_slower) {
  auto candidates = group();
  for (auto& database : candidates) {
    database.response_time = 5ms;
    database.response_deviation = 2ms;
  }
  candidates[0].same_domain = candidates[1].same_domain = false;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 2U);
  candidates[2].response_time = 25ms;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 1U);
}

// Preferring the own failure domain must not overload its database.
BOOST_AUTO_TEST_CASE(a_loaded_database_of_the_own_domain_sheds_reads) {
  auto candidates = group();
  candidates[0].same_domain = candidates[1].same_domain = false;
  candidates[2].response_time = 80ms;
  BOOST_TEST(choose_upstream(candidates, {false, 0}).value() == 1U);
}

// Guards against a database that was slow once and is never read again, though
// the others have more work.
BOOST_AUTO_TEST_CASE(a_database_that_was_slow_is_tried_again) {
  auto candidates = group();
  candidates[1].response_time = 400ms;
  candidates[2].in_flight = 1;
  BOOST_TEST(choose_upstream(candidates, {}).value() != 1U);
  candidates[1].idle_time = 1s;
  BOOST_TEST(choose_upstream(candidates, {}).value() != 1U);
  candidates[1].idle_time = 30s;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 1U);
}

BOOST_AUTO_TEST_CASE(failures_outweigh_the_failure_domain) {
  auto candidates = group();
  outcome_score score;
  instant now{1s};
  for (int i = 0; i < 40; ++i) score.record(now, i % 5 < 2);
  BOOST_TEST(score.failure_rate(now) > 0.25);
  BOOST_TEST(score.failure_rate(now) < 0.55);
  candidates[1].failure_rate = score.failure_rate(now);
  candidates[2].same_domain = false;
  BOOST_TEST(choose_upstream(candidates, {}).value() != 1U);
  // If all fail alike, the failures don't change the choice.
  candidates[0].failure_rate = candidates[2].failure_rate =
      candidates[1].failure_rate;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 1U);
  // A database without statements for a while is tried again.
  BOOST_TEST(score.failure_rate(now + 30s) < 0.01);
}

BOOST_AUTO_TEST_CASE(excluded_upstreams_are_not_chosen) {
  auto candidates = group();
  BOOST_TEST(choose_upstream(candidates, {false, 0b110}).value() == 0U);
  BOOST_TEST(!choose_upstream(candidates, {false, 0b111}).has_value());
}

BOOST_AUTO_TEST_CASE(a_lagging_database_is_chosen_last) {
  auto candidates = group();
  candidates[1].lagging = candidates[2].lagging = true;
  BOOST_TEST(choose_upstream(candidates, {}).value() == 0U);
}
