#define BOOST_TEST_MODULE config_read_policy
#include "toucanmux/proxy/config-read-policy.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

struct read_policy_fixture {
  std::optional<read_consistency> due() const {
    return policy.due_read(now, current);
  }
  bool no_read() const { return !due(); }
  bool linearizable() const { return due() == read_consistency::linearizable; }
  bool stale() const { return due() == read_consistency::stale; }

  config_read_policy policy;
  config_read_policy::situation current;
  instant now{100s};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(config_reads_tests, read_policy_fixture)

BOOST_AUTO_TEST_CASE(a_new_process_reads_the_newest_state) {
  BOOST_TEST(linearizable());
  current.peer_confirms = true;
  BOOST_TEST(linearizable());
}

// Until the first configuration is written, all instances poll for it, so they
// use the cheaper stale reads.
BOOST_AUTO_TEST_CASE(missing_configuration_is_polled_with_stale_reads) {
  policy.record_absent();
  BOOST_TEST(stale());
  policy.record_read(now, read_consistency::stale, false);
  BOOST_TEST(linearizable());
  current.peer_confirms = true;
  BOOST_TEST(no_read());
  now += 1300ms;
  BOOST_TEST(linearizable());
}

BOOST_AUTO_TEST_CASE(stale_read_suffices_for_a_version_of_a_peer) {
  current.confirmed = current.peer_has_newer = true;
  current.max_age = 3s;
  BOOST_TEST(stale());
  policy.record_read(now, read_consistency::stale, false);
  current.peer_has_newer = false;
  BOOST_TEST(no_read());
  // A stale read may not find the version yet.
  current.peer_has_newer = true;
  policy.record_read(now, read_consistency::stale, true);
  BOOST_TEST(linearizable());
  policy.record_read(now, read_consistency::linearizable, false);
  current.peer_has_newer = false;
  BOOST_TEST(no_read());
}

BOOST_AUTO_TEST_CASE(only_a_linearizable_read_confirms) {
  current.confirmed = current.peer_has_newer = true;
  current.max_age = current.confirmation_age = 3s;
  BOOST_TEST(linearizable());
  current.peer_has_newer = false;
  BOOST_TEST(linearizable());
  current.confirmation_age = 2s;
  BOOST_TEST(no_read());
}

// Guards against a read by every instance several times a second while no read
// can confirm anything.
BOOST_AUTO_TEST_CASE(nothing_is_read_again_before_it_can_be_confirmed) {
  current.confirmable_for = -2s;
  BOOST_TEST(linearizable());
  policy.record_read(now, read_consistency::linearizable, false);
  BOOST_TEST(no_read());
  current.peer_has_newer = true;
  BOOST_TEST(stale());
  current.peer_has_newer = false;
  current.confirmable_for = 0s;
  BOOST_TEST(linearizable());
}

BOOST_AUTO_TEST_SUITE_END()
