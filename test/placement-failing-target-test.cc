#define BOOST_TEST_MODULE placement_failing_target
#include <boost/test/unit_test.hpp>

#include "placement-replay.h"
#include "toucanmux/proxy/placement/group-placement.h"

using namespace toucanmux::test;
using namespace std::chrono_literals;

namespace {

void check_target(const pattern& values) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    auto played = replay(values, true, seed).run(24s);
    BOOST_TEST(played.imbalance() < max_imbalance);
  }
}

}  // namespace

// The stated target, over all databases of the group: ejecting one of three
// leaves the others with 1.5 times the mean, so the ejection and the target
// contradict each other.
BOOST_AUTO_TEST_CASE(busiest_to_mean_with_a_database_that_fails_45_percent) {
  pattern values;
  values.failed_share = 0.45;
  check_target(values);
}

BOOST_AUTO_TEST_CASE(busiest_to_mean_with_a_flapping_database) {
  pattern values;
  values.failed_share = 0.45;
  values.flaps = true;
  check_target(values);
}
