#define BOOST_TEST_MODULE connection_share
#include "toucanmux/proxy/connections/connection-share.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "toucanmux/proxy/connections/idle-timeout.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

std::vector<member_id> members(std::size_t count) {
  std::vector<member_id> out;
  for (std::size_t i = 0; i < count; ++i) {
    out.emplace_back("edge-" + std::to_string(i));
  }
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(all_shares_together_stay_below_the_limit) {
  for (std::size_t count : {1U, 2U, 12U, 15U, 21U, 139U}) {
    for (unsigned limit : {47U, 97U, 100U, 460U}) {
      auto instances = members(count);
      unsigned sum = 0;
      for (const auto& self : instances) {
        sum += connection_share(self, instances, "i-1", limit);
      }
      BOOST_TEST(sum < limit);
      BOOST_TEST(sum + limit / 5 + 1 >= limit);
    }
  }
}

BOOST_AUTO_TEST_CASE(shares_differ_by_one_at_most) {
  auto instances = members(15);
  for (const auto& self : instances) {
    auto share = connection_share(self, instances, "i-1", 47);
    BOOST_TEST(share >= 2U);
    BOOST_TEST(share <= 3U);
  }
}

BOOST_AUTO_TEST_CASE(each_database_gives_the_remainder_to_different_instances) {
  auto instances = members(15);
  bool differs = false;
  for (const auto& self : instances) {
    differs = differs || connection_share(self, instances, "i-1", 47) !=
                             connection_share(self, instances, "i-2", 47);
  }
  BOOST_TEST(differs);
}

BOOST_AUTO_TEST_CASE(a_limit_of_0_gives_no_connections) {
  BOOST_TEST(connection_share(member_id("a"), members(3), "i-1", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(instances_borrow_only_if_shares_are_small) {
  auto small_fleet = members(15);
  auto own_allowance =
      compute_allowance(small_fleet[0], small_fleet, "i-1", 47);
  BOOST_TEST(!own_allowance.borrows);
  BOOST_TEST(own_allowance.limit == own_allowance.share);
  auto large_fleet = members(139);
  auto borrowed_allowance =
      compute_allowance(large_fleet[0], large_fleet, "i-1", 97);
  BOOST_TEST(borrowed_allowance.borrows);
  BOOST_TEST(borrowed_allowance.share <= 1U);
  BOOST_TEST(borrowed_allowance.limit >= 2U);
  BOOST_TEST(borrowed_allowance.limit * 4 < 97U);
}

BOOST_AUTO_TEST_CASE(
    refusals_shorten_the_idle_timeout_of_borrowed_connections) {
  idle_timeout timeout;
  auto before = timeout.value(true);
  timeout.record_refusal();
  BOOST_TEST((timeout.value(true) <= before / 2));
  for (int i = 0; i < 20; ++i) timeout.record_refusal();
  BOOST_TEST((timeout.value(true) > duration{0}));
  for (int i = 0; i < 200; ++i) timeout.tick();
  BOOST_TEST((timeout.value(true) == before));
  BOOST_TEST((timeout.value(false) > timeout.value(true)));
}

// 139 instances run 90 statements a second, each of another team, at a database
// that takes 97 connections. Guards against fixed shares: with less than one
// connection each, the instances could serve none of the statements.
BOOST_AUTO_TEST_CASE(many_instances_share_few_connections) {
  struct open_connection {
    std::size_t instance;
    double closes_at;
  };
  constexpr std::size_t limit = 97;
  auto instances = members(139);
  auto allowance = compute_allowance(instances[0], instances, "i-1", limit);
  std::vector<idle_timeout> timeouts(instances.size());
  std::vector<open_connection> open;
  std::mt19937 random(3);
  std::exponential_distribution<double> gap(90);
  int served = 0;
  int refused = 0;
  double next_tick = 0;
  for (double now = 0; now < 60; now += gap(random)) {
    std::erase_if(open, [&](const open_connection& connection) {
      return connection.closes_at <= now;
    });
    for (; next_tick < now; next_tick += 0.2) {
      for (auto& timeout : timeouts) timeout.tick();
    }
    auto self = random() % instances.size();
    auto open_here = static_cast<std::size_t>(std::count_if(
        open.begin(), open.end(), [&](const open_connection& connection) {
          return connection.instance == self;
        }));
    if (open.size() >= limit || open_here >= allowance.limit) {
      ++refused;
      timeouts[self].record_refusal();
      continue;
    }
    ++served;
    auto idle =
        std::chrono::duration<double>(timeouts[self].value(true)).count();
    open.push_back({self, now + 0.04 + idle});
  }
  BOOST_TEST(served > 5000);
  BOOST_TEST(refused * 100 < served);
}
