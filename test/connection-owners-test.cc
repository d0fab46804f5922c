#define BOOST_TEST_MODULE connection_owners
#include "toucanmux/proxy/connections/connection-owners.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "toucanmux/proxy/connections/avoided-peers.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

const domain_id north("north");
const domain_id south("south");
const database_id database("i-1");
constexpr unsigned max_connections = 70;

std::vector<owner_candidate> fleet(std::size_t size_per_domain) {
  std::vector<owner_candidate> out;
  for (std::size_t i = 0; i < size_per_domain; ++i) {
    auto capacity = static_cast<std::uint32_t>(i % 2 == 0 ? 100 : 500);
    out.push_back({member_id("n" + std::to_string(i)), north, capacity});
    out.push_back({member_id("s" + std::to_string(i)), south, capacity});
  }
  return out;
}

connection_owners owners_among(const std::vector<owner_candidate>& candidates) {
  return {database, north, max_connections, candidates};
}

std::map<std::string, member_id> owners_by_team(
    const connection_owners& owners) {
  std::map<std::string, member_id> out;
  for (int i = 0; i < 200; ++i) {
    auto team = "team-" + std::to_string(i);
    out[team] = *owners.owner_of(team_id(team));
  }
  return out;
}

unsigned sum_of_shares(const connection_owners& owners,
                       const std::vector<owner_candidate>& candidates) {
  unsigned out = 0;
  for (const auto& one : candidates)
    out += owners.allowance(one.id, candidates.size()).share;
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(owners_are_in_the_databases_domain) {
  auto candidates = fleet(12);
  auto owners = owners_among(candidates);
  BOOST_TEST(owners.size() == 8U);
  for (const auto& one : candidates) {
    if (owners.contains(one.id)) BOOST_TEST(one.domain.value == "north");
  }
  std::reverse(candidates.begin(), candidates.end());
  BOOST_CHECK(owners_by_team(owners) ==
              owners_by_team(owners_among(candidates)));
  BOOST_TEST(owners_among({}).owner_of(team_id("glaziers")) == nullptr);
}

// Guards against moving the teams of the other owners, which would lose their
// warm connections.
BOOST_AUTO_TEST_CASE(a_leaving_owner_moves_only_its_teams) {
  auto candidates = fleet(12);
  auto before = owners_by_team(owners_among(candidates));
  auto leaving = before.begin()->second;
  std::erase_if(candidates, [&](const auto& one) { return one.id == leaving; });
  // An owner takes the place of the one that leaves, so teams move to it.
  auto owners = owners_among(candidates);
  for (const auto& item : owners_by_team(owners)) {
    const auto& new_owner = item.second;
    const auto& old_owner = before[item.first];
    bool was_owner =
        std::any_of(before.begin(), before.end(),
                    [&](const auto& one) { return one.second == new_owner; });
    bool moved_between_old_owners =
        new_owner != old_owner && old_owner != leaving && was_owner;
    BOOST_TEST(!moved_between_old_owners);
  }
}

// Guards against exceeding the limit while all instances see the same members.
BOOST_AUTO_TEST_CASE(shares_stay_below_the_limit_over_joins_and_leaves) {
  for (std::size_t size = 1; size <= 40; ++size) {
    auto candidates = fleet(size);
    auto owners = owners_among(candidates);
    BOOST_TEST(sum_of_shares(owners, candidates) <= max_connections);
    unsigned shares = 0;
    unsigned limits = 0;
    for (const auto& one : candidates) {
      auto allowance = owners.allowance(one.id, candidates.size());
      if (!owners.contains(one.id)) continue;
      shares += allowance.share;
      limits += allowance.limit;
    }
    BOOST_TEST(shares <= usable_connections(max_connections) * 3 / 4);
    BOOST_TEST(limits <= usable_connections(max_connections));
  }
}

// An instance that knows fewer peers gives itself a larger share; all owners of
// both views together may exceed the limit, but no owner has more than all the
// owned connections.
BOOST_AUTO_TEST_CASE(differing_views_keep_every_quota_within_the_limit) {
  auto candidates = fleet(12);
  for (std::size_t known = 2; known <= candidates.size(); known += 2) {
    std::vector<owner_candidate> view(
        candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(known));
    auto owners = owners_among(view);
    auto allowance = owners.allowance(view.front().id, view.size());
    BOOST_TEST(allowance.share <= usable_connections(max_connections) * 3 / 4);
    BOOST_TEST(allowance.limit <= usable_connections(max_connections));
    BOOST_TEST(sum_of_shares(owners, view) <= max_connections);
  }
}

// Guards against callers that wait for a connection while those that the other
// instances may borrow are free.
BOOST_AUTO_TEST_CASE(owners_may_use_all_connections_that_are_free) {
  for (unsigned limit : {4U, 8U, 70U, 200U}) {
    auto candidates = fleet(12);
    connection_owners owners(database, north, limit, candidates);
    unsigned sum = 0;
    for (const auto& one : candidates) {
      if (owners.contains(one.id)) sum += owners.allowance(one.id, 24).limit;
    }
    BOOST_TEST(sum <= usable_connections(limit));
    BOOST_TEST(sum > usable_connections(limit) - owners.size());
  }
}

// Guards against owners without a connection where the limit is small.
BOOST_AUTO_TEST_CASE(a_small_limit_has_fewer_owners) {
  auto candidates = fleet(12);
  connection_owners owners(database, north, 6, candidates);
  BOOST_TEST(owners.size() == 1U);
  auto owner = *owners.owner_of(team_id("glaziers"));
  BOOST_TEST(owners.allowance(owner, 24).limit >= 2U);
}

BOOST_AUTO_TEST_CASE(larger_instances_own_more_databases) {
  auto candidates = fleet(16);
  int large = 0;
  int small = 0;
  for (int i = 0; i < 300; ++i) {
    connection_owners owners(database_id("i-" + std::to_string(i)), north, 24,
                             candidates);
    for (const auto& one : candidates) {
      if (owners.contains(one.id)) ++(one.capacity == 500 ? large : small);
    }
  }
  BOOST_TEST(large > 2 * small);
}

BOOST_AUTO_TEST_CASE(a_peer_is_avoided_longer_after_repeated_failures) {
  avoided_peers peers;
  const member_id peer("edge-2");
  instant now(1h);
  for (auto expected : {1s, 2s, 4s, 8s, 8s}) {
    BOOST_TEST(peers.record_failure(now, peer));
    BOOST_TEST(!peers.record_failure(now, peer));
    now += expected - 1ms;
    BOOST_TEST(peers.avoided(now, peer, database));
    now += 1ms;
    BOOST_TEST(!peers.avoided(now, peer, database));
  }
  peers.record_success(now, peer, database);
  peers.record_failure(now, peer, database);
  BOOST_TEST(peers.avoided(now, peer, database));
  BOOST_TEST(!peers.avoided(now, peer, database_id("i-2")));
  BOOST_TEST(!peers.avoided(now + 1s, peer, database));
}
