#define BOOST_TEST_MODULE lead_lease
#include "toucanmux/proxy/lead-lease.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start{10s};
constexpr std::uint32_t group = 7;

lead_record record(std::uint64_t revision, lead_phase phase,
                   std::uint32_t leader) {
  return {group, revision, phase, leader, 1};
}

lead_lease admitted() {
  lead_lease out;
  out.admit(start);
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_read_holds_from_when_it_was_asked_for) {
  auto leases = admitted();
  BOOST_TEST(!leases.holds(start));
  // The answer was long on its way.
  leases.take_list(start + 2s, start, {});
  BOOST_TEST(leases.holds(start + lead_lease::length - 1ms));
  BOOST_TEST(!leases.holds(start + lead_lease::length));
  // An older one that comes late takes nothing back.
  leases.take_list(start + 3s, start + 1s, {});
  leases.take_list(start + 3s, start, {});
  BOOST_TEST(leases.holds(start + 1s + lead_lease::length - 1ms));
  BOOST_TEST(lead_lease::outlasted > lead_lease::length);
}

// Whoever replaces a leader asks all that are recorded.
BOOST_AUTO_TEST_CASE(nothing_is_held_before_the_instance_is_recorded) {
  lead_lease leases;
  leases.take_list(start, start, {});
  BOOST_TEST(!leases.holds(start));
  leases.admit(start + 1s);
  leases.take_list(start + 1s, start + 999ms, {});
  BOOST_TEST(!leases.holds(start + 1s));
  leases.take_list(start + 1s, start + 1s, {});
  BOOST_TEST(leases.holds(start + 1s));
}

BOOST_AUTO_TEST_CASE(the_newest_record_counts_whoever_brings_it) {
  auto leases = admitted();
  BOOST_TEST(!leases.find(group));
  leases.take(start, record(5, lead_phase::revoked, 2));
  BOOST_TEST((leases.find(group)->phase == lead_phase::revoked));
  // A list that was read before the change.
  std::vector<lead_record> old{record(4, lead_phase::settled, 2)};
  leases.take_list(start + 1s, start, old);
  BOOST_TEST((leases.find(group)->phase == lead_phase::revoked));
  BOOST_TEST((leases.known_since(group) == start));
  leases.take(start + 2s, record(6, lead_phase::named, 3));
  BOOST_TEST(leases.find(group)->leader == 3U);
  BOOST_TEST((leases.known_since(group) == start + 2s));
}

BOOST_AUTO_TEST_CASE(a_peer_proves_only_what_it_knows_as_well) {
  auto leases = admitted();
  auto peer = admitted();
  BOOST_TEST(leases.prove(start, peer.digest()));
  peer.take(start, record(5, lead_phase::revoked, 2));
  BOOST_TEST(!leases.prove(start + 1s, peer.digest()));
  BOOST_TEST(!leases.holds(start + lead_lease::length));
  leases.take(start + 1s, record(5, lead_phase::revoked, 2));
  BOOST_TEST(leases.prove(start + 1s, peer.digest()));
  // The order in which records became known makes no difference.
  lead_record other{9, 8, lead_phase::settled, 4, 1};
  peer.take(start, other);
  peer.take(start, record(9, lead_phase::settled, 3));
  leases.take(start, record(9, lead_phase::settled, 3));
  BOOST_TEST(leases.digest() != peer.digest());
  leases.take(start, other);
  BOOST_TEST(leases.digest() == peer.digest());
}

BOOST_AUTO_TEST_CASE(news_are_told_for_a_while) {
  auto leases = admitted();
  leases.take(start, record(5, lead_phase::revoked, 2));
  BOOST_TEST(leases.recent(start + 1s, 4s).size() == 1U);
  BOOST_TEST(leases.recent(start + 4s, 4s).empty());
}
