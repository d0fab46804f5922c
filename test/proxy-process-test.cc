#define BOOST_TEST_MODULE proxy_process
#include "proxy/proxy-process.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <random>
#include <string>

#include "proxy/udp-port.h"
#include "standin/process-address.h"
#include "standin/proxy/line-client.h"
#include "standin/proxy/line-database.h"
#include "standin/proxy/platform-stub.h"
#include "standin/proxy/process-fixture.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(process_tests, process_fixture)

BOOST_AUTO_TEST_CASE(a_process_becomes_ready_after_reading_the_store) {
  run_until([&] { return ready(); });
  auto caller = connect();
  BOOST_TEST(starts_with(caller->request("QUERY 1 PUT 1a4 x"), "ROW"));
  BOOST_TEST(first.log_end == 101U);
  // The process has registered its peer address in the store.
  BOOST_TEST(store.spec("toucanmux-members", "edge-1")
                 .find(to_text(settings.peer_address)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(only_a_newer_valid_configuration_becomes_active) {
  run_until([&] { return ready(); });
  auto caller = connect();
  store.put("config", "main", config_spec(5, "key-2"));
  run_until([&] {
    return starts_with(caller->request("QUERY 1 FETCH 1"), "ERR NOAUTH");
  });
  // An older configuration and one that can't be parsed are ignored.
  store.put("config", "main", config_spec(4, "key-1"));
  run_for(1500ms);
  BOOST_TEST(starts_with(caller->request("QUERY 2 FETCH 1"), "ERR NOAUTH"));
  store.put("config", "main", "[1,2]");
  run_for(1500ms);
  BOOST_TEST(starts_with(connect("key-2")->request("QUERY 3 FETCH 1"), "ROW"));
  store.put("config", "main", config_spec(6, "key-2", "panels"));
  run_until([&] {
    return starts_with(connect("key-2", "panels")->request("QUERY 4 FETCH 1"),
                       "ROW");
  });
}

BOOST_AUTO_TEST_CASE(writes_go_to_the_leader_in_discovery) {
  run_until([&] { return ready(); });
  auto caller = connect();
  caller->request("QUERY 1 PUT 1a4 x");
  first.is_primary = false;
  second.is_primary = true;
  write_heartbeat(second);
  write_heartbeat(first);
  run_until(
      [&] { return starts_with(caller->request("QUERY 2 PUT 1a4 x"), "ROW"); });
  BOOST_TEST(second.log_end == 101U);
}

BOOST_AUTO_TEST_CASE(
    servers_are_listed_again_after_the_store_lost_its_history) {
  run_until([&] { return ready(); });
  auto caller = connect();
  store.silent = false;
  first.is_primary = false;
  second.is_primary = true;
  write_heartbeat(second);
  write_heartbeat(first);
  store.discard_history();
  store.put("servers", "i-9", R"({"service":7,"addr":"x"})");
  run_until(
      [&] { return starts_with(caller->request("QUERY 1 PUT 1a4 x"), "ROW"); });
  BOOST_TEST(second.log_end == 101U);
}

// A restart of the whole fleet is the peak load of the store, so a restarted
// instance whose record is still valid must not write it again.
BOOST_AUTO_TEST_CASE(a_restarted_instance_does_not_register_again) {
  run_until([&] { return store.contains("toucanmux-members", "edge-1"); });
  process.reset();
  auto initial_writes = store.writes();
  auto initial_calls = store.calls();
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  run_until([&] { return ready() && store.calls() >= initial_calls + 3; });
  run_for(500ms);
  BOOST_TEST(store.writes() == initial_writes);
  // A record with another address is replaced.
  process.reset();
  settings.peer_address = next_address();
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  run_until([&] {
    return store.spec("toucanmux-members", "edge-1")
               .find(to_text(settings.peer_address)) != std::string::npos;
  });
}

// Guards against keeping stale data: the first reads come from an old state of
// the store, with another leader and an older configuration.
BOOST_AUTO_TEST_CASE(stale_first_reads_are_corrected) {
  process.reset();
  store.freeze_stale_reads();
  store.put("config", "main", config_spec(5, "key-2"));
  first.is_primary = false;
  second.is_primary = true;
  write_heartbeat(second);
  write_heartbeat(first);
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  run_until([&] { return ready(); });
  line_client refused(loop, settings.caller_address);
  BOOST_TEST(
      starts_with(refused.request("CONNECT orders key-1"), "ERR NOAUTH"));
  auto caller = connect("key-2");
  run_until(
      [&] { return starts_with(caller->request("QUERY 2 PUT 1a4 x"), "ROW"); });
  BOOST_TEST(second.log_end == 101U);
}

BOOST_AUTO_TEST_CASE(keys_expire_without_the_store_and_recover_with_it) {
  run_until([&] { return ready(); });
  auto caller = connect();
  store.silent = true;
  BOOST_TEST(starts_with(caller->request("QUERY 1 FETCH 1"), "ROW"));
  // The leader lease expires before the confirmation of the keys.
  run_until([&] {
    return starts_with(caller->request("QUERY 2 FETCH 1"), "ERR BUSY");
  });
  run_until([&] {
    return caller->request("QUERY 2 FETCH 1").find("keys can't be checked") !=
           std::string::npos;
  });
  BOOST_TEST(!ready());
  store.silent = false;
  run_until(
      [&] { return starts_with(caller->request("QUERY 3 FETCH 1"), "ROW"); });
  BOOST_TEST(ready());
}

BOOST_AUTO_TEST_CASE(one_instance_follows_discovery_for_its_failure_domain) {
  auto second_instance = start_second_instance(store.address());
  run_until([&] { return ready() && ready(second_instance); });
  run_for(2500ms);  // Until both know the domain reader.
  auto initial_watches = store.watches();
  first.is_primary = false;
  second.is_primary = true;
  write_heartbeat(second);
  write_heartbeat(first);
  auto first_caller = connect();
  auto second_caller = std::make_unique<line_client>(
      loop, second_instance.settings.caller_address);
  second_caller->request("CONNECT orders key-1");
  run_until([&] {
    return starts_with(first_caller->request("QUERY 1 PUT 1a4 x"), "ROW");
  });
  run_until([&] {
    return starts_with(second_caller->request("QUERY 2 PUT 1a4 x"), "ROW");
  });
  BOOST_TEST(second.log_end == 102U);
  // Each of the two changes ended the watch of one instance only.
  BOOST_TEST(store.watches() <= initial_watches + 3);
}

// Both instances have stores of their own with the same content. One store
// stops answering.
BOOST_AUTO_TEST_CASE(
    a_peer_confirms_the_keys_for_an_instance_without_the_store) {
  run_until([&] { return ready(); });
  platform_stub second_store(loop);
  second_store.put("config", "main", config_spec(3, "key-1"));
  for (auto* database : {&first, &second, &third})
    write_heartbeat(second_store, *database);
  run_until([&] { return store.contains("toucanmux-members", "edge-1"); });
  second_store.put("toucanmux-members", "edge-1",
                   store.spec("toucanmux-members", "edge-1"));
  auto second_instance = start_second_instance(second_store.address());
  run_until([&] { return ready(second_instance); });
  run_for(2s);
  second_store.silent = true;
  run_for(settings.revocation_timeout + 1s);
  line_client caller(loop, second_instance.settings.caller_address);
  caller.request("CONNECT orders key-1");
  BOOST_TEST(starts_with(caller.request("QUERY 1 PUT 1a4 x"), "ROW"));
  // Without the peer the confirmation of the keys expires.
  process.reset();
  run_for(settings.revocation_timeout);
  BOOST_TEST(starts_with(caller.request("QUERY 2 PUT 1a4 x"), "ERR BUSY"));
}

// Guards against a failure domain that learns of no change: its reader is cut
// off from the store, but gets the confirmations of the other instances.
BOOST_AUTO_TEST_CASE(a_reader_that_lost_the_store_is_replaced) {
  run_until([&] { return ready(); });
  platform_stub second_store(loop);
  second_store.put("config", "main", config_spec(3, "key-1"));
  for (auto* database : {&first, &second, &third})
    write_heartbeat(second_store, *database);
  run_until([&] { return store.contains("toucanmux-members", "edge-1"); });
  second_store.put("toucanmux-members", "edge-1",
                   store.spec("toucanmux-members", "edge-1"));
  settings.cpu_millicores = 500;  // The larger instance is the reader.
  auto second_instance = start_second_instance(second_store.address());
  run_until([&] { return ready(second_instance); });
  run_for(2500ms);
  auto watches = store.watches();
  second_store.silent = true;
  run_for(5500ms);
  BOOST_TEST(store.watches() > watches);
  first.is_primary = false;
  second.is_primary = true;
  write_heartbeat(second);
  write_heartbeat(first);
  run_for(500ms);
  auto caller = connect();
  BOOST_TEST(starts_with(caller->request("QUERY 1 PUT 1a4 x"), "ROW"));
}

BOOST_AUTO_TEST_CASE(a_failed_leader_is_replaced_by_the_most_advanced_replica) {
  run_until([&] { return ready(); });
  auto caller = connect();
  caller->request("QUERY 1 PUT 1a4 x");
  second.log_end = 100;
  third.log_end = 101;
  first.silent = true;
  run_until([&] {
    caller->request("QUERY 2 FETCH 1");
    return !store.failovers().empty();
  });
  BOOST_TEST(store.failovers()[0].find("i-3") != std::string::npos);
  BOOST_TEST(store.spec("toucanmux-duties-1", "group-ledger")
                 .find("\"token\":4294967297") != std::string::npos);
  third.is_primary = true;
  write_heartbeat(third);
  run_until(
      [&] { return starts_with(caller->request("QUERY 3 PUT 1a4 x"), "ROW"); });
}

// Guards against two leaders: the replaced leader still claims to lead, also in
// discovery.
BOOST_AUTO_TEST_CASE(a_replaced_leader_that_still_runs_gets_no_statements) {
  run_until([&] { return ready(); });
  auto caller = connect();
  caller->request("QUERY 1 PUT 1a4 x");
  store.put("toucanmux-duties-1", "group-ledger",
            R"({"token":1,"holder":"edge-9","replaces":"i-1",
                "phase":"settled","leader":"i-2"})");
  second.is_primary = true;
  run_for(3s);
  caller->request("QUERY 2 PUT 1a4 x");
  caller->request("QUERY 3 FETCH 1a4");
  BOOST_TEST(first.log_end == 101U);
  BOOST_TEST(first.executed().size() == 1U);
  BOOST_TEST(second.log_end == 101U);
}

// Guards against using a replaced leader: another instance that reaches the
// store may replace the leader while this one does not reach it.
BOOST_AUTO_TEST_CASE(without_the_store_the_leader_lease_expires) {
  process.reset();
  settings.revocation_timeout = 30s;
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  run_until([&] { return ready(); });
  auto caller = connect();
  caller->request("QUERY 1 PUT 1a4 x");
  store.silent = true;
  run_for(3500ms);
  BOOST_TEST(starts_with(caller->request("QUERY 2 PUT 1a4 x"), "ERR BUSY"));
  BOOST_TEST(starts_with(caller->request("QUERY 3 FETCH 1a4"), "ERR BUSY"));
  BOOST_TEST(first.log_end == 101U);
  BOOST_TEST(first.executed().size() == 1U);
  store.silent = false;
  run_until(
      [&] { return starts_with(caller->request("QUERY 4 PUT 1a4 x"), "ROW"); });
}

BOOST_AUTO_TEST_CASE(a_draining_leader_is_replaced_before_it_leaves) {
  run_until([&] { return ready(); });
  auto caller = connect();
  caller->request("QUERY 1 PUT 1a4 x");
  second.log_end = third.log_end = 101;
  auto entry = first.entry();
  store.put("servers", "i-1",
            R"({"service":"ledger","addr":")" + to_text(entry.address) +
                R"(","zone":"a","slots":3,"state":"draining",
                "db_role":"primary","seq":99,"born":1})");
  run_until([&] { return !store.failovers().empty(); });
  // The draining leader stepped down first, so that no write is lost.
  BOOST_TEST(!first.is_primary);
  BOOST_TEST(store.failovers()[0].find("i-1") == std::string::npos);
}

/// The connections of the database on which a statement arrived.
std::string connection_of(const line_database& database,
                          const std::string& statement) {
  for (const auto& line : database.received_lines()) {
    auto id_at = line.find(" QUERY " + statement + ' ');
    if (id_at != std::string::npos) return line.substr(0, id_at);
  }
  return "none";
}

// Guards the wiring from the settings to the relay: two contended instances use
// one connection for a team, and one that loses the other serves alone.
BOOST_AUTO_TEST_CASE(contended_instances_share_the_connection_of_a_team) {
  process.reset();
  settings.pressure = true;
  settings.cpu_millicores = 100;
  settings.relay_address = next_address();
  process = std::make_unique<proxy_process>(loop, settings, "");
  process->start();
  // Instances of a deployment differ by their address, not by their ports.
  instance other;
  other.settings = settings;
  other.settings.self = member_id("edge-2");
  other.settings.ip = other.settings.peer_address.ip =
      other.settings.relay_address.ip = process_ip() + 1;
  other.settings.caller_address = next_address();
  other.settings.readiness_address = next_address();
  other.process = std::make_unique<proxy_process>(loop, other.settings, "");
  other.process->start();
  run_until([&] { return ready() && ready(other); });
  auto caller = connect();
  line_client other_caller(loop, other.settings.caller_address);
  other_caller.request("CONNECT orders key-1");
  int number = 0;
  auto share_a_connection = [&] {
    auto one = std::to_string(++number);
    auto two = std::to_string(++number);
    caller->request("QUERY " + one + " PUT 1 x");
    other_caller.request("QUERY " + two + " PUT 1 x");
    return connection_of(first, one) == connection_of(first, two);
  };
  run_until([&] {
    loop.turn(20ms);
    return share_a_connection();
  });
  for (int i = 0; i < 5; ++i) BOOST_TEST(share_a_connection());
  other.process.reset();
  BOOST_TEST(starts_with(caller->request("QUERY 9a FETCH 1"), "ROW"));
  BOOST_TEST(starts_with(caller->request("QUERY 9b PUT 1 x"), "ROW"));
}

BOOST_AUTO_TEST_CASE(random_bytes_on_every_port_disturb_no_caller) {
  run_until([&] { return ready(); });
  auto caller = connect();
  std::mt19937 random(9);
  udp_port noisy(loop, {process_ip(), 0}, [](auto, const auto&) {});
  for (int i = 0; i < 200; ++i) {
    std::string noise(random() % 600, '\0');
    for (char& c : noise) c = static_cast<char>(random());
    noisy.send(noise, settings.peer_address);
    line_client probe(loop, settings.readiness_address);
    probe.send(noise.substr(0, 40));
    loop.turn(1ms);
    loop.turn(1ms);
  }
  line_client incomplete(loop, settings.caller_address);
  incomplete.send("CONNECT orders");
  BOOST_TEST(ready());
  BOOST_TEST(starts_with(caller->request("QUERY 1 FETCH 1"), "ROW"));
}

BOOST_AUTO_TEST_CASE(callers_over_the_limit_are_disconnected) {
  run_until([&] { return ready(); });
  std::vector<std::unique_ptr<line_client>> callers;
  callers.reserve(12);
  for (int i = 0; i < 12; ++i) callers.push_back(connect());
  int closed = 0;
  for (auto& caller : callers) closed += caller->closed() ? 1 : 0;
  BOOST_TEST(closed == 4);
  BOOST_TEST(starts_with(callers[0]->request("QUERY 1 FETCH 1"), "ROW"));
  callers[1]->close();
  run_until([&] { return !connect()->closed(); });
}

BOOST_AUTO_TEST_CASE(a_stop_completes_open_transactions_and_ends_in_time) {
  run_until([&] { return ready(); });
  auto idle_caller = connect();
  auto writing_caller = connect();
  writing_caller->request("QUERY 1 BEGIN");
  writing_caller->request("QUERY 2 PUT 1a4 x");
  std::raise(SIGTERM);
  run_until([&] { return !ready(); });
  BOOST_TEST(starts_with(idle_caller->request("QUERY 3 FETCH 1"), "ROW"));
  run_until([&] { return idle_caller->closed(); });
  BOOST_TEST(
      starts_with(writing_caller->request("QUERY 4 COMMIT"), "DONE sig"));
  run_until([&] { return loop.stopped(); });
  BOOST_TEST(first.log_end == 101U);
}

BOOST_AUTO_TEST_SUITE_END()
