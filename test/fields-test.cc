#define BOOST_TEST_MODULE fields
#include "toucanmux/fields.h"

#include <boost/test/unit_test.hpp>

#include "toucanmux/request/statement.h"

using namespace toucanmux;

BOOST_AUTO_TEST_CASE(a_formatted_message_parses_to_the_same_message) {
  statement sent;
  sent.id = 9;
  sent.team = team_id("norte obra");
  sent.weight = 2.5;
  sent.sql = "select \"a\"\nfrom b";
  sent.parameters = {{false, "x"}, {true, ""}};
  sent.required = {3, 120};
  sent.max_age = std::chrono::seconds(2);
  auto text = format_fields(to_fields(sent));
  auto parsed = from_fields<statement>(parse_fields(text));
  BOOST_TEST(format_fields(to_fields(parsed)) == text);
  BOOST_TEST(parsed.sql == sent.sql);
  BOOST_TEST(parsed.parameters.size() == 2);
  BOOST_TEST(parsed.parameters[1].null);
  BOOST_CHECK(parsed.required == sent.required);
}

BOOST_AUTO_TEST_CASE(missing_fields_keep_their_defaults) {
  auto parsed = from_fields<statement>(parse_fields("team=a"));
  BOOST_TEST(parsed.team.value == "a");
  BOOST_CHECK(parsed.max_age == duration(-1));
}

BOOST_AUTO_TEST_CASE(malformed_text_throws) {
  BOOST_CHECK_THROW(parse_fields("team"), trace_error);
  BOOST_CHECK_THROW(parse_fields("team=\"open"), trace_error);
  BOOST_CHECK_THROW(from_fields<statement>(parse_fields("id=x")), trace_error);
}
