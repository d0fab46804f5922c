#define BOOST_TEST_MODULE lead_lease
#include "toucanmux/proxy/lead-lease.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start{10s};
constexpr std::uint32_t group = 7;

leader_record record(std::uint64_t revision, leadership_phase phase,
                     std::uint32_t leader) {
  return {group, revision, phase, leader, 1};
}

leader_lease admitted() {
  leader_lease out;
  out.mark_registered(start);
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_read_holds_from_when_it_was_asked_for) {
  auto leases = admitted();
  BOOST_TEST(!leases.valid(start));
  // The answer was long on its way.
  leases.apply_records(start + 2s, start, {});
  BOOST_TEST(leases.valid(start + leader_lease::length - 1ms));
  BOOST_TEST(!leases.valid(start + leader_lease::length));
  // An older one that comes late takes nothing back.
  leases.apply_records(start + 3s, start + 1s, {});
  leases.apply_records(start + 3s, start, {});
  BOOST_TEST(leases.valid(start + 1s + leader_lease::length - 1ms));
  BOOST_TEST(leader_lease::expiry_wait > leader_lease::length);
}

// Whoever replaces a leader asks all that are recorded.
BOOST_AUTO_TEST_CASE(nothing_is_held_before_the_instance_is_recorded) {
  leader_lease leases;
  leases.apply_records(start, start, {});
  BOOST_TEST(!leases.valid(start));
  leases.mark_registered(start + 1s);
  leases.apply_records(start + 1s, start + 999ms, {});
  BOOST_TEST(!leases.valid(start + 1s));
  leases.apply_records(start + 1s, start + 1s, {});
  BOOST_TEST(leases.valid(start + 1s));
}

BOOST_AUTO_TEST_CASE(the_newest_record_counts_whoever_brings_it) {
  auto leases = admitted();
  BOOST_TEST(!leases.find(group));
  leases.apply_record(start, record(5, leadership_phase::revoked, 2));
  BOOST_TEST((leases.find(group)->phase == leadership_phase::revoked));
  // A list that was read before the change.
  std::vector<leader_record> old{record(4, leadership_phase::settled, 2)};
  leases.apply_records(start + 1s, start, old);
  BOOST_TEST((leases.find(group)->phase == leadership_phase::revoked));
  BOOST_TEST((leases.known_since(group) == start));
  leases.apply_record(start + 2s, record(6, leadership_phase::named, 3));
  BOOST_TEST(leases.find(group)->leader == 3U);
  BOOST_TEST((leases.known_since(group) == start + 2s));
}

BOOST_AUTO_TEST_CASE(a_peer_proves_only_what_it_knows_as_well) {
  auto leases = admitted();
  auto peer = admitted();
  BOOST_TEST(leases.confirm_from_peer(start, peer.digest()));
  peer.apply_record(start, record(5, leadership_phase::revoked, 2));
  BOOST_TEST(!leases.confirm_from_peer(start + 1s, peer.digest()));
  BOOST_TEST(!leases.valid(start + leader_lease::length));
  leases.apply_record(start + 1s, record(5, leadership_phase::revoked, 2));
  BOOST_TEST(leases.confirm_from_peer(start + 1s, peer.digest()));
  // The order in which records became known makes no difference.
  leader_record other{9, 8, leadership_phase::settled, 4, 1};
  peer.apply_record(start, other);
  peer.apply_record(start, record(9, leadership_phase::settled, 3));
  leases.apply_record(start, record(9, leadership_phase::settled, 3));
  BOOST_TEST(leases.digest() != peer.digest());
  leases.apply_record(start, other);
  BOOST_TEST(leases.digest() == peer.digest());
}

BOOST_AUTO_TEST_CASE(news_are_told_for_a_while) {
  auto leases = admitted();
  leases.apply_record(start, record(5, leadership_phase::revoked, 2));
  BOOST_TEST(leases.recent(start + 1s, 4s).size() == 1U);
  BOOST_TEST(leases.recent(start + 4s, 4s).empty());
}
