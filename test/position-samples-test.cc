#define BOOST_TEST_MODULE position_samples
#include "toucanmux/proxy/position-samples.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(without_a_sample_no_position_is_known) {
  position_samples samples;
  BOOST_TEST(!samples.required(instant{10s}, 1500ms).has_value());
  BOOST_TEST(!samples.newest().has_value());
}

BOOST_AUTO_TEST_CASE(the_oldest_sample_within_the_age_is_required) {
  position_samples samples;
  samples.add(instant{10s}, {1, 100});
  samples.add(instant{11s}, {1, 110});
  samples.add(instant{12s}, {1, 120});
  auto required_position = samples.required(instant{12s} + 300ms, 1500ms);
  BOOST_TEST(required_position->lsn == 110U);
  required_position = samples.required(instant{12s} + 800ms, 1500ms);
  BOOST_TEST(required_position->lsn == 120U);
}

BOOST_AUTO_TEST_CASE(samples_older_than_the_age_minus_the_margin_are_ignored) {
  position_samples samples;
  samples.add(instant{10s}, {1, 100});
  auto latest = instant{10s} + 1500ms - position_samples::margin;
  BOOST_TEST(samples.required(latest, 1500ms).has_value());
  BOOST_TEST(!samples.required(latest + 1us, 1500ms).has_value());
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_former_leader_is_ignored) {
  position_samples samples;
  samples.add(instant{10s}, {2, 50});
  samples.add(instant{11s}, {1, 400});
  BOOST_TEST(samples.newest()->term == 2U);
  BOOST_TEST(samples.newest()->lsn == 50U);
}

BOOST_AUTO_TEST_CASE(closely_spaced_samples_keep_the_newest) {
  position_samples samples;
  for (int i = 0; i < 1000; ++i) {
    samples.add(instant{10s} + i * 1ms, {1, static_cast<std::uint64_t>(i)});
  }
  BOOST_TEST(samples.newest()->lsn == 999U);
  auto required_position = samples.required(instant{11s}, 1500ms);
  BOOST_TEST(required_position->lsn <= 51U);
}
