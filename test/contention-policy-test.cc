#define BOOST_TEST_MODULE contention_policy
#include "toucanmux/proxy/contention-policy.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;

BOOST_AUTO_TEST_CASE(many_teams_for_few_connections_are_contended) {
  BOOST_TEST(is_contended({false, 27, 76, 2}));
}

// Guards against a change for deployments that don't ask for it.
BOOST_AUTO_TEST_CASE(few_teams_and_large_fleets_are_not_contended) {
  BOOST_TEST(!is_contended({false, 15, 8, 2}));
  BOOST_TEST(!is_contended({false, 129, 82, 2}));
}

BOOST_AUTO_TEST_CASE(the_settings_decide_for_large_fleets) {
  BOOST_TEST(is_contended({true, 136, 85, 0}));
}
