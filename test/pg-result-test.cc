#define BOOST_TEST_MODULE pg_result
#include "connection/pg-result.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

using namespace toucanmux;

namespace {

/// Returns the JSON of a result with one row and one column.
std::string json_of(Oid type, std::string_view value) {
  result_ptr result(PQmakeEmptyPGresult(nullptr, PGRES_TUPLES_OK));
  char name[] = "a";
  PGresAttDesc column{name, 0, 0, 0, type, -1, -1};
  PQsetResultAttrs(result.get(), 1, &column);
  std::string text(value);
  PQsetvalue(result.get(), 0, 0, text.data(), static_cast<int>(text.size()));
  return to_json(result.get());
}

nlohmann::json value_of(Oid type, std::string_view value) {
  return nlohmann::json::parse(json_of(type, value)).at("rows").at(0).at(0);
}

constexpr Oid bool_type = 16;
constexpr Oid int8_type = 20;
constexpr Oid text_type = 25;
constexpr Oid float8_type = 701;

}  // namespace

BOOST_AUTO_TEST_CASE(column_type_selects_json_type) {
  BOOST_TEST(json_of(int8_type, "-9223372036854775808") ==
             R"({"columns":["a"],"rows":[[-9223372036854775808]],"tag":""})");
  BOOST_TEST(value_of(float8_type, "1e+20") == 1e20);
  BOOST_TEST(value_of(float8_type, "NaN") == "NaN");
  BOOST_TEST(value_of(float8_type, "-Infinity") == "-Infinity");
  BOOST_TEST(value_of(bool_type, "t") == true);
  BOOST_TEST(value_of(bool_type, "f") == false);
  BOOST_TEST(value_of(text_type, "1") == "1");
}

BOOST_AUTO_TEST_CASE(text_is_escaped) {
  std::string every;
  for (char c = 1; c < 127; ++c) every += c;
  BOOST_TEST(value_of(text_type, every) == every);
  BOOST_TEST(value_of(text_type, "H\u1ea3i Ph\u00f2ng \U0001f426") ==
             "H\u1ea3i Ph\u00f2ng \U0001f426");
}

BOOST_AUTO_TEST_CASE(invalid_utf_8_becomes_replacement_character) {
  for (std::string_view bad :
       {"\xff", "\x80", "\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2",
        "\xe2\x82", "\xf0\x9f\x90", "\xe0\x80\x80"}) {
    auto parsed = value_of(text_type, "a" + std::string(bad) + "b");
    auto text = parsed.get<std::string>();
    BOOST_TEST(text.starts_with("a\xef\xbf\xbd"));
    BOOST_TEST(text.ends_with("b"));
  }
}
