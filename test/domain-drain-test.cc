#define BOOST_TEST_MODULE domain_drain
#include <boost/test/unit_test.hpp>
#include <string>

#include "standin/proxy/process-fixture.h"
#include "standin/proxy/session-fixture.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

namespace {

const std::string put_row = "QUERY 1 PUT 1a4 x";

struct drain_fixture : process_fixture {
  drain_fixture() {
    settings.domain_drain_timeout = 5s;
    settings.isolated_drain_timeout = 15s;
    settings.regions.add(domain_id("a"), region_id("eu"));
    settings.regions.add(domain_id("b"), region_id("us"));
  }
  // The leader and a replica are in domain a, the third database in `third_in`.
  void start(const std::string& third_in) {
    put_entry(first, "a");
    put_entry(second, "a");
    put_entry(third, third_in);
    restart();
    run_until([&] { return ready(); });
  }
  void restart() {
    process.reset();
    process = std::make_unique<proxy_process>(loop, settings, "");
    process->start();
  }
  void put_entry(const line_database& database, const std::string& domain) {
    auto entry = database.entry();
    store.put("servers", entry.id.value,
              R"({"service":"ledger","addr":")" + to_text(entry.address) +
                  R"(","zone":")" + domain +
                  R"(","state":"ready","db_role":")" +
                  (database.is_primary ? "primary" : "replica") +
                  R"(","seq":)" + std::to_string(++sequence) + R"(,"born":1})");
  }
  bool served(line_client& caller) {
    return starts_with(caller.request(put_row), "ROW");
  }
  bool refused_as_drained(line_client& caller) {
    auto answer = caller.request(put_row);
    return starts_with(answer, "ERR BUSY") &&
           answer.find("drained") != std::string::npos;
  }
};

// A group whose rules follow the list of drained domains.
struct session_drain_fixture : session_fixture {
  session_drain_fixture() {
    state.domains.drained.follow();
    group().set_domain_rules(state.domains);
    drain({});
  }
  void drain(std::vector<domain_id> domains) {
    state.domains.drained.apply_list(loop.now(), {1, ++revision}, domains);
    group().apply_drain_change();
  }
  std::uint64_t revision = 1;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(domain_drain_tests, drain_fixture)

// Guards against a leader that stays in, or moves within, a drained domain.
BOOST_AUTO_TEST_CASE(the_leader_moves_out_of_a_drained_domain) {
  start("b");
  auto caller = connect();
  BOOST_TEST(served(*caller));
  second.log_end = third.log_end = first.log_end;
  store.put("evacuations", "a", "{}");
  run_until([&] {
    return refused_as_drained(*caller) || !store.failovers().empty();
  });
  auto executed = first.executed().size();
  run_until([&] { return !store.failovers().empty(); });
  BOOST_TEST(store.failovers()[0].find("i-3") != std::string::npos);
  third.is_primary = true;
  put_entry(third, "b");
  run_until([&] { return served(*caller); });
  BOOST_TEST(first.executed().size() == executed);
  BOOST_TEST(second.executed().empty());
}

// Guards against statements that wait for a leader change that can't happen,
// and against a drain that outlasts its entry.
BOOST_AUTO_TEST_CASE(without_another_domain_statements_are_refused) {
  start("a");
  auto caller = connect();
  // Neither a domain that does not exist nor a name that is none.
  store.put("evacuations", "z", "{}");
  store.put("evacuations", "", "null");
  run_for(1500ms);
  BOOST_TEST(served(*caller));
  store.put("evacuations", "a", "[7]");
  run_until([&] { return refused_as_drained(*caller); });
  auto executed = first.executed().size();
  store.remove("evacuations", "a");
  store.put("evacuations", "a", "{}");
  run_for(1500ms);
  BOOST_TEST(refused_as_drained(*caller));
  BOOST_TEST(first.executed().size() == executed);
  store.remove("evacuations", "a");
  run_until([&] { return served(*caller); });
  BOOST_TEST(store.failovers().empty());
}

// Guards against statements to a drained domain from an instance that starts,
// before and after it is ready.
BOOST_AUTO_TEST_CASE(a_restarted_instance_knows_the_drain) {
  store.put("evacuations", "a", "{}");
  start("a");
  restart();
  auto is_served = [&] {
    auto caller = connect();
    return served(*caller);
  };
  run_until([&] {
    BOOST_TEST(!is_served());
    return ready();
  });
  BOOST_TEST(!is_served());
  store.silent = true;
  run_for(1s);
  BOOST_TEST(!is_served());
  BOOST_TEST(first.executed().empty());
}

// Guards against an instance that misses a drain because its own store is away.
BOOST_AUTO_TEST_CASE(
    an_instance_without_the_store_learns_of_a_drain_by_report) {
  platform_stub second_store(loop);
  start("a");
  second_store.put("config", "main", config_spec(3, "key-1"));
  for (auto* database : {&first, &second, &third})
    write_heartbeat(second_store, *database);
  run_until([&] { return store.contains("toucanmux-members", "edge-1"); });
  second_store.put("toucanmux-members", "edge-1",
                   store.spec("toucanmux-members", "edge-1"));
  auto second_instance = start_second_instance(second_store.address());
  run_until([&] { return ready(second_instance); });
  line_client caller(loop, second_instance.settings.caller_address);
  caller.request("CONNECT orders key-1");
  run_until([&] { return served(caller); });
  second_store.silent = true;
  while (store.revision() <= second_store.revision() + 5)
    store.put("other", "x", "{}");
  store.put("evacuations", "a", "{}");
  run_until([&] { return refused_as_drained(caller); });
}

// Guards against further calls to the store where no domain is ever drained.
BOOST_AUTO_TEST_CASE(other_deployments_do_not_read_the_list) {
  settings.domain_drain_timeout = 0s;
  store.put("evacuations", "a", "{}");
  start("a");
  auto caller = connect();
  run_for(1500ms);
  BOOST_TEST(served(*caller));
}

// Guards against statements outside of the allowed regions of a route, of a
// team, and of both, and against a malformed restriction that restricts
// nothing.
BOOST_AUTO_TEST_CASE(statements_stay_in_the_regions_of_route_and_team) {
  start("b");
  struct restriction {
    std::string route, team;
    bool is_served;
  };
  unsigned version = 3;
  for (const auto& each :
       {restriction{R"(["eu"])", R"(["us","eu"])", true},
        restriction{R"(["us"])", "[]", false},
        restriction{"[]", R"(["us"])", false},
        restriction{R"(["eu"])", R"(["us"])", false},
        restriction{R"("eu")", "[]", false}, restriction{"[]", "null", true}}) {
    auto key = "key-" + std::to_string(++version);
    auto spec = config_spec(version, key);
    spec.insert(spec.find(R"("public")"),
                R"("regions_allowed":)" + each.route + ',');
    spec.insert(spec.find(R"("rate_per_s")"),
                R"("regions_allowed":)" + each.team + ',');
    store.put("config", "main", spec);
    auto executed = first.executed().size();
    std::string answer;
    run_until([&] {
      line_client caller(loop, settings.caller_address);
      if (!starts_with(caller.request("CONNECT orders " + key), "READY"))
        return false;
      answer = caller.request(put_row);
      return true;
    });
    BOOST_TEST(starts_with(answer, each.is_served ? "ROW" : "ERR BUSY"));
    BOOST_TEST(first.executed().size() == executed + (each.is_served ? 1 : 0));
  }
  BOOST_TEST(third.executed().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(session_drain_tests, session_drain_fixture)

// Guards against a queued statement that waits for its deadline during a drain,
// and against a transaction that a drain interrupts.
BOOST_AUTO_TEST_CASE(a_drain_refuses_queued_statements_and_no_transaction) {
  group().set_policy({group().id(), 1, 0});
  group().set_members(
      std::make_shared<const std::vector<member_id>>(1, state.settings.self));
  first.defer_answers = false;
  auto holder = connect("orders");
  holder->request("QUERY 1 BEGIN");
  BOOST_TEST(holder->request("QUERY 2 PUT 1a4 x").find("ROW") == 0U);
  auto waiter = connect("orders");
  waiter->send("QUERY 3 PUT 1a4 x");
  while (group().queue_length() == 0) loop.turn(20ms);
  drain({first.entry().domain});
  BOOST_TEST(group().queue_length() == 0U);
  BOOST_TEST(waiter->read_answer().find("drained") != std::string::npos);
  BOOST_TEST(holder->request("QUERY 4 PUT 1a4 x").find("ROW") == 0U);
  holder->request("QUERY 5 COMMIT");
  BOOST_TEST(first.executed().back() == "5 COMMIT");
  drain({});
  BOOST_TEST(waiter->request("QUERY 6 PUT 1a4 x").find("ROW") == 0U);
}

// Guards against the first statement of a transaction at a database whose
// domain was drained after the begin was sent.
BOOST_AUTO_TEST_CASE(a_drain_between_begin_and_statement_stops_the_statement) {
  auto caller = connect("orders");
  caller->request("QUERY 1 PUT 1a4 x");
  auto known_lines = first.received_lines().size();
  caller->send("QUERY 2 FETCH 1a4");
  while (first.received_lines().size() == known_lines) loop.turn(20ms);
  drain({first.entry().domain});
  BOOST_TEST(caller->read_answer().find("drained") != std::string::npos);
  BOOST_TEST(first.executed().size() == 1U);
}

// Guards against statements over the warm-up budget, also from a transaction
// that is open.
BOOST_AUTO_TEST_CASE(a_cold_database_gets_no_more_than_its_budget) {
  state.domains.warm_up_excess = 1.5;
  state.domains.warm_up_margin = 0;
  state.domains.known_members = {state.settings.self};
  state.domains.fleet_size = 1;
  group_policy policy{group().id(), 48, 0};
  policy.warm_up_rate = 2;
  group().set_policy(policy);
  auto cold = first.entry();
  cold.warm_up_left = 60s;
  group().set_entry(cold);
  auto caller = connect("orders");
  caller->request("QUERY 1 BEGIN");
  for (const char* line :
       {"QUERY 2 PUT 1a4 x", "QUERY 3 PUT 1a4 x", "QUERY 4 PUT 1a4 x"})
    BOOST_TEST(caller->request(line).find("ROW") == 0U);
  BOOST_TEST(caller->request("QUERY 5 PUT 1a4 x").find("ERR") == 0U);
  BOOST_TEST(first.executed().size() == 3U);
  BOOST_TEST(group().warm_up_left() == 0U);
  caller->request("QUERY 6 ROLLBACK");
  run_for(warm_up::window);
  BOOST_TEST(caller->request("QUERY 7 PUT 1a4 x").find("ROW") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
