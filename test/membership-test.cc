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

// Runs until all agree. The bound is in the fleet's own time.
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

BOOST_AUTO_TEST_CASE(all_find_each_other_through_a_few_seeds) {
  for (std::uint64_t seed : {1, 2, 3}) {
    member_fleet fleet(options(seed, 0.1));
    fleet.start_all();
    BOOST_TEST(converges_within(fleet, 30s), "seed " << seed);
    BOOST_TEST(fleet.counts().largest <= datagram_limit_bytes);
  }
}

// An entry that has its lists serves after 5 s even if it lacks owners. In a
// domain of two members each may hear only the other at first.
BOOST_AUTO_TEST_CASE(small_fleets_agree_before_entries_stop_waiting) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    auto values = options(seed);
    values.members = 6;
    values.seeds = 6;
    member_fleet fleet(values);
    fleet.start_all();
    BOOST_TEST(converges_within(fleet, 5s), "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(a_killed_member_is_dropped_everywhere) {
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
    const auto* seen =
        fleet.nodes()[i].members->table().find(fleet.nodes()[9].self.id);
    BOOST_REQUIRE(seen != nullptr);
    BOOST_TEST(seen->known.info.incarnation == 2);
  }
}

BOOST_AUTO_TEST_CASE(a_frozen_member_comes_back_and_declares_nobody_dead) {
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

BOOST_AUTO_TEST_CASE(a_cut_domain_keeps_its_own_and_agrees_after_it_heals) {
  member_fleet fleet(options(7, 0.05));
  fleet.start_all();
  BOOST_REQUIRE(converges_within(fleet, 30s));
  auto domain = fleet.nodes()[0].self.domain;
  fleet.cut_off(domain, true);
  fleet.run_for(30s);
  BOOST_TEST(fleet.converged());
  // Changes on both sides, long enough for their gossip to be over. Domain 0
  // has 0, 3, 6 and so on; 18 is one of its pools, 19 one of another domain.
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
  fleet.cut_off(domain, false);
  fleet.start_all();
  fleet.run_for(60s);
  BOOST_TEST(!fleet.converged());
  fleet.heal(domain);
  BOOST_TEST(converges_within(fleet, 60s));
}

BOOST_AUTO_TEST_CASE(heavy_loss_raises_no_lasting_wrong_death) {
  member_fleet fleet(options(8, 0.25));
  fleet.start_all();
  fleet.run_for(60s);
  int wrong = 0;
  for (int i = 0; i < 120; ++i) {
    fleet.run_for(1s);
    if (!fleet.converged()) ++wrong;
  }
  BOOST_TEST_MESSAGE("seconds without agreement: " << wrong << " of 120");
  BOOST_TEST(converges_within(fleet, 20s));
}

BOOST_AUTO_TEST_CASE(
    a_leaving_member_is_seen_as_leaving_and_goes_without_doubt) {
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

BOOST_AUTO_TEST_CASE(a_silent_leaving_member_is_found_dead) {
  member_fleet fleet(options(10));
  fleet.start_all();
  BOOST_REQUIRE(converges_within(fleet, 30s));
  fleet.step_members(9, membership::leave());
  fleet.run_for(5s);
  fleet.kill(9);
  BOOST_TEST(converges_within(fleet, 60s));
}

// Members come, go and stand still at random, with loss and cuts; then all is
// left in peace and must agree.
BOOST_AUTO_TEST_CASE(random_faults_end_in_agreement) {
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
          if (random() % 2 == 0) fleet.cut_off(node.self.domain, false);
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
