#define BOOST_TEST_MODULE proxy_process
#include "proxy/proxy-process.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <random>
#include <string>

#include "proxy/udp-port.h"
#include "standin/proxy/line-client.h"
#include "standin/proxy/line-database.h"
#include "standin/proxy/loopback.h"
#include "standin/proxy/object-port.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

namespace {

std::string config_spec(unsigned version, const std::string& key,
                        const std::string& database = "orders") {
  return "{\"version\":" + std::to_string(version) + R"(,"routes":[{"host":")" +
         database +
         R"(","kind":"primary","timeout_ms":800,"goal_ms":250,"priority":1,
         "service":"ledger","public":false}],
         "services":[{"name":"ledger","max_conns":47,"sync_replicas":0}],
         "limits":{"tx_idle_ms":3000},"tenants":[{"name":"glaziers",
         "api_keys":[")" +
         key + R"("],"rate_per_s":1000,"burst":1000}]})";
}

/// One proxy process before a store and three databases, all on one loop.
class platform {
 public:
  platform()
      : store(loop),
        first(loop, "i-1", "ledger"),
        second(loop, "i-2", "ledger"),
        third(loop, "i-3", "ledger") {
    first.is_primary = true;
    settings.self = member_id("edge-1");
    settings.domain = domain_id("a");
    settings.callers = free_address(loop);
    settings.readiness = free_address(loop);
    settings.peers = free_address(loop);
    settings.ip = loopback;
    settings.store = settings.failover = store.address();
    settings.heartbeat = 400ms;
    settings.revoke_bound = 3500ms;
    settings.drain_bound = 7s;
    settings.stop_bound = 4s;
    settings.most_sessions = 8;
    store.put("config", "main", config_spec(3, "key-1"));
    for (auto* database : {&first, &second, &third}) beat(*database);
    process = std::make_unique<proxy_process>(loop, settings, "");
    process->start();
  }

  void beat(const line_database& database) { beat(store, database); }
  void beat(platform_stub& at, const line_database& database) {
    auto entry = database.entry();
    at.put("servers", entry.id.value,
           R"({"service":"ledger","addr":")" + to_text(entry.address) +
               R"(","zone":"a","slots":3,"state":"ready","db_role":")" +
               (database.is_primary ? "primary" : "replica") + R"(","seq":)" +
               std::to_string(++sequence) + R"(,"born":1})");
  }

  /// A second instance of the same failure domain.
  struct instance {
    proxy_settings settings;
    std::unique_ptr<proxy_process> process;
  };
  instance start_other(const inet_address& its_store) {
    instance out;
    out.settings = settings;
    out.settings.self = member_id("edge-2");
    out.settings.callers = free_address(loop);
    out.settings.readiness = free_address(loop);
    out.settings.peers = free_address(loop);
    out.settings.store = out.settings.failover = its_store;
    out.process = std::make_unique<proxy_process>(loop, out.settings, "");
    out.process->start();
    return out;
  }

  /// Turns the loop until a condition holds.
  template <class Condition>
  void until(Condition holds) {
    while (!holds()) loop.turn(20ms);
  }
  void pass(duration length) {
    auto end = boot_time() + length;
    until([&] { return boot_time() >= end; });
  }
  bool ready() { return ready(settings.readiness); }
  bool ready(const instance& other) { return ready(other.settings.readiness); }
  bool ready(const inet_address& at) {
    line_client probe(loop, at);
    probe.send("GET /readyz HTTP/1.1\r\n");
    until([&] { return probe.has_received() || probe.closed(); });
    return probe.first_line().find("200") != std::string::npos;
  }
  std::unique_ptr<line_client> connect(const std::string& key = "key-1",
                                       const std::string& name = "orders") {
    auto out = std::make_unique<line_client>(loop, settings.callers);
    out->ask("CONNECT " + name + ' ' + key);
    return out;
  }

  event_loop loop;
  platform_stub store;
  line_database first;
  line_database second;
  line_database third;
  proxy_settings settings;
  std::unique_ptr<proxy_process> process;
  unsigned sequence = 0;
};

bool begins(const std::string& text, const std::string& with) {
  return text.substr(0, with.size()) == with;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(process_tests, platform)

BOOST_AUTO_TEST_CASE(it_is_ready_once_it_knows_the_lists_and_serves) {
  until([&] { return ready(); });
  auto caller = connect();
  BOOST_TEST(begins(caller->ask("QUERY 1 PUT 1a4 x"), "ROW"));
  BOOST_TEST(first.log_end == 101U);
  // It has registered itself where others find it.
  BOOST_TEST(
      store.spec("toucanmux-members", "edge-1").find(to_text(settings.peers)) !=
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_new_configuration_comes_into_force_and_stays) {
  until([&] { return ready(); });
  auto caller = connect();
  store.put("config", "main", config_spec(5, "key-2"));
  until([&] { return begins(caller->ask("QUERY 1 FETCH 1"), "ERR NOAUTH"); });
  // An older one, and one that can't be read, change nothing.
  store.put("config", "main", config_spec(4, "key-1"));
  pass(1500ms);
  BOOST_TEST(begins(caller->ask("QUERY 2 FETCH 1"), "ERR NOAUTH"));
  store.put("config", "main", "[1,2]");
  pass(1500ms);
  BOOST_TEST(begins(connect("key-2")->ask("QUERY 3 FETCH 1"), "ROW"));
  store.put("config", "main", config_spec(6, "key-2", "panels"));
  until([&] {
    return begins(connect("key-2", "panels")->ask("QUERY 4 FETCH 1"), "ROW");
  });
}

BOOST_AUTO_TEST_CASE(writes_follow_the_leader_that_discovery_names) {
  until([&] { return ready(); });
  auto caller = connect();
  caller->ask("QUERY 1 PUT 1a4 x");
  first.is_primary = false;
  second.is_primary = true;
  beat(second);
  beat(first);
  until([&] { return begins(caller->ask("QUERY 2 PUT 1a4 x"), "ROW"); });
  BOOST_TEST(second.log_end == 101U);
}

BOOST_AUTO_TEST_CASE(a_lost_history_is_listed_anew) {
  until([&] { return ready(); });
  auto caller = connect();
  store.silent = false;
  first.is_primary = false;
  second.is_primary = true;
  beat(second);
  beat(first);
  store.discard_history();
  store.put("servers", "i-9", R"({"service":7,"addr":"x"})");
  until([&] { return begins(caller->ask("QUERY 1 PUT 1a4 x"), "ROW"); });
  BOOST_TEST(second.log_end == 101U);
}

// A restart of the whole fleet is the store's busiest moment.
BOOST_AUTO_TEST_CASE(a_restarted_instance_writes_nothing) {
  until([&] { return store.contains("toucanmux-members", "edge-1"); });
  process.reset();
  auto written = store.writes();
  auto asked = store.calls();
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  until([&] { return ready() && store.calls() >= asked + 3; });
  pass(500ms);
  BOOST_TEST(store.writes() == written);
  // Where another address is recorded it is replaced.
  process.reset();
  settings.peers = free_address(loop);
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  until([&] {
    return store.spec("toucanmux-members", "edge-1")
               .find(to_text(settings.peers)) != std::string::npos;
  });
}

// The first list comes from a state in which another database leads; the
// configuration there is an older one as well.
BOOST_AUTO_TEST_CASE(what_an_older_state_lacks_is_learnt_soon) {
  process.reset();
  store.freeze_stale_reads();
  store.put("config", "main", config_spec(5, "key-2"));
  first.is_primary = false;
  second.is_primary = true;
  beat(second);
  beat(first);
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  until([&] { return ready(); });
  line_client refused(loop, settings.callers);
  BOOST_TEST(begins(refused.ask("CONNECT orders key-1"), "ERR NOAUTH"));
  auto caller = connect("key-2");
  until([&] { return begins(caller->ask("QUERY 2 PUT 1a4 x"), "ROW"); });
  BOOST_TEST(second.log_end == 101U);
}

BOOST_AUTO_TEST_CASE(without_the_store_keys_run_out_and_come_back) {
  until([&] { return ready(); });
  auto caller = connect();
  store.silent = true;
  BOOST_TEST(begins(caller->ask("QUERY 1 FETCH 1"), "ROW"));
  // The lease on the leader ends before the proof of the keys.
  until([&] { return begins(caller->ask("QUERY 2 FETCH 1"), "ERR BUSY"); });
  until([&] {
    return caller->ask("QUERY 2 FETCH 1").find("keys can't be checked") !=
           std::string::npos;
  });
  BOOST_TEST(!ready());
  store.silent = false;
  until([&] { return begins(caller->ask("QUERY 3 FETCH 1"), "ROW"); });
  BOOST_TEST(ready());
}

BOOST_AUTO_TEST_CASE(one_of_a_failure_domain_follows_discovery_for_all) {
  auto other = start_other(store.address());
  until([&] { return ready() && ready(other); });
  pass(2500ms);  // Until each has heard which of them goes first.
  auto watched = store.watches();
  first.is_primary = false;
  second.is_primary = true;
  beat(second);
  beat(first);
  auto one = connect();
  auto two = std::make_unique<line_client>(loop, other.settings.callers);
  two->ask("CONNECT orders key-1");
  until([&] { return begins(one->ask("QUERY 1 PUT 1a4 x"), "ROW"); });
  until([&] { return begins(two->ask("QUERY 2 PUT 1a4 x"), "ROW"); });
  BOOST_TEST(second.log_end == 102U);
  // Each of the two changes ended one watch, and not two.
  BOOST_TEST(store.watches() <= watched + 3);
}

// The two are told the same by stores of their own, and one loses its store.
BOOST_AUTO_TEST_CASE(a_peer_vouches_for_the_keys_of_one_without_the_store) {
  until([&] { return ready(); });
  platform_stub copy(loop);
  copy.put("config", "main", config_spec(3, "key-1"));
  for (auto* database : {&first, &second, &third}) beat(copy, *database);
  until([&] { return store.contains("toucanmux-members", "edge-1"); });
  copy.put("toucanmux-members", "edge-1",
           store.spec("toucanmux-members", "edge-1"));
  auto other = start_other(copy.address());
  until([&] { return ready(other); });
  pass(2s);
  copy.silent = true;
  pass(settings.revoke_bound + 1s);
  line_client caller(loop, other.settings.callers);
  caller.ask("CONNECT orders key-1");
  BOOST_TEST(begins(caller.ask("QUERY 1 PUT 1a4 x"), "ROW"));
  // With the peer gone nobody vouches any more.
  process.reset();
  pass(settings.revoke_bound);
  BOOST_TEST(begins(caller.ask("QUERY 2 PUT 1a4 x"), "ERR BUSY"));
}

BOOST_AUTO_TEST_CASE(a_leader_that_has_failed_is_replaced_by_the_furthest) {
  until([&] { return ready(); });
  auto caller = connect();
  caller->ask("QUERY 1 PUT 1a4 x");
  second.log_end = 100;
  third.log_end = 101;
  first.silent = true;
  until([&] {
    caller->ask("QUERY 2 FETCH 1");
    return !store.failovers().empty();
  });
  BOOST_TEST(store.failovers()[0].find("i-3") != std::string::npos);
  BOOST_TEST(store.spec("toucanmux-duties", "ledger").find("\"token\":1") !=
             std::string::npos);
  third.is_primary = true;
  beat(third);
  until([&] { return begins(caller->ask("QUERY 3 PUT 1a4 x"), "ROW"); });
}

// It says that it leads, in discovery as well, until it is told otherwise.
BOOST_AUTO_TEST_CASE(a_replaced_leader_that_goes_on_gets_nothing) {
  until([&] { return ready(); });
  auto caller = connect();
  caller->ask("QUERY 1 PUT 1a4 x");
  store.put("toucanmux-duties", "ledger",
            R"({"token":1,"holder":"edge-9","replaces":"i-1",
                "phase":"settled","leader":"i-2"})");
  second.is_primary = true;
  pass(3s);
  caller->ask("QUERY 2 PUT 1a4 x");
  caller->ask("QUERY 3 FETCH 1a4");
  BOOST_TEST(first.log_end == 101U);
  BOOST_TEST(first.executed().size() == 1U);
  BOOST_TEST(second.log_end == 101U);
}

// Another instance that reaches the store may replace the leader.
BOOST_AUTO_TEST_CASE(without_the_store_the_lead_is_not_taken_for_granted) {
  process.reset();
  settings.revoke_bound = 30s;
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  until([&] { return ready(); });
  auto caller = connect();
  caller->ask("QUERY 1 PUT 1a4 x");
  store.silent = true;
  pass(3500ms);
  BOOST_TEST(begins(caller->ask("QUERY 2 PUT 1a4 x"), "ERR BUSY"));
  BOOST_TEST(begins(caller->ask("QUERY 3 FETCH 1a4"), "ERR BUSY"));
  BOOST_TEST(first.log_end == 101U);
  BOOST_TEST(first.executed().size() == 1U);
  store.silent = false;
  until([&] { return begins(caller->ask("QUERY 4 PUT 1a4 x"), "ROW"); });
}

BOOST_AUTO_TEST_CASE(a_leaving_leader_is_replaced_before_it_goes) {
  until([&] { return ready(); });
  auto caller = connect();
  caller->ask("QUERY 1 PUT 1a4 x");
  second.log_end = third.log_end = 101;
  auto entry = first.entry();
  store.put("servers", "i-1",
            R"({"service":"ledger","addr":")" + to_text(entry.address) +
                R"(","zone":"a","slots":3,"state":"draining",
                "db_role":"primary","seq":99,"born":1})");
  until([&] { return !store.failovers().empty(); });
  // It was told to step down first, so that nothing is lost.
  BOOST_TEST(!first.is_primary);
  BOOST_TEST(store.failovers()[0].find("i-1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(noise_on_every_port_harms_nobody) {
  until([&] { return ready(); });
  auto caller = connect();
  std::mt19937 random(9);
  udp_port noisy(loop, {loopback, 0}, [](auto, const auto&) {});
  for (int i = 0; i < 200; ++i) {
    std::string noise(random() % 600, '\0');
    for (char& c : noise) c = static_cast<char>(random());
    noisy.send(noise, settings.peers);
    line_client probe(loop, settings.readiness);
    probe.send(noise.substr(0, 40));
    loop.turn(1ms);
    loop.turn(1ms);
  }
  line_client half(loop, settings.callers);
  half.send("CONNECT orders");
  BOOST_TEST(ready());
  BOOST_TEST(begins(caller->ask("QUERY 1 FETCH 1"), "ROW"));
}

BOOST_AUTO_TEST_CASE(a_flood_of_callers_is_turned_away) {
  until([&] { return ready(); });
  std::vector<std::unique_ptr<line_client>> callers;
  callers.reserve(12);
  for (int i = 0; i < 12; ++i) callers.push_back(connect());
  int closed = 0;
  for (auto& caller : callers) closed += caller->closed() ? 1 : 0;
  BOOST_TEST(closed == 4);
  BOOST_TEST(begins(callers[0]->ask("QUERY 1 FETCH 1"), "ROW"));
  callers[1]->close();
  until([&] { return !connect()->closed(); });
}

BOOST_AUTO_TEST_CASE(a_stop_cuts_nothing_and_ends_in_time) {
  until([&] { return ready(); });
  auto resting = connect();
  auto writing = connect();
  writing->ask("QUERY 1 BEGIN");
  writing->ask("QUERY 2 PUT 1a4 x");
  std::raise(SIGTERM);
  until([&] { return !ready(); });
  BOOST_TEST(begins(resting->ask("QUERY 3 FETCH 1"), "ROW"));
  until([&] { return resting->closed(); });
  BOOST_TEST(begins(writing->ask("QUERY 4 COMMIT"), "DONE sig"));
  until([&] { return loop.stopped(); });
  BOOST_TEST(first.log_end == 101U);
}

BOOST_AUTO_TEST_SUITE_END()
