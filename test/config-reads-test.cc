#define BOOST_TEST_MODULE config_reads
#include "toucanmux/proxy/config-reads.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

struct reads {
  std::optional<read_consistency> due() const { return decision.due(now, at); }
  bool none() const { return !due(); }
  bool newest() const { return due() == read_consistency::linearizable; }
  bool old() const { return due() == read_consistency::stale; }

  config_reads decision;
  config_reads::situation at;
  instant now{100s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(config_reads_tests, reads)

BOOST_AUTO_TEST_CASE(a_new_process_reads_the_newest_state) {
  BOOST_TEST(newest());
  at.peer_reads = true;
  BOOST_TEST(newest());
}

// Before the first configuration is written all instances ask again and again.
BOOST_AUTO_TEST_CASE(what_is_not_there_yet_is_asked_for_cheaply) {
  decision.absent();
  BOOST_TEST(old());
  decision.found(now, read_consistency::stale, false);
  BOOST_TEST(newest());
  at.peer_reads = true;
  BOOST_TEST(none());
  now += 1300ms;
  BOOST_TEST(newest());
}

BOOST_AUTO_TEST_CASE(a_version_that_a_peer_has_needs_no_newest_read) {
  at.proven = at.newer_elsewhere = true;
  at.interval = 3s;
  BOOST_TEST(old());
  decision.found(now, read_consistency::stale, false);
  at.newer_elsewhere = false;
  BOOST_TEST(none());
  // The older state may lack it.
  at.newer_elsewhere = true;
  decision.found(now, read_consistency::stale, true);
  BOOST_TEST(newest());
  decision.found(now, read_consistency::linearizable, false);
  at.newer_elsewhere = false;
  BOOST_TEST(none());
}

BOOST_AUTO_TEST_CASE(only_the_newest_state_proves) {
  at.proven = at.newer_elsewhere = true;
  at.interval = at.proof_age = 3s;
  BOOST_TEST(newest());
  at.newer_elsewhere = false;
  BOOST_TEST(newest());
  at.proof_age = 2s;
  BOOST_TEST(none());
}

BOOST_AUTO_TEST_SUITE_END()
