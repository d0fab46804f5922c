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

  void serve_for(unsigned microseconds) {
    cluster.inject_fault(
        {{"database", "db1"}, {"fault", "service_time"}, {"us", microseconds}});
  }

  void start_all() {
    for (auto& each : connections) {
      each->run(read_of("select 1"), false, [this](const answer& result) {
        if (result.how == outcome::done) ++done;
      });
    }
  }

  std::vector<std::unique_ptr<upstream_connection>> connections;
  int done = 0;
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

BOOST_FIXTURE_TEST_CASE(only_its_slots_run_at_once, busy_database) {
  serve_for(3'600'000'000U);
  start_all();
  wait_until([&] {
    auto now = state("db1");
    return now["running"] == 3 && now["queued"] == 2;
  });
  BOOST_TEST(done == 0);
}

BOOST_FIXTURE_TEST_CASE(what_waits_for_a_slot_runs_in_the_end, busy_database) {
  serve_for(100);
  for (int round = 1; round <= 20; ++round) {
    start_all();
    wait_until([&] { return done == 5 * round; });
  }
  auto now = state("db1");
  BOOST_TEST(now["running"] == 0);
  BOOST_TEST(now["statements"] == 100);
}

BOOST_FIXTURE_TEST_CASE(a_waiter_that_leaves_blocks_nobody, busy_database) {
  serve_for(1000);
  start_all();
  wait_until([&] { return state("db1")["queued"] == 2 || done > 0; });
  connections.back()->close();
  wait_until([&] { return done >= 4; });
  auto seen = run(*connections[0], read_of("select 1"));
  BOOST_TEST((seen.how == outcome::done));
}

BOOST_FIXTURE_TEST_CASE(one_cut_from_its_callers_is_silent, busy_database) {
  cluster.inject_fault({{"database", "db1"}, {"fault", "cut"}, {"callers", true}});
  start_all();
  QCoreApplication::processEvents();
  BOOST_TEST(state("db1")["statements"] == 0);
  inject_fault("db1", "heal");
  wait_until([&] { return done == 5; });
}
