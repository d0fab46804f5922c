#define BOOST_TEST_MODULE hot_team_replay
#include <boost/test/unit_test.hpp>

#include "overload-replay.h"

using namespace toucanmux;

namespace {

double lost(const replay_result& result, std::size_t team) {
  return 1 - result.team_served[team] / result.team_offered[team];
}

}  // namespace

// Guards against a team that takes the service of the others.
BOOST_AUTO_TEST_CASE(a_hot_team_does_not_displace_the_others) {
  overload usual;
  usual.lanes = 6;
  overload hot = usual;
  hot.hot_team = 7.5;
  auto without = replay(usual, true);
  auto result = replay(hot, true);
  auto baseline = replay(hot, false);
  for (std::size_t team = 1; team < 16; ++team) {
    BOOST_TEST_MESSAGE("team " << team << ": lost " << lost(result, team)
                               << ", baseline " << lost(baseline, team)
                               << ", without " << lost(without, team));
    BOOST_TEST(lost(result, team) - lost(without, team) < 0.01);
  }
}
