#define BOOST_TEST_MODULE surge_partition
#include <boost/test/unit_test.hpp>

#include "rate-fleet.h"
#include "toucanmux/proxy/rate-ledger.h"

using namespace toucanmux::test;

// Guards against a surge that begins together with a partition: both sides hold
// the whole burst and expect the other side's usage of before the surge.
BOOST_AUTO_TEST_CASE(a_surge_with_a_partition_stays_within_the_limit) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    fleet instances(12, plan_of(80, 80), 400ms);
    instances.run(6s, 80 * usual_load, random);
    instances.run(100ms, 80 * overload, random);
    instances.partition_index = 1 + seed % 11;
    instances.run(12s, 80 * overload, random);
    BOOST_TEST(instances.max_admitted_within(5s) <= bound(80, 80));
  }
}

// Guards against two faults of a team over its rate in a partition. Each side
// expected the other to go on with the usage of a single interval, and counted
// its own new demand against the old demand of its peers, so that both sides
// took most of the limit. The second case has refused callers that try again.
BOOST_AUTO_TEST_CASE(a_surge_before_a_partition_stays_within_the_limit) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    for (double growth : {1.0, 3.0}) {
      std::mt19937 random(seed);
      fleet instances(12, plan_of(80, 80), 400ms);
      instances.run(6s, 80 * usual_load, random);
      instances.run(2s, 80 * overload, random);
      instances.partition_index = 1 + seed % 11;
      instances.run(12s, 80 * overload * growth, random);
      BOOST_TEST(instances.max_admitted_within(5s) <= bound(80, 80));
    }
  }
}
