#define BOOST_TEST_MODULE store_api
#include "proxy/store-api.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "toucanmux/codec.h"
#include "toucanmux/error.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/proxy/peer-message.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

const std::string good_entry =
    R"({"meta":{"name":"i-1","revision":41},"spec":{"service":"ledger",
    "addr":"10.1.64.9:8080","zone":"norte","slots":3,"state":"ready",
    "db_role":"primary","seq":7,"born":1777749136027}})";

const std::string good_config =
    R"({"meta":{"name":"main","revision":88},"spec":{"version":7,"routes":[
    {"name":"r","host":"orders","kind":"session","timeout_ms":800,
     "goal_ms":250,"priority":2,"service":"ledger","max_staleness_ms":2500,
     "public":false}],"services":[{"name":"ledger","max_conns":47,
     "sync_replicas":1}],"limits":{"tx_idle_ms":3000},"tenants":[
     {"name":"pilots","api_keys":["k1","k2"],"rate_per_s":13.5,"burst":20}]}})";

std::string page(const std::string& items, bool more = false) {
  return "{\"items\":[" + items + "],\"more\":" + (more ? "true" : "false") +
         ",\"store_revision\":530}";
}

std::string mutate(std::string text, std::mt19937& random) {
  for (auto edits_left = random() % 4 + 1; edits_left > 0 && !text.empty();
       --edits_left) {
    auto at = random() % text.size();
    switch (random() % 3) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, random() % 9);
        break;
      default:
        text.insert(at, text.substr(random() % text.size(), random() % 30));
    }
  }
  return text;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_generation_of_the_store_is_read_from_any_answer) {
  http_result result;
  BOOST_TEST(store_api::store_generation(result) == 1U);
  result.headers = {{"Content-Length", "2"}, {"store-era", "7"}};
  BOOST_TEST(store_api::store_generation(result) == 8U);
  result.headers = {{"Store-Era", "0"}};
  BOOST_TEST(store_api::store_generation(result) == 1U);
  for (std::string malformed : {"", "x", "7x", "-1"}) {
    result.headers = {{"Store-Era", malformed}};
    BOOST_TEST(store_api::store_generation(result) == 1U);
  }
}

BOOST_AUTO_TEST_CASE(configuration_is_parsed) {
  auto config = store_api::parse_config(good_config).config;
  BOOST_TEST(config.version() == 7U);
  // The digest follows from the content alone.
  auto rewritten = good_config;
  rewritten.replace(rewritten.find("88"), 2, "12");
  BOOST_TEST(store_api::parse_config(rewritten).config.digest() ==
             config.digest());
  auto changed = good_config;
  changed.replace(changed.find("800"), 3, "900");
  BOOST_TEST(store_api::parse_config(changed).config.digest() !=
             config.digest());
  BOOST_TEST((config.transaction_idle() == 3s));
  const auto* found = config.find_route("orders");
  BOOST_REQUIRE(found);
  BOOST_TEST((found->kind == route_kind::session));
  BOOST_TEST((found->max_age == 2500ms));
  BOOST_TEST(config.find_team_by_key("k2")->rate == 13.5);
  BOOST_TEST(config.find_group(group_id("ledger"))->sync_replicas == 1U);
}

BOOST_AUTO_TEST_CASE(configuration_without_version_is_rejected) {
  BOOST_CHECK_THROW(store_api::parse_config("{}"), list_error);
  BOOST_CHECK_THROW(store_api::parse_config("nonsense"), list_error);
  BOOST_CHECK_THROW(store_api::parse_config("[1]"), list_error);
}

BOOST_AUTO_TEST_CASE(unknown_route_kind_is_the_strictest) {
  auto text = good_config;
  text.replace(text.find("\"session\""), 9, "\"newkind\"");
  auto config = store_api::parse_config(text).config;
  BOOST_TEST((config.find_route("orders")->kind == route_kind::leader));
}

// Guards against a malformed entry that hides a drain, and against a store
// without the kind that keeps instances from becoming ready.
BOOST_AUTO_TEST_CASE(drained_domains_are_parsed) {
  http_result result;
  result.answered = true;
  result.status = 200;
  result.body = page(R"({"meta":{"name":"norte","revision":9},"spec":{}},17,
      {"meta":{"name":""}},{"meta":{"name":"sur"},"spec":null})",
                     true);
  auto found = store_api::parse_drained_domains(result).value();
  BOOST_TEST(found.domains.size() == 2U);
  BOOST_TEST(found.skipped_entries == 2U);
  BOOST_TEST(found.revision == 530U);
  BOOST_TEST(found.continue_after == "sur");
  result.body = "[]";
  BOOST_TEST(!store_api::parse_drained_domains(result).has_value());
  result.status = 404;
  BOOST_TEST(store_api::parse_drained_domains(result)->domains.empty());
  result.answered = false;
  BOOST_TEST(!store_api::parse_drained_domains(result).has_value());
}

BOOST_AUTO_TEST_CASE(the_warm_up_of_a_database_is_parsed) {
  auto with = [](const std::string& value) {
    auto text = good_entry;
    text.insert(text.find("\"slots\""), "\"cold_left_ms\":" + value + ',');
    return store_api::parse_upstream(text)->warm_up_left;
  };
  BOOST_TEST((with("4500") == 4500ms));
  BOOST_TEST((with("\"soon\"") == 0ms));
  BOOST_TEST((with("-1") == 0ms));
  BOOST_TEST((with("18446744073709551615") == 1h));
}

BOOST_AUTO_TEST_CASE(malformed_entries_are_skipped) {
  auto found = store_api::parse_upstreams(
      page(good_entry + R"(,{"meta":{"name":"i-2"}},17,null,
       {"meta":{"name":"i-3"},"spec":{"service":"ledger","addr":"nowhere",
        "state":"ready","db_role":"primary"}},
       {"meta":{"name":"i-4"},"spec":{"service":"ledger",
        "addr":"10.1.64.9:80","state":"melting","db_role":"primary"}},
       {"meta":{"name":"i-5"},"spec":{"service":9,"addr":"10.1.64.9:80",
        "state":"ready","db_role":"replica"}})"));
  BOOST_REQUIRE(found.has_value());
  BOOST_REQUIRE(found->entries.size() == 1U);
  BOOST_TEST(found->skipped.size() == 6U);
  BOOST_TEST(found->revision == 530U);
  const auto& entry = found->entries[0];
  BOOST_TEST(entry.id.value == "i-1");
  BOOST_TEST(entry.claims_lead);
  BOOST_TEST(entry.sequence == 7U);
  BOOST_TEST(entry.slots == 3U);
  BOOST_TEST(to_text(entry.address) == "10.1.64.9:8080");
}

BOOST_AUTO_TEST_CASE(long_list_continues_after_last_name) {
  auto found = store_api::parse_upstreams(page(good_entry, true));
  BOOST_TEST(found->continue_after == "i-1");
  BOOST_TEST(store_api::list_upstreams("i 1/", read_consistency::linearizable)
                 .target == "/objects/servers?after=i%201%2F");
}

BOOST_AUTO_TEST_CASE(events_name_removed_and_malformed_entries) {
  auto found = store_api::parse_upstream_events(
      R"({"events":[{"removed":true,"object":{"meta":{"name":"i-9"}}},
          {"removed":false,"object":)" +
      good_entry + R"(},{"removed":false,"object":7},3],"store_revision":9})");
  BOOST_REQUIRE(found.has_value());
  BOOST_REQUIRE(found->events.size() == 3U);
  BOOST_TEST(found->events[0].removed);
  BOOST_TEST(found->events[0].entry.id.value == "i-9");
  BOOST_TEST(found->events[1].readable);
  BOOST_TEST(!found->events[2].readable);
}

// Guards against instances that weigh owners by different capacities.
BOOST_AUTO_TEST_CASE(a_member_record_keeps_the_capacity) {
  store_api::member_record record{
      member_id("edge-1"), domain_id("a"), {0x7f000001, 7560}, 84};
  auto body = store_api::create_member(record).body;
  BOOST_TEST(store_api::parse_member(body)->capacity == 84U);
}

BOOST_AUTO_TEST_CASE(duty_write_is_conditional_on_revision) {
  write_duty request{group_id("ledger"),
                     8,
                     member_id("edge-1"),
                     database_id("i-1"),
                     412,
                     leadership_phase::named,
                     database_id("i-2"),
                     database_id("i-2")};
  auto call = store_api::write_duty(request, 2);
  BOOST_TEST(call.method == "PUT");
  // A write that takes effect after a restore changes no object in use.
  BOOST_TEST(call.target == "/objects/toucanmux-duties-2/group-ledger");
  BOOST_TEST(call.body.find("\"revision\":412") != std::string::npos);
  request.revision = 0;
  BOOST_TEST(store_api::write_duty(request, 2).method == "POST");
  http_result result;
  auto outcome = [&] { return store_api::parse_duty_outcome(result).outcome; };
  BOOST_TEST((outcome() == duty_write_outcome::unknown));
  result.answered = true;
  result.status = 409;
  BOOST_TEST((outcome() == duty_write_outcome::conflict));
  result.status = 200;
  result.body = R"({"meta":{"name":"ledger","revision":413},
      "spec":{"holder":"edge-1","token":8,"replaces":"i-1","phase":"named",
              "leader":"i-2","order":"i-2"}})";
  BOOST_TEST((outcome() == duty_write_outcome::written));
  BOOST_TEST(store_api::parse_duty_outcome(result).revision == 413U);
  auto by_read = [&] {
    return store_api::duty_outcome_by_read(result, request);
  };
  BOOST_TEST((by_read().outcome == duty_write_outcome::written));
  BOOST_TEST(by_read().revision == 413U);
  // An earlier write with the same holder and token but another phase or holder
  // is not this one.
  request.phase = leadership_phase::settled;
  BOOST_TEST((by_read().outcome == duty_write_outcome::unknown));
  request.phase = leadership_phase::named;
  request.holder = member_id("edge-2");
  BOOST_TEST((by_read().outcome == duty_write_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(duties_are_parsed_as_leader_records) {
  auto found = store_api::parse_duties(
      R"({"items":[{"meta":{"name":"group-ledger","revision":7},"spec":{
          "token":2,"holder":"edge-1","phase":"revoked","leader":"i-1"}},
          {"meta":{"name":"group-stock","revision":9},"spec":{"token":2}},
          5,{"spec":{}}],"more":false})");
  BOOST_REQUIRE(found.has_value());
  BOOST_REQUIRE(found->duties.size() == 2U);
  BOOST_TEST(found->continue_after.empty());
  BOOST_TEST(!found->base.has_value());
  BOOST_TEST(!found->settled);
  const auto& [group, duty] = found->duties[0];
  auto first = store_api::to_leader_record(group, duty, 3);
  BOOST_TEST(first.group == short_hash("ledger"));
  BOOST_TEST((first.version() == store_version{3, 7}));
  BOOST_TEST((first.phase == leadership_phase::revoked));
  BOOST_TEST(first.leader == short_hash("i-1"));
  BOOST_TEST(first.holder == short_hash("edge-1"));
  BOOST_TEST((found->duties[1].duty.phase == leadership_phase::settled));
  BOOST_TEST(!store_api::parse_duties("[").has_value());
}

BOOST_AUTO_TEST_CASE(the_base_of_a_generation_has_the_duties_of_all_groups) {
  duty_read duty;
  duty.holder = member_id("edge-1");
  duty.token = 8;
  duty.phase = leadership_phase::named;
  duty.leader = duty.pending_promotion = database_id("i-2");
  std::vector<store_api::group_duty> duties{{group_id("ledger"), duty}};
  auto call = store_api::create_base(duties, false, 4);
  BOOST_TEST(call.method == "POST");
  BOOST_TEST(call.target == "/objects/toucanmux-duties-4");
  // The store adds the revision.
  auto stored = call.body;
  auto name = stored.find("\"name\"");
  BOOST_REQUIRE(name != std::string::npos);
  stored.insert(name, "\"revision\":61,");
  auto found = store_api::parse_duties(page(stored));
  BOOST_REQUIRE(found.has_value() && found->base.has_value());
  BOOST_TEST(!found->settled);
  BOOST_REQUIRE(found->base->size() == 1U);
  const auto& [group, inherited] = found->base->front();
  BOOST_TEST(group.value == "ledger");
  BOOST_TEST(inherited.inherited);
  BOOST_TEST(inherited.revision == 61U);
  BOOST_TEST(inherited.token == 8U);
  BOOST_TEST((inherited.phase == leadership_phase::named));
  BOOST_TEST(inherited.leader.value == "i-2");
  BOOST_TEST(inherited.pending_promotion.value == "i-2");
  call = store_api::create_base({}, true, 4);
  BOOST_TEST(store_api::parse_duties(page(call.body))->settled);
  call = store_api::create_settled_note(4);
  BOOST_TEST(store_api::parse_duties(page(call.body))->settled);
}

BOOST_AUTO_TEST_CASE(promotion_request_carries_holder_and_token) {
  auto call = store_api::request_promotion(
      {group_id("ledger"), database_id("i-2"), member_id("edge-1"), 8});
  BOOST_TEST(call.target == "/failover");
  BOOST_TEST(call.headers.find("Toucanmux-Fence-Token: 8\r\n") !=
             std::string::npos);
  BOOST_TEST(call.headers.find("Toucanmux-Lease-Holder: edge-1\r\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(mutated_objects_do_not_crash_parsers) {
  std::mt19937 random(5);
  for (int i = 0; i < 4000; ++i) {
    try {
      store_api::parse_config(mutate(good_config, random));
    } catch (const list_error&) {
    }
    store_api::parse_upstreams(mutate(page(good_entry), random));
    store_api::parse_upstream(mutate(good_entry, random));
    store_api::parse_upstream_events(
        mutate(R"({"events":[{"removed":false,"object":)" + good_entry + "}]}",
               random));
    http_result result;
    result.answered = true;
    result.status = 200;
    result.body = mutate(good_entry, random);
    store_api::parse_duty(result);
    store_api::parse_duties(mutate(page(good_entry), random));
    store_api::parse_members(mutate(page(good_entry), random));
  }
}

BOOST_AUTO_TEST_CASE(mutated_peer_reports_are_rejected) {
  peer_report report;
  report.uses.items = {{1, 2, 3, 4.0F}, {5, 6, 7, 8.0F}};
  report.sightings.items = {{1, 2, true}};
  datagram message;
  message.from = member_id("edge-1");
  message.payload = encode(peer_message(report));
  auto packed = pack(message);
  auto decoded = decode<peer_message>(message.payload);
  BOOST_TEST(std::get<peer_report>(decoded).uses.items[1].admitted == 6U);
  std::mt19937 random(6);
  int rejected = 0;
  for (int i = 0; i < 4000; ++i) {
    try {
      auto mutated = mutate(packed, random);
      decode<peer_message>(unpack_datagram(mutated).payload);
    } catch (const protocol_error&) {
      ++rejected;
    }
    try {
      decode<peer_message>(mutate(message.payload, random));
    } catch (const protocol_error&) {
      ++rejected;
    }
  }
  BOOST_TEST(rejected > 4000);
}

BOOST_AUTO_TEST_CASE(upstream_update_round_trip) {
  upstream_update update;
  update.from = {2, 7};
  update.to = {2, 9};
  upstream_change change;
  change.entry.id = database_id("i-1");
  change.entry.address = {0x0a010203, 8080};
  change.entry.draining = true;
  update.changes.items = {change};
  auto decoded = decode<peer_message>(encode(peer_message(update)));
  const auto& read = std::get<upstream_update>(decoded);
  BOOST_TEST((read.to == store_version{2, 9}));
  BOOST_TEST(read.changes.items.at(0).entry.draining);
  BOOST_TEST(read.changes.items.at(0).entry.address.port == 8080U);
}
