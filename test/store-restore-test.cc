#define BOOST_TEST_MODULE store_restore
#include <boost/test/unit_test.hpp>
#include <string>

#include "proxy/proxy-process.h"
#include "standin/proxy/process-fixture.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

namespace {

/// Longer than any bound on the time in which a change has to be in force.
constexpr duration settle_time = 4s;

/// A fleet whose store returns to an older copy.
struct restored_fleet : process_fixture {
  restored_fleet() {
    run_until([&] { return ready(); });
  }

  std::unique_ptr<line_client> connect_to(const instance& target,
                                          const std::string& key = "key-1",
                                          const std::string& name = "orders") {
    auto out =
        std::make_unique<line_client>(loop, target.settings.caller_address);
    out->request("CONNECT " + name + ' ' + key);
    return out;
  }

  /// True if a session or its first statement is refused for the key.
  bool refuses_key(const std::string& key) {
    line_client caller(loop, settings.caller_address);
    auto opened = caller.request("CONNECT orders " + key);
    return starts_with(opened, "ERR NOAUTH") ||
           starts_with(caller.request("QUERY 1 FETCH 1"), "ERR NOAUTH");
  }

  /// Writes entries, which databases do at any time, until the store has this
  /// revision.
  void advance_store_to(std::uint64_t revision) {
    while (store.revision() < revision)
      store.put("servers", "i-other", R"({"service":"none"})");
  }

  /// Repeats a statement until it is served.
  template <class Connect>
  void run_until_served(Connect connect_again, const std::string& query) {
    while (!starts_with(connect_again()->request(query), "ROW")) run_for(50ms);
  }

  /// Makes a replica the leader, as the failover service does.
  void promote(line_database& old_leader, line_database& new_leader) {
    old_leader.is_primary = false;
    new_leader.is_primary = true;
    write_heartbeat(new_leader);
    write_heartbeat(old_leader);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(store_restore_tests, restored_fleet)

// Guards against confirming a configuration by the revision of another one.
BOOST_AUTO_TEST_CASE(a_configuration_with_a_reused_revision_becomes_active) {
  auto other = start_second_instance(store.address());
  run_until([&] { return ready(other); });
  run_for(2s);
  store.save_copy();
  store.put("config", "main", config_spec(5, "key-1", "panels"));
  auto lost_revision = store.revision();
  run_for(settle_time);
  store.restore_copy();
  advance_store_to(lost_revision - 1);
  store.put("config", "main", config_spec(6, "key-1", "gutters"));
  BOOST_TEST(store.revision() == lost_revision);
  run_for(settle_time);
  BOOST_TEST(starts_with(
      connect("key-1", "gutters")->request("QUERY 1 FETCH 1"), "ROW"));
  BOOST_TEST(starts_with(
      connect_to(other, "key-1", "gutters")->request("QUERY 2 FETCH 1"),
      "ROW"));
}

// Guards against ignoring changes of the database list that have lower
// revisions than the lost ones.
BOOST_AUTO_TEST_CASE(changes_of_databases_arrive_with_lower_revisions) {
  auto other = start_second_instance(store.address());
  run_until([&] { return ready(other); });
  run_for(2s);
  store.save_copy();
  for (int i = 0; i < 40; ++i) write_heartbeat(third);
  run_for(2s);
  store.restore_copy();
  run_for(settle_time);
  promote(first, second);
  run_for(settle_time);
  BOOST_TEST(starts_with(connect()->request("QUERY 1 PUT 1 x"), "ROW"));
  BOOST_TEST(starts_with(connect_to(other)->request("QUERY 2 PUT 1 x"), "ROW"));
  BOOST_TEST(second.log_end == 102U);
}

// Guards against two promotions with one token, of which the failover service
// can't refuse the older.
BOOST_AUTO_TEST_CASE(a_token_is_not_used_again_after_a_restore) {
  auto caller = connect();
  caller->request("QUERY 1 PUT 1 x");
  store.save_copy();
  second.log_end = third.log_end = 101;
  first.silent = true;
  run_until([&] {
    caller->request("QUERY 2 FETCH 1");
    return !store.failovers().empty();
  });
  auto& named =
      store.failovers()[0].find("i-2") != std::string::npos ? second : third;
  promote(first, named);
  run_until_served([&] { return connect(); }, "QUERY 3 PUT 1 x");
  store.restore_copy();
  promote(first, named);
  run_until_served([&] { return connect(); }, "QUERY 4 PUT 1 x");
  named.silent = true;
  run_until([&] {
    caller->request("QUERY 5 FETCH 1");
    return store.failovers().size() > 1;
  });
  BOOST_TEST(store.failover_tokens()[1] > store.failover_tokens()[0]);
}

// Guards against using a replaced leader that still runs when the record of
// its successor is lost.
BOOST_AUTO_TEST_CASE(an_instance_that_starts_learns_of_a_lost_leader_record) {
  store.save_copy();
  store.put("toucanmux-duties-1", "group-ledger",
            R"({"token":1,"holder":"edge-9","replaces":"i-1",
                "phase":"settled","leader":"i-2"})");
  second.is_primary = true;
  write_heartbeat(second);
  run_until([&] {
    return starts_with(connect()->request("QUERY 1 PUT 1 x"), "ROW") &&
           second.log_end > 100U;
  });
  store.restore_copy();
  write_heartbeat(second);
  write_heartbeat(first);
  auto other = start_second_instance(store.address());
  auto first_log_end = first.log_end;
  auto second_log_end = second.log_end;
  run_until([&] { return ready(other); });
  run_until_served([&] { return connect_to(other); }, "QUERY 2 PUT 1 x");
  BOOST_TEST(first.log_end == first_log_end);
  BOOST_TEST(second.log_end == second_log_end + 1);
}

// Guards against a withdrawn key that the copy still has.
BOOST_AUTO_TEST_CASE(a_withdrawn_key_stays_withdrawn_at_instances_that_start) {
  store.save_copy();
  store.put("config", "main", config_spec(5, "key-2"));
  run_until([&] { return refuses_key("key-1"); });
  store.restore_copy();
  auto other = start_second_instance(store.address());
  // The operator writes the configuration again after a moment.
  auto executed = first.executed().size();
  for (int i = 0; i < 30; ++i) {
    connect_to(other)->request("QUERY 2 FETCH 1");
    run_for(50ms);
  }
  BOOST_TEST(first.executed().size() == executed);
  store.put("config", "main", config_spec(5, "key-2"));
  run_until_served([&] { return connect_to(other, "key-2"); },
                   "QUERY 3 FETCH 1");
}

BOOST_AUTO_TEST_SUITE_END()
