#define BOOST_TEST_MODULE unreadable_input
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>
#include <vector>

#include "proxy/store-api.h"
#include "proxy/udp-port.h"
#include "standin/proxy/process-fixture.h"
#include "toucanmux/error.h"
#include "toucanmux/json-scan.h"
#include "toucanmux/proxy/echoed-moment.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

namespace {

std::string repeat(const std::string& text, std::size_t count) {
  std::string out;
  for (std::size_t i = 0; i < count; ++i) out += text;
  return out;
}

// Values that other programs have left in objects.
const std::vector<std::string>& odd_values() {
  static const std::vector<std::string> values{
      R"("\udc80\udcff")",
      "\"\xff\xfe\"",
      "1e999",
      repeat("[", 100'000) + repeat("]", 100'000),
      repeat("{\"a\":", 200'000) + "1" + repeat("}", 200'000),
      "nonsense"};
  return values;
}

std::string entry(const std::string& name, const std::string& note = "1") {
  return R"({"meta":{"name":")" + name +
         R"(","revision":41},"spec":{"service":"ledger",
      "addr":"10.1.64.9:8080","zone":"norte","slots":3,"state":"ready",
      "db_role":"replica","seq":7,"born":1,"note":)" +
         note + "}}";
}

std::string member(const std::string& domain) {
  return R"({"meta":{"name":"odd","revision":6},"spec":{"domain":)" + domain +
         "}}";
}

std::string member_text(const std::string& name, const std::string& value) {
  return '"' + name + "\":" + value;
}

std::string joined(const std::string& first, const std::string& second) {
  return first + ',' + second;
}

std::string duty(const std::string& group, const std::string& token) {
  return R"({"meta":{"name":"group-)" + group +
         R"(","revision":5},"spec":{"token":)" + token +
         R"(,"leader":"i-1","phase":"settled"}})";
}

// The first of its two groups has a note.
std::string base(const std::string& note) {
  return R"({"meta":{"name":"base"},"spec":{"settled":true,"groups":[
      {"group":"b","leader":"i-7","note":)" +
         note + R"(},{"group":"c","leader":"i-8"}]}})";
}

std::string page(const std::string& items, bool more = false) {
  return "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") +
         ",\"store_revision\":530}";
}

}  // namespace

BOOST_AUTO_TEST_CASE(documents_are_split_without_being_parsed) {
  auto members = json_scan::split_object(
      R"( {"a" : [1,{"b":"]}\"" }], "c\"":"x,y" ,"d":1e999} )");
  BOOST_REQUIRE(members.has_value());
  BOOST_REQUIRE(members->size() == 3U);
  BOOST_TEST((*members)[0].value == R"([1,{"b":"]}\"" }])");
  BOOST_TEST((*members)[1].name == R"(c\")");
  BOOST_TEST((*members)[2].value == "1e999");
  BOOST_TEST(json_scan::split_array(R"(["a",[],{} , 2])")->size() == 4U);
  BOOST_TEST(json_scan::split_array("[ ]")->empty());
  for (const char* broken : {"", "{", "[1,2", "[1,,2]", "[1] 2", "[\"a]", "7"})
    BOOST_TEST(!json_scan::split_array(broken).has_value());
  for (const char* broken : {"{\"a\"}", "{\"a\":}", "{a:1}", "{\"a\":1,}"})
    BOOST_TEST(!json_scan::split_object(broken).has_value());
  BOOST_TEST(json_scan::depth(R"([{"a":"[[[\"["},[1]])") == 2U);
}

// Guards against a list of databases that is lost for one of its entries.
BOOST_AUTO_TEST_CASE(an_unreadable_entry_costs_no_other_entry) {
  for (const auto& value : odd_values()) {
    auto found = store_api::parse_upstreams(
        page(entry("i-1") + ',' + entry("odd", value), true));
    BOOST_REQUIRE(found.has_value());
    BOOST_REQUIRE(found->entries.size() == 1U);
    BOOST_REQUIRE(found->skipped.size() == 1U);
    BOOST_TEST(found->skipped[0] == "odd");
    BOOST_TEST(found->revision == 530U);
    // Further pages are read, although this one ends with the entry.
    BOOST_TEST(found->continue_after == "odd");
    BOOST_TEST(!store_api::parse_upstream(entry("odd", value)).has_value());
  }
  auto unnamed = R"({"meta":{"name":"\udc80"},"spec":{}})";
  auto found =
      store_api::parse_upstreams(page(entry("i-1") + ',' + unnamed, true));
  BOOST_TEST(found->continue_after == "i-1");
}

// Guards against changes, also of the same database, that are lost with one
// that can't be read.
BOOST_AUTO_TEST_CASE(an_unreadable_change_costs_no_other_change) {
  for (const auto& value : odd_values()) {
    auto found = store_api::parse_upstream_events(
        R"({"events":[{"removed":true,"object":)" + entry("i-1", value) +
        R"(},{"removed":false,"object":)" + entry("i-2", value) +
        R"(},{"removed":false,"object":)" + entry("i-3") +
        R"(}],"store_revision":9})");
    BOOST_REQUIRE(found.has_value());
    BOOST_REQUIRE(found->events.size() == 3U);
    BOOST_TEST(found->events[0].removed);
    BOOST_TEST(found->events[0].entry.id.value == "i-1");
    BOOST_TEST(!found->events[1].readable);
    BOOST_TEST(found->events[1].entry.id.value == "i-2");
    BOOST_TEST(found->events[2].readable);
    BOOST_TEST(found->revision == 9U);
  }
}

BOOST_AUTO_TEST_CASE(an_unreadable_item_of_the_configuration_is_skipped) {
  for (const auto& value : odd_values()) {
    auto config = config_spec(7, "key-1");
    config.insert(config.find("[{\"host\"") + 1,
                  R"({"host":"odd","note":)" + value + "},");
    config.insert(1, "\"note\":" + value + ',');
    auto parsed = store_api::parse_config(
        R"({"meta":{"name":"main","revision":8},"spec":)" + config + "}");
    BOOST_TEST(parsed.config.version() == 7U);
    BOOST_TEST(parsed.skipped_items == 1U);
    BOOST_TEST(parsed.config.find_route("orders") != nullptr);
    BOOST_TEST(parsed.config.find_route("odd") == nullptr);
    BOOST_TEST(parsed.config.find_team_by_key("key-1") != nullptr);
  }
}

// Guards against times and numbers whose arithmetic overflows.
BOOST_AUTO_TEST_CASE(numbers_of_the_configuration_are_bounded) {
  auto config = config_spec(7, "key-1");
  for (const char* number : {"800", "47", "\"priority\":1"}) {
    std::string text(number);
    auto value = text.find(':') == std::string::npos ? text : std::string("1");
    auto at = config.find(number) + text.size() - value.size();
    config.replace(at, value.size(), "18446744073709551615");
  }
  auto parsed = store_api::parse_config(R"({"meta":{"name":"main"},"spec":)" +
                                        config + "}");
  const auto* route = parsed.config.find_route("orders");
  BOOST_REQUIRE(route);
  BOOST_TEST((route->statement_timeout > 1h));
  BOOST_TEST((instant(1000h) + route->statement_timeout > instant(1000h)));
  BOOST_TEST(route->priority == 1000U);
  BOOST_TEST(parsed.config.find_group(group_id("ledger"))->max_connections >
             1'000'000U);
}

BOOST_AUTO_TEST_CASE(an_unreadable_member_or_domain_costs_no_other) {
  const std::string good =
      R"({"meta":{"name":"edge-2"},"spec":{"address":"10.1.0.2:7560",
      "domain":"a"}})";
  for (const auto& value : odd_values()) {
    auto odd = member(value);
    auto list = page(joined(odd, good));
    auto members = store_api::parse_members(list);
    BOOST_REQUIRE(members.has_value());
    BOOST_TEST(members->members.size() == 1U);
    BOOST_TEST(members->skipped.size() == 1U);
    // The instance that finds its own record overwritten can replace it.
    BOOST_TEST(store_api::object_revision(odd) == 6U);
    http_result result;
    result.answered = true;
    result.status = 200;
    result.body = list;
    auto drained = store_api::parse_drained_domains(result);
    BOOST_REQUIRE(drained.has_value());
    BOOST_TEST(drained->domains.size() == 2U);
  }
}

// Guards against a group that is led by a database which a record that can't be
// read may have replaced.
BOOST_AUTO_TEST_CASE(
    an_unreadable_duty_leaves_only_its_group_without_a_leader) {
  for (const auto& value : odd_values()) {
    auto found = store_api::parse_duties(
        page(base(value) + ',' + duty("a", value) + ',' + duty("d", "3")));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->settled);
    BOOST_REQUIRE(found->base.has_value());
    BOOST_REQUIRE(found->base->size() == 1U);
    BOOST_TEST((*found->base)[0].duty.leader.value == "i-8");
    BOOST_REQUIRE(found->duties.size() == 2U);
    bool revoked = found->duties[0].duty.phase == leadership_phase::revoked;
    BOOST_TEST(revoked);
    BOOST_TEST(found->duties[1].duty.leader.value == "i-1");
    BOOST_TEST(found->skipped.size() == 1U);
    // No takeover starts from an unknown token.
    http_result result;
    result.answered = true;
    result.status = 200;
    result.body = duty("a", value);
    BOOST_TEST(!store_api::parse_duty(result).store_reached);
  }
}

// Guards against ids from damaged messages that end the process when they are
// written to the store.
BOOST_AUTO_TEST_CASE(names_that_are_no_text_can_be_written) {
  write_duty request;
  request.group = group_id("ledger");
  request.leader = database_id("\xff\xfe");
  BOOST_TEST(!store_api::write_duty(request, 1).body.empty());
}

// Guards against a damaged report whose confirmations lie in the future after
// its ages are subtracted.
BOOST_AUTO_TEST_CASE(only_stamps_that_were_sent_are_echoes) {
  constexpr std::uint64_t first = 5'000'000;
  constexpr instant now{9s};
  BOOST_TEST((echoed_moment(7'000'000, first, now) == instant(7s)));
  for (std::uint64_t echo :
       {first - 1, std::uint64_t{9'000'001}, std::uint64_t{1} << 63U,
        std::numeric_limits<std::uint64_t>::max()})
    BOOST_TEST(!echoed_moment(echo, first, now).has_value());
}

BOOST_FIXTURE_TEST_SUITE(processes, process_fixture)

// Guards against instances that never become ready, or end, because of one
// object in the store.
BOOST_AUTO_TEST_CASE(instances_start_beside_unreadable_objects) {
  unsigned number = 0;
  auto config = config_spec(4, "key-1");
  for (const auto& value : odd_values()) {
    auto name = "odd-" + std::to_string(++number);
    std::string spec = R"({"service":"ledger","note":)";
    spec.append(value).append("}");
    for (const char* kind :
         {"servers", "toucanmux-members", "toucanmux-duties-1"})
      store.put(kind, name, spec);
    config.insert(1, joined(member_text(name, value), ""));
  }
  store.put("config", "main", config);
  auto started = start_second_instance(store.address());
  run_until([&] { return ready(started); });
  settings.caller_address = started.settings.caller_address;
  BOOST_TEST(starts_with(connect()->request("QUERY 1 PUT 1a4 x"), "ROW"));
}

// Guards against running instances that stop following the list of databases.
BOOST_AUTO_TEST_CASE(a_running_instance_follows_the_list_beside_an_odd_entry) {
  run_until([&] { return ready() && store.watches() > 0; });
  unsigned number = 0;
  for (const auto& value : odd_values()) {
    store.put("servers", "odd-" + std::to_string(++number),
              "{\"note\":" + value + '}');
  }
  run_for(100ms);
  auto caller = connect();
  caller->request("QUERY 1 PUT 1a4 x");
  first.is_primary = false;
  second.is_primary = true;
  write_heartbeat(second);
  write_heartbeat(first);
  run_until([&] {
    return starts_with(connect()->request("QUERY 2 PUT 1a4 y"), "ROW");
  });
  BOOST_TEST(!second.executed().empty());
}

BOOST_AUTO_TEST_SUITE_END()
