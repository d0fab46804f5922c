#define BOOST_TEST_MODULE proxy_guards
#include <boost/test/unit_test.hpp>

#include "toucanmux/proxy/config-confirmation.h"
#include "toucanmux/proxy/fleet-config.h"
#include "toucanmux/proxy/inet-address.h"
#include "toucanmux/proxy/session-values.h"

using namespace toucanmux;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(keys_are_valid_only_while_their_list_is_confirmed) {
  config_confirmation confirmation(5s);
  BOOST_TEST(!confirmation.valid(instant{10s}));
  confirmation.confirm(instant{10s});
  BOOST_TEST(confirmation.valid(instant{14s}));
  // The margin covers the transfer to the database.
  BOOST_TEST(!confirmation.valid(instant{14s} + 400ms));
  // An older confirmation that arrives late doesn't shorten the validity.
  confirmation.confirm(instant{9s});
  BOOST_TEST(confirmation.valid(instant{14s}));
}

BOOST_AUTO_TEST_CASE(a_configuration_finds_routes_keys_and_groups) {
  route ledger_route;
  ledger_route.database = "ledger-a";
  ledger_route.group = group_id("ledger");
  fleet_config config(3, 90, 3s, {ledger_route, route{}},
                      {{group_id("ledger"), 47, 0}},
                      {{team_id("pilots"), 5, 5, {"k2", "k1"}},
                       {team_id("masters"), 5, 5, {"k3"}}});
  BOOST_REQUIRE(config.find_route("ledger-a"));
  BOOST_TEST(config.find_route("ledger-a")->group.value == "ledger");
  BOOST_TEST(!config.find_route("ledger-b"));
  BOOST_TEST(config.find_team_by_key("k1")->team.value == "pilots");
  BOOST_TEST(config.find_team_by_key("k3")->team.value == "masters");
  BOOST_TEST(!config.find_team_by_key("k"));
  BOOST_TEST(config.find_group(group_id("ledger"))->max_connections == 47U);
  BOOST_TEST(!config.find_group(group_id("other")));
}

BOOST_AUTO_TEST_CASE(only_complete_addresses_are_parsed) {
  BOOST_TEST(to_text(*parse_address("10.1.0.26:8465")) == "10.1.0.26:8465");
  for (const char* text :
       {"", "10.1.0:1", "10.1.0.256:1", "10.1.0.1:0", "10.1.0.1:65536",
        "10.1.0.1:1x", "a.b.c.d:1", "10.1.0.1", "10..0.1:1", "-1.0.0.1:1"}) {
    BOOST_TEST(!parse_address(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(only_a_value_that_the_session_did_not_set_needs_a_reset) {
  session_values session;
  session_values connection;
  session.values["zone"] = "a";
  BOOST_TEST(!needs_reset(session, connection));
  connection.values["zone"] = "b";
  BOOST_TEST(!needs_reset(session, connection));
  connection.values["role"] = "pilot";
  BOOST_TEST(needs_reset(session, connection));
}
