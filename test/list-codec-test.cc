#define BOOST_TEST_MODULE list_codec
#include "toucanmux/version/list-codec.h"

#include <boost/test/unit_test.hpp>

#include "toucanmux/error.h"
#include "toucanmux/version/team-index.h"

using namespace toucanmux;

namespace {

const std::string hash_a(64, 'a');
const std::string hash_b(64, 'b');

const std::string plans_text = R"({"plans":[
{"id":"gold","rate":100,"burst":50,"weight":2,
 "routes":[{"service":"socios-db","access":"read"}]},
{"id":"tin","rate":1.5,"burst":1,"routes":[]}
],"open_routes":[{"service":"socios-db","access":"read","rate":10,"burst":5}]})";

std::string teams_text() {
  return "{\"teams\":[\n"
         "{\"id\":\"norte\",\"plan\":\"gold\",\"rate\":50,\"key_hashes\":[\"" +
         hash_a + "\"]},\n{\"id\":\"sur\",\"plan\":\"tin\"}\n]}";
}

std::string replaced(std::string text, std::string_view from,
                     std::string_view to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

// Returns the message of the list_error that `call` throws, or "accepted".
template <class Call>
std::string error_message(Call call) {
  try {
    call();
  } catch (const list_error& e) {
    return e.what();
  }
  return "accepted";
}

void check_team_list_error(const std::string& text, std::string_view prefix) {
  auto plans = parse_plan_list(plans_text, 1);
  auto message = error_message([&] { parse_team_list(text, 2, &plans); });
  BOOST_TEST(message.starts_with(prefix), message);
}

void check_plan_list_error(const std::string& text, std::string_view prefix) {
  auto message = error_message([&] { parse_plan_list(text, 2); });
  BOOST_TEST(message.starts_with(prefix), message);
}

}  // namespace

BOOST_AUTO_TEST_CASE(formatted_lists_parse_to_the_same_lists) {
  auto plans = parse_plan_list(plans_text, 3);
  auto teams = parse_team_list(teams_text(), 4, &plans);
  BOOST_TEST(teams.version == 4);
  BOOST_TEST(teams.teams.size() == 2);
  BOOST_TEST(teams.teams[0].rate == 50);
  BOOST_TEST(teams.teams[0].key_hashes.front() == hash_a);
  BOOST_TEST(plans.plans[0].weight == 2);
  BOOST_TEST(plans.open_routes[0].burst == 5);
  BOOST_TEST(to_json_text(parse_team_list(to_json_text(teams), 4)) ==
             to_json_text(teams));
  BOOST_TEST(to_json_text(parse_plan_list(to_json_text(plans), 3)) ==
             to_json_text(plans));
}

BOOST_AUTO_TEST_CASE(a_formatted_group_parses_to_the_same_group) {
  auto text = R"({"id":"socios-1","service":"socios-db","term":1,
"primary":"socios-1a","nonce":"","databases":[
{"id":"socios-1a","domain":"norte","address":"127.0.0.1","port":6001,"slots":3,
"connection_limit":50,"leaving":true}]})";
  auto group = parse_database_group(text);
  BOOST_TEST(group.databases[0].port == 6001);
  BOOST_TEST(group.databases[0].leaving);
  BOOST_TEST(to_json_text(parse_database_group(to_json_text(group))) ==
             to_json_text(group));
  auto unknown_primary =
      replaced(text, "\"primary\":\"socios-1a\"", "\"primary\":\"x\"");
  auto message = error_message([&] { parse_database_group(unknown_primary); });
  BOOST_TEST(message.starts_with("line 2: the primary 'x'"), message);
}

BOOST_AUTO_TEST_CASE(an_error_in_a_team_list_names_the_line) {
  auto text = teams_text();
  check_team_list_error(replaced(text, "tin", "lead"),
                        "line 3: team 'sur' has the unknown plan 'lead'");
  check_team_list_error(replaced(text, "\"sur\"", "\"norte\""),
                        "line 3: team 'norte' occurs twice");
  check_team_list_error(
      replaced(text, "\"tin\"",
               "\"tin\",\n\"key_hashes\":[\"" + hash_a + "\"]"),
      "line 4: key hash");
  check_team_list_error(replaced(text, hash_a, "secret"),
                        "line 2: a key hash must");
  check_team_list_error(replaced(text, hash_a, std::string(64, 'A')),
                        "line 2: a key hash must");
  check_team_list_error(replaced(text, "50", "0"), "line 2: 'rate' must be");
  check_team_list_error(replaced(text, "50", "-1"), "line 2: 'rate' must be");
  check_team_list_error(replaced(text, "50", "\"50\""),
                        "line 2: 'rate' must be");
  check_team_list_error(replaced(text, "rate", "rtae"),
                        "line 2: unknown field 'rtae'");
  check_team_list_error(replaced(text, "\"id\":\"sur\",", ""),
                        "line 3: a team lacks");
  check_team_list_error(replaced(text, "\"id\":\"sur\"", "\"id\":\"\""),
                        "line 3: a team has an empty 'id'");
  check_team_list_error(
      replaced(text, "\"id\":\"sur\"", "\"id\":\"a\",\"id\":\"b\""),
      "line 3: field 'id' occurs twice");
  check_team_list_error(replaced(text, "]}", "]"), "line 3: not JSON");
  check_team_list_error("[]", "line 1: the list of teams must be an object");
}

BOOST_AUTO_TEST_CASE(an_error_message_never_contains_a_pasted_key) {
  auto text = replaced(teams_text(), hash_a, "my secret key");
  auto message = error_message([&] { parse_team_list(text, 2); });
  BOOST_TEST(message.find("my secret") == std::string::npos, message);
  text = replaced(teams_text(), '"' + hash_a + '"', "my secret key");
  message = error_message([&] { parse_team_list(text, 2); });
  BOOST_TEST(message.starts_with("line 2: not JSON"), message);
  BOOST_TEST(message.find("my") == std::string::npos, message);
}

BOOST_AUTO_TEST_CASE(an_error_in_a_number_at_a_line_end_names_that_line) {
  check_team_list_error(
      "{\"teams\":[{\"id\":\"a\",\"plan\":\"tin\",\"rate\":\n0\n}]}",
      "line 2: 'rate' must be");
}

BOOST_AUTO_TEST_CASE(an_error_in_a_plan_list_names_the_line) {
  check_plan_list_error(replaced(plans_text, "\"tin\"", "\"gold\""),
                        "line 4: plan 'gold' occurs twice");
  check_plan_list_error(replaced(plans_text, "1.5", "0"),
                        "line 4: 'rate' must be");
  check_plan_list_error(
      replaced(plans_text, "\"access\":\"read\"", "\"access\":\"reed\""),
      "line 3: unknown access class 'reed'");
  check_plan_list_error(replaced(plans_text, "\"burst\":5}", "\"burst\":-5}"),
                        "line 5: 'burst' must be");
  check_plan_list_error(replaced(plans_text, "\"weight\"", "\"wait\""),
                        "line 2: unknown field 'wait' of a plan");
  check_plan_list_error(std::string(100, '['), "line 1: ");
}

BOOST_AUTO_TEST_CASE(removing_a_plan_in_use_is_an_error) {
  auto plans = parse_plan_list(plans_text, 3);
  auto teams = parse_team_list(teams_text(), 4);
  check_plans_in_use(plans, teams);
  plans.plans.pop_back();
  auto message = error_message([&] { check_plans_in_use(plans, teams); });
  BOOST_TEST(message.starts_with("plan 'tin' is used by team 'sur'"), message);
}

BOOST_AUTO_TEST_CASE(the_index_finds_teams_routes_and_limits) {
  team_index_ptr index(new team_index(parse_team_list(teams_text(), 4),
                                      parse_plan_list(plans_text, 3)));
  const team* norte = index->find_by_key_hash(hash_a);
  BOOST_REQUIRE(norte != nullptr);
  BOOST_TEST(norte->id.value == "norte");
  BOOST_TEST(index->find_by_key_hash(hash_b) == nullptr);
  route read{service_id("socios-db"), access_class::read};
  route write{service_id("socios-db"), access_class::write};
  BOOST_TEST(index->may_use(*norte, read));
  BOOST_TEST(!index->may_use(*norte, write));
  const team* sur = index->find(team_id("sur"));
  BOOST_REQUIRE(sur != nullptr);
  BOOST_TEST(!index->may_use(*sur, read));
  BOOST_TEST(index->find_open_route(read) != nullptr);
  BOOST_TEST(index->find_open_route(write) == nullptr);
  auto limits = index->limits(*norte);
  BOOST_TEST(limits.rate == 50);
  BOOST_TEST(limits.burst == 50);
  BOOST_TEST(limits.weight == 2);
  BOOST_TEST(index->limits(*sur).rate == 1.5);
}
