#define BOOST_TEST_MODULE refusal_counter
#include "proxy/admission/refusal-counter.h"

#include <boost/test/unit_test.hpp>

#include "proxy/proxy-metrics.h"

using namespace toucanmux;

// Guards against a number of time series that grows with the number of teams,
// also over changes of the configuration.
BOOST_AUTO_TEST_CASE(only_the_largest_teams_have_a_label) {
  proxy_metrics metrics;
  for (std::uint64_t version = 1; version <= 2; ++version) {
    std::vector<team_plan> teams;
    for (int i = 0; i < 40; ++i) {
      auto team = "v" + std::to_string(version) + '-' + std::to_string(i);
      teams.push_back({team_id(team), double(i), 1, {}});
    }
    fleet_config config(version, 1, duration{0}, {}, {}, teams);
    for (const auto& plan : teams) {
      metrics.refusals().count(refusal_reason::over_rate, route_kind::leader,
                               plan.team, domain_id("a"), config);
    }
  }
  auto text = metrics.text();
  std::size_t series = 0;
  for (auto at = text.find("{domain"); at != std::string::npos;
       at = text.find("{domain", at + 1)) {
    ++series;
  }
  BOOST_TEST(series == refusal_counter::max_teams + 1);
  BOOST_TEST(text.find("team=\"v1-39\"} 1") != std::string::npos);
  BOOST_TEST(text.find("team=\"other\"} 60") != std::string::npos);
}
