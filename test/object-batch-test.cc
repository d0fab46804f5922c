#define BOOST_TEST_MODULE object_batch
#include <boost/test/unit_test.hpp>
#include <string>

#include "process/json-fields.h"
#include "process/platform-client.h"

using namespace toucanmux;

// Guards against a process that ends, or stops following a kind of objects,
// because of one object of another program.
BOOST_AUTO_TEST_CASE(an_unreadable_object_costs_no_other) {
  const std::string good =
      R"({"kind":"groups","key":"g-1","version":4,"value":"{}"})";
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& odd :
       {std::string("7"), std::string("null"), std::string("nonsense"), deep,
        std::string(R"({"key":"\udc80"})"), std::string("{\"key\":\"\xff\"}"),
        std::string(R"({"key":[]})"),
        std::string(R"({"key":"x","version":1e999})")}) {
    std::string body = R"({"revision":9,"objects":[)";
    body.append(odd).append(",").append(good).append("]}");
    auto batch = parse_object_batch(body);
    BOOST_TEST(batch.reached);
    BOOST_TEST(batch.revision == 9U);
    BOOST_TEST(batch.skipped == 1U);
    BOOST_REQUIRE(batch.objects.size() == 1U);
    BOOST_TEST(batch.objects[0].key == "g-1");
    BOOST_TEST(batch.objects[0].version == 4U);
  }
  for (const char* broken :
       {"", "[]", "7", "{\"objects\":[", "{\"objects\":7}"})
    BOOST_TEST(!parse_object_batch(broken).reached);
}

BOOST_AUTO_TEST_CASE(fields_of_another_type_have_defaults) {
  json_fields fields(
      R"({"id":7,"port":70000,"n":-1,"flag":"yes","ok":"text","p":65535})");
  BOOST_TEST(fields.text("id", "fallback") == "fallback");
  BOOST_TEST(fields.text("ok") == "text");
  BOOST_TEST(fields.port("port") == 0U);
  BOOST_TEST(fields.port("p") == 65535U);
  BOOST_TEST(fields.number("n") == 0U);
  BOOST_TEST(!fields.flag("flag"));
  BOOST_TEST(!json_fields("[1]").is_object());
  BOOST_TEST(json_fields("[1]").number("n") == 0U);
}
