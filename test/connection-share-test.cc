#define BOOST_TEST_MODULE connection_share
#include "toucanmux/proxy/connection-share.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "toucanmux/proxy/idle-timeout.h"

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
      auto all = members(count);
      unsigned sum = 0;
      for (const auto& self : all) {
        sum += connection_share(self, all, "i-1", limit);
      }
      BOOST_TEST(sum < limit);
      BOOST_TEST(sum + limit / 5 + 1 >= limit);
    }
  }
}

BOOST_AUTO_TEST_CASE(shares_differ_by_one_at_most) {
  auto all = members(15);
  for (const auto& self : all) {
    auto own = connection_share(self, all, "i-1", 47);
    BOOST_TEST(own >= 2U);
    BOOST_TEST(own <= 3U);
  }
}

BOOST_AUTO_TEST_CASE(each_database_gives_the_remainder_to_different_instances) {
  auto all = members(15);
  bool differs = false;
  for (const auto& self : all) {
    differs = differs || connection_share(self, all, "i-1", 47) !=
                             connection_share(self, all, "i-2", 47);
  }
  BOOST_TEST(differs);
}

BOOST_AUTO_TEST_CASE(a_limit_of_0_gives_no_connections) {
  BOOST_TEST(connection_share(member_id("a"), members(3), "i-1", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(instances_borrow_only_if_shares_are_small) {
  auto few = members(15);
  auto own = compute_allowance(few[0], few, "i-1", 47);
  BOOST_TEST(!own.borrows);
  BOOST_TEST(own.limit == own.share);
  auto many = members(139);
  auto borrowed = compute_allowance(many[0], many, "i-1", 97);
  BOOST_TEST(borrowed.borrows);
  BOOST_TEST(borrowed.share <= 1U);
  BOOST_TEST(borrowed.limit >= 2U);
  BOOST_TEST(borrowed.limit * 4 < 97U);
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
// that takes 97 connections. Guards against a fixed share for each instance:
// less than one connection never serves them.
BOOST_AUTO_TEST_CASE(many_instances_share_few_connections) {
  struct open_connection {
    std::size_t instance;
    double closes_at;
  };
  constexpr std::size_t limit = 97;
  auto all = members(139);
  auto allowed = compute_allowance(all[0], all, "i-1", limit);
  std::vector<idle_timeout> timeouts(all.size());
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
    auto self = random() % all.size();
    auto own = static_cast<std::size_t>(std::count_if(
        open.begin(), open.end(), [&](const open_connection& connection) {
          return connection.instance == self;
        }));
    if (open.size() >= limit || own >= allowed.limit) {
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
