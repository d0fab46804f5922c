#define BOOST_TEST_MODULE leader_lease
#include "toucanmux/proxy/leader-lease.h"

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

leader_lease registered() {
  leader_lease out;
  out.mark_registered(start);
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_read_is_valid_from_when_it_was_sent) {
  auto leases = registered();
  BOOST_TEST(!leases.valid(start));
  // The answer arrives 2 s after the read was sent.
  leases.apply_records(start + 2s, start, {});
  BOOST_TEST(leases.valid(start + leader_lease::length - 1ms));
  BOOST_TEST(!leases.valid(start + leader_lease::length));
  // A late answer to an older read does not shorten the lease.
  leases.apply_records(start + 3s, start + 1s, {});
  leases.apply_records(start + 3s, start, {});
  BOOST_TEST(leases.valid(start + 1s + leader_lease::length - 1ms));
  BOOST_TEST(leader_lease::expiry_wait > leader_lease::length);
}

// An instance that replaces a leader waits for all registered instances. One
// that held a lease before its registration would not be waited for.
BOOST_AUTO_TEST_CASE(no_lease_is_valid_before_the_instance_is_registered) {
  leader_lease leases;
  leases.apply_records(start, start, {});
  BOOST_TEST(!leases.valid(start));
  leases.mark_registered(start + 1s);
  leases.apply_records(start + 1s, start + 999ms, {});
  BOOST_TEST(!leases.valid(start + 1s));
  leases.apply_records(start + 1s, start + 1s, {});
  BOOST_TEST(leases.valid(start + 1s));
}

BOOST_AUTO_TEST_CASE(the_newest_record_wins_whatever_its_source) {
  auto leases = registered();
  BOOST_TEST(!leases.find(group));
  leases.apply_record(start, record(5, leadership_phase::revoked, 2));
  BOOST_TEST((leases.find(group)->phase == leadership_phase::revoked));
  // This list was read before the leader was revoked.
  std::vector<leader_record> old{record(4, leadership_phase::settled, 2)};
  leases.apply_records(start + 1s, start, old);
  BOOST_TEST((leases.find(group)->phase == leadership_phase::revoked));
  BOOST_TEST((leases.known_since(group) == start));
  leases.apply_record(start + 2s, record(6, leadership_phase::named, 3));
  BOOST_TEST(leases.find(group)->leader == 3U);
  BOOST_TEST((leases.known_since(group) == start + 2s));
}

BOOST_AUTO_TEST_CASE(a_peer_confirms_only_the_records_that_it_knows) {
  auto leases = registered();
  auto peer = registered();
  BOOST_TEST(leases.confirm_from_peer(start, peer.digest()));
  peer.apply_record(start, record(5, leadership_phase::revoked, 2));
  BOOST_TEST(!leases.confirm_from_peer(start + 1s, peer.digest()));
  BOOST_TEST(!leases.valid(start + leader_lease::length));
  leases.apply_record(start + 1s, record(5, leadership_phase::revoked, 2));
  BOOST_TEST(leases.confirm_from_peer(start + 1s, peer.digest()));
  // The digest does not depend on the order in which records arrive.
  leader_record other{9, 8, leadership_phase::settled, 4, 1};
  peer.apply_record(start, other);
  peer.apply_record(start, record(9, leadership_phase::settled, 3));
  leases.apply_record(start, record(9, leadership_phase::settled, 3));
  BOOST_TEST(leases.digest() != peer.digest());
  leases.apply_record(start, other);
  BOOST_TEST(leases.digest() == peer.digest());
}

// Guards against a peer's record that indexes the names of phases out of range.
BOOST_AUTO_TEST_CASE(a_record_with_an_unknown_phase_is_ignored) {
  auto leases = registered();
  leases.apply_record(start, record(4, leadership_phase::settled, 2));
  leases.apply_record(start, record(5, static_cast<leadership_phase>(200), 3));
  BOOST_TEST(leases.find(group)->leader == 2U);
  BOOST_TEST(leases.find(group)->revision == 4U);
}

BOOST_AUTO_TEST_CASE(recent_records_expire) {
  auto leases = registered();
  leases.apply_record(start, record(5, leadership_phase::revoked, 2));
  BOOST_TEST(leases.recent(start + 1s, 4s).size() == 1U);
  BOOST_TEST(leases.recent(start + 4s, 4s).empty());
}

// Guards against a lease that no replacement waits for: the restored list of
// instances may lack this one.
BOOST_AUTO_TEST_CASE(a_restore_ends_the_extension_of_the_lease) {
  auto leases = registered();
  leases.begin_generation(1);
  leases.apply_records(start, start, {});
  leases.mark_restored();
  leases.apply_records(start + 2s, start + 2s, {});
  BOOST_TEST(leases.valid(start + leader_lease::length - 1ms));
  BOOST_TEST(!leases.valid(start + leader_lease::length));
  leases.mark_registered(start + 3s);
  leases.apply_records(start + 3s, start + 3s, {});
  BOOST_TEST(leases.valid(start + 3s));
}

BOOST_AUTO_TEST_CASE(records_of_another_generation_do_not_count) {
  auto leases = registered();
  leases.begin_generation(1);
  auto lost = record(50, leadership_phase::settled, 3);
  lost.generation = 1;
  leases.apply_record(start, lost);
  leases.begin_generation(2);
  BOOST_TEST(!leases.find(group));
  auto current = record(41, leadership_phase::settled, 4);
  current.generation = 2;
  leases.apply_record(start, current);
  leases.apply_record(start, lost);
  BOOST_TEST(leases.find(group)->leader == 4U);
  // The same revisions in two generations are different records.
  auto other = registered();
  other.begin_generation(1);
  current.generation = 1;
  other.apply_record(start, current);
  BOOST_TEST(other.digest() != leases.digest());
}

BOOST_AUTO_TEST_CASE(a_generation_is_adopted_from_a_complete_report_only) {
  auto peer = registered();
  peer.begin_generation(2);
  auto first = record(41, leadership_phase::settled, 4);
  first.generation = 2;
  peer.apply_record(start, first);
  auto second = first;
  second.group = group + 1;
  peer.apply_record(start, second);
  auto leases = registered();
  std::vector<leader_record> part{first};
  BOOST_TEST(!leases.adopt_from_peer(start, 2, peer.digest(), part));
  BOOST_TEST(leases.generation() == 0U);
  BOOST_TEST(
      leases.adopt_from_peer(start, 2, peer.digest(), peer.recent(start, 1s)));
  BOOST_TEST(leases.follows(2));
  BOOST_TEST(leases.digest() == peer.digest());
  BOOST_TEST(!leases.confirmed());
}

// Guards against a longer wait for a pending promotion after each restore.
BOOST_AUTO_TEST_CASE(inherited_records_are_as_old_as_before_the_restore) {
  auto leases = registered();
  leases.begin_generation(1);
  auto inherited = record(50, leadership_phase::named, 3);
  inherited.generation = 1;
  inherited.pending_promotion = 3;
  leases.apply_record(start, inherited);
  leases.begin_generation(2);
  inherited.generation = 2;
  inherited.revision = 41;
  leases.apply_record(start + 4s, inherited);
  BOOST_TEST((leases.known_since(group) == start));
  BOOST_TEST(leases.recent(start + 5s, 3s).size() == 1U);
  leases.begin_generation(3);
  inherited.generation = 3;
  inherited.leader = 4;
  leases.apply_record(start + 6s, inherited);
  BOOST_TEST((leases.known_since(group) == start + 6s));
}
