#define BOOST_TEST_MODULE upstream_group
#include "proxy/upstream-group.h"

#include <boost/test/unit_test.hpp>

#include "standin/proxy/session-fixture.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

namespace {

struct discovered_group : session_fixture {
  // An entry of the second database as the store shows it.
  upstream_entry entry(std::uint64_t sequence, const store_version& version) {
    upstream_entry out = second.entry();
    out.sequence = sequence;
    out.version = version;
    return out;
  }
  const upstream& known() { return *group().find(second.entry().id); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_group_tests, discovered_group)

// Guards against a longer drain: the copy of a restored store may show a
// draining database as ready.
BOOST_AUTO_TEST_CASE(an_entry_of_an_older_copy_does_not_end_a_drain) {
  auto draining = entry(20, {1, 50});
  draining.draining = true;
  group().set_entry(draining);
  auto since = known().draining_since;
  group().set_entry(entry(12, {2, 41}));
  BOOST_TEST(known().entry.draining);
  draining.sequence = 21;
  draining.version = {2, 44};
  group().set_entry(draining);
  BOOST_TEST((known().draining_since == since));
  // A database that starts again has new counts.
  auto restarted = entry(1, {2, 45});
  restarted.born_ms = 7;
  group().set_entry(restarted);
  BOOST_TEST(!known().draining_since.has_value());
}

BOOST_AUTO_TEST_CASE(
    a_database_that_left_is_not_used_because_of_an_older_copy) {
  auto draining = entry(20, {1, 50});
  draining.draining = true;
  group().set_entry(draining);
  group().remove_entry(draining.id);
  group().set_entry(entry(12, {2, 41}));
  BOOST_TEST(known().removed_at.has_value());
}

// The heartbeats of an entry that the copy has do not show as changes.
BOOST_AUTO_TEST_CASE(an_entry_that_expired_in_an_outage_returns_with_the_copy) {
  group().set_entry(entry(20, {1, 50}));
  group().remove_entry(second.entry().id);
  group().set_entry(entry(12, {2, 41}));
  BOOST_TEST(!known().removed_at.has_value());
}

// A database that begins to lead after a restore has a lower revision than the
// former leader.
BOOST_AUTO_TEST_CASE(the_newest_claim_of_the_lead_counts_over_generations) {
  auto former = first.entry();
  former.claims_lead = false;
  former.version = {1, 80};
  group().set_entry(former);
  former.claims_lead = true;
  former.version = {1, 90};
  group().set_entry(former);
  auto successor = entry(13, {2, 42});
  successor.claims_lead = true;
  group().set_entry(successor);
  BOOST_TEST((group().leader() == successor.id));
}

// Guards against statements after the drain bound: the bound counts from the
// store's acknowledgement, which an instance may learn of seconds later.
BOOST_AUTO_TEST_CASE(a_drain_is_counted_from_its_change_in_the_store) {
  auto draining = first.entry();
  draining.draining = true;
  draining.sequence = 20;
  upstream_requirements leader_only{true, 0};
  auto last_use = state.settings.drain_timeout - std::chrono::seconds(2);
  group().set_entry(draining, loop.now() - last_use + 1s);
  BOOST_TEST(group().may_serve(leader_only));
  // Later heartbeats don't begin the drain anew.
  draining.sequence = 21;
  group().set_entry(draining, loop.now());
  run_for(1100ms);
  BOOST_TEST(!group().may_serve(leader_only));
}

// Guards against callers that return while the leader is still being promoted,
// where promotions take longer than usual.
BOOST_AUTO_TEST_CASE(the_estimate_of_a_promotion_follows_earlier_ones) {
  group().set_probe_team(team_id("glaziers"));
  set_leader("i-1", leadership_phase::revoked);
  first.is_primary = false;
  set_leader("i-2", leadership_phase::named);
  run_for(1200ms);
  BOOST_TEST(!group().leader().has_value());
  second.is_primary = true;
  for (int i = 0; i < 100 && !group().leader(); ++i) run_for(20ms);
  set_leader("i-2", leadership_phase::revoked);
  set_leader("i-3", leadership_phase::named);
  BOOST_TEST((group().leader_change_remaining() > 1s));
}

BOOST_AUTO_TEST_SUITE_END()
