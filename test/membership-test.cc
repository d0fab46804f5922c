#define BOOST_TEST_MODULE membership
#include "toucanmux/process/membership.h"

#include <boost/test/unit_test.hpp>

#include "member-fleet.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

member_fleet::options options(std::uint64_t seed, double loss = 0) {
  member_fleet::options values;
  values.members = 24;
  values.domains = 3;
  values.seed = seed;
  values.loss = loss;
  BOOST_TEST_MESSAGE("seed " << seed);
  return values;
}

// Runs the fleet until it has converged; the bound is in simulated time.
bool converges_within(member_fleet& fleet, duration bound) {
  instant end = fleet.now() + bound;
  while (fleet.now() < end) {
    if (fleet.converged()) return true;
    fleet.run_for(500ms);
  }
  return fleet.converged();
}

member_state seen_by(member_fleet& fleet, std::size_t index,
                     std::size_t other) {
  const auto* found =
      fleet.nodes()[index].members->table().find(fleet.nodes()[other].self.id);
  return found == nullptr ? member_state::dead : found->known.info.state;
}

}  // namespace

BOOST_AUTO_TEST_CASE(members_find_each_other_through_a_few_seeds) {
  for (std::uint64_t seed : {1, 2, 3}) {
    member_fleet fleet(options(seed, 0.1));
    fleet.start_all();
    BOOST_TEST(converges_within(fleet, 30s), "seed " << seed);
    BOOST_TEST(fleet.counts().largest_datagram_bytes <= datagram_limit_bytes);
  }
}

// Guards against slow convergence of small fleets: an entry with its lists
// starts serving after 5 s even if it does not know all owners yet. In a domain
// of two members, each may receive messages only from the other at first.
BOOST_AUTO_TEST_CASE(small_fleets_converge_before_entries_start_serving) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    auto values = options(seed);
    values.members = 6;
    values.seeds = 6;
    member_fleet fleet(values);
    fleet.start_all();
    BOOST_TEST(converges_within(fleet, 5s), "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(a_killed_member_is_declared_dead_by_all) {
  member_fleet fleet(options(4, 0.1));
  fleet.start_all();
  BOOST_REQUIRE(converges_within(fleet, 30s));
  fleet.kill(9);
  BOOST_TEST(!fleet.converged());
  BOOST_TEST(converges_within(fleet, 30s));
}

BOOST_AUTO_TEST_CASE(a_restarted_member_is_known_by_its_new_incarnation) {
  member_fleet fleet(options(5, 0.1));
  fleet.start_all();
  BOOST_REQUIRE(converges_within(fleet, 30s));
  fleet.kill(9);
  fleet.run_for(1s);
  fleet.start(9);
  fleet.run_for(30s);
  BOOST_TEST(fleet.converged());
  for (std::size_t i : {0, 3, 6, 12}) {
    const auto* known =
        fleet.nodes()[i].members->table().find(fleet.nodes()[9].self.id);
    BOOST_REQUIRE(known != nullptr);
    BOOST_TEST(known->known.info.incarnation == 2);
  }
}

BOOST_AUTO_TEST_CASE(a_paused_member_returns_and_declares_no_peer_dead) {
  member_fleet fleet(options(6));
  fleet.start_all();
  BOOST_REQUIRE(converges_within(fleet, 30s));
  fleet.pause(9);
  fleet.run_for(60s);
  BOOST_CHECK(seen_by(fleet, 0, 9) == member_state::dead);
  fleet.resume(9);
  fleet.run_for(500ms);
  for (std::size_t i = 0; i < 24; i += 3) {
    BOOST_CHECK(seen_by(fleet, 9, i) == member_state::alive);
  }
  BOOST_TEST(converges_within(fleet, 30s));
}

BOOST_AUTO_TEST_CASE(
    a_partitioned_domain_stays_intact_and_converges_after_healing) {
  member_fleet fleet(options(7, 0.05));
  fleet.start_all();
  BOOST_REQUIRE(converges_within(fleet, 30s));
  auto domain = fleet.nodes()[0].self.domain;
  fleet.partition(domain, true);
  fleet.run_for(30s);
  BOOST_TEST(fleet.converged());
  // Members die on both sides of the partition, and the partition lasts until
  // the gossip about them has ended. Domain 0 has the members 0, 3, 6 and so
  // on; 18 is one of its pools, 19 is in another domain.
  fleet.kill(18);
  fleet.kill(19);
  fleet.run_for(200s);
  BOOST_TEST(!fleet.converged());
  fleet.heal(domain);
  BOOST_TEST(converges_within(fleet, 30s));
}

BOOST_AUTO_TEST_CASE(domains_that_never_met_find_each_other_through_seeds) {
  member_fleet fleet(options(11));
  auto domain = fleet.nodes()[1].self.domain;
  fleet.partition(domain, false);
  fleet.start_all();
  fleet.run_for(60s);
  BOOST_TEST(!fleet.converged());
  fleet.heal(domain);
  BOOST_TEST(converges_within(fleet, 60s));
}

BOOST_AUTO_TEST_CASE(heavy_loss_causes_no_lasting_false_deaths) {
  member_fleet fleet(options(8, 0.25));
  fleet.start_all();
  fleet.run_for(60s);
  int diverged_seconds = 0;
  for (int i = 0; i < 120; ++i) {
    fleet.run_for(1s);
    if (!fleet.converged()) ++diverged_seconds;
  }
  BOOST_TEST_MESSAGE("seconds without convergence: " << diverged_seconds
                                                     << " of 120");
  BOOST_TEST(converges_within(fleet, 20s));
}

BOOST_AUTO_TEST_CASE(
    a_leaving_member_is_known_as_leaving_and_dies_without_suspicion) {
  member_fleet fleet(options(9));
  fleet.start_all();
  BOOST_REQUIRE(converges_within(fleet, 30s));
  fleet.step_members(9, membership::leave());
  fleet.run_for(10s);
  for (std::size_t i = 0; i < 24; i += 3) {
    BOOST_CHECK(seen_by(fleet, i, 9) == member_state::leaving);
  }
  fleet.step_members(9, membership::stop());
  fleet.kill(9);
  fleet.run_for(3s);
  BOOST_CHECK(seen_by(fleet, 0, 9) == member_state::dead);
  BOOST_TEST(converges_within(fleet, 20s));
}

BOOST_AUTO_TEST_CASE(a_leaving_member_that_crashes_is_declared_dead) {
  member_fleet fleet(options(10));
  fleet.start_all();
  BOOST_REQUIRE(converges_within(fleet, 30s));
  fleet.step_members(9, membership::leave());
  fleet.run_for(5s);
  fleet.kill(9);
  BOOST_TEST(converges_within(fleet, 60s));
}

// Guards against lasting disagreement after faults. Members crash, restart and
// pause at random, with loss and partitions; when the faults end, the fleet
// must converge.
BOOST_AUTO_TEST_CASE(the_fleet_converges_after_random_faults) {
  for (std::uint64_t seed = 100; seed < 106; ++seed) {
    member_fleet fleet(options(seed, 0.1));
    std::mt19937_64 random(seed);
    fleet.start_all();
    fleet.run_for(20s);
    for (int i = 0; i < 60; ++i) {
      auto index = 3 + random() % 21;
      auto& node = fleet.nodes()[index];
      switch (random() % 6) {
        case 0:
          if (node.running) fleet.kill(index);
          break;
        case 1:
        case 2:
          if (!node.running) fleet.start(index);
          break;
        case 3:
          if (!node.paused) fleet.pause(index);
          break;
        case 4:
          if (node.paused) fleet.resume(index);
          break;
        default:
          fleet.heal(node.self.domain);
          if (random() % 2 == 0) fleet.partition(node.self.domain, false);
      }
      fleet.run_for(std::chrono::milliseconds(random() % 5000));
    }
    for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
      if (fleet.nodes()[i].paused) fleet.resume(i);
      fleet.heal(fleet.nodes()[i].self.domain);
    }
    BOOST_TEST(converges_within(fleet, 90s), "seed " << seed);
    BOOST_TEST(fleet.violation().empty(), fleet.violation());
  }
}
