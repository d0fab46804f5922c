#define BOOST_TEST_MODULE database_server
#include "standin/database-server.h"

#include <QCoreApplication>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "standin/database-fixture.h"

using namespace toucanmux;
using namespace toucanmux::standin;

namespace {

struct application {
  int count = 0;
  QCoreApplication core{count, nullptr};
};

struct busy_database : database_fixture {
  busy_database() : connections(5) {
    for (auto& each : connections) each = connect("db1");
  }

  void set_service_time(unsigned microseconds) {
    cluster.inject_fault(
        {{"database", "db1"}, {"fault", "service_time"}, {"us", microseconds}});
  }

  void start_all() {
    for (auto& each : connections) {
      each->run(read_of("select 1"), false, [this](const answer& result) {
        if (result.outcome == outcome_code::done) ++done;
      });
    }
  }

  std::vector<std::unique_ptr<upstream_connection>> connections;
  int done = 0;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

BOOST_FIXTURE_TEST_CASE(running_statements_are_limited_by_slots,
                        busy_database) {
  set_service_time(3'600'000'000U);
  start_all();
  wait_until([&] {
    auto now = state("db1");
    return now["running"] == 3 && now["queued"] == 2;
  });
  BOOST_TEST(done == 0);
}

BOOST_FIXTURE_TEST_CASE(queued_statements_run_when_slots_become_free,
                        busy_database) {
  set_service_time(100);
  for (int round = 1; round <= 20; ++round) {
    start_all();
    wait_until([&] { return done == 5 * round; });
  }
  auto now = state("db1");
  BOOST_TEST(now["running"] == 0);
  BOOST_TEST(now["statements"] == 100);
}

BOOST_FIXTURE_TEST_CASE(closed_connection_leaves_the_slot_queue,
                        busy_database) {
  set_service_time(1000);
  start_all();
  wait_until([&] { return state("db1")["queued"] == 2 || done > 0; });
  connections.back()->close();
  wait_until([&] { return done >= 4; });
  auto response = run(*connections[0], read_of("select 1"));
  BOOST_TEST((response.outcome == outcome_code::done));
}

BOOST_FIXTURE_TEST_CASE(database_partitioned_from_callers_does_not_answer,
                        busy_database) {
  cluster.inject_fault(
      {{"database", "db1"}, {"fault", "cut"}, {"callers", true}});
  start_all();
  QCoreApplication::processEvents();
  BOOST_TEST(state("db1")["statements"] == 0);
  inject_fault("db1", "heal");
  wait_until([&] { return done == 5; });
}
