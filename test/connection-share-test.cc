#define BOOST_TEST_MODULE connection_share
#include "toucanmux/proxy/connection-share.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "toucanmux/proxy/idle-limit.h"

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

BOOST_AUTO_TEST_CASE(the_remainder_goes_to_others_at_each_database) {
  auto all = members(15);
  bool differs = false;
  for (const auto& self : all) {
    differs = differs || connection_share(self, all, "i-1", 47) !=
                             connection_share(self, all, "i-2", 47);
  }
  BOOST_TEST(differs);
}

BOOST_AUTO_TEST_CASE(a_group_without_a_limit_gets_nothing) {
  BOOST_TEST(connection_share(member_id("a"), members(3), "i-1", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(only_small_shares_are_borrowed) {
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

BOOST_AUTO_TEST_CASE(refusals_shorten_the_rest_of_borrowed_connections) {
  idle_timeout rest;
  auto before = rest.value(true);
  rest.record_refusal();
  BOOST_TEST((rest.value(true) <= before / 2));
  for (int i = 0; i < 20; ++i) rest.record_refusal();
  BOOST_TEST((rest.value(true) > duration{0}));
  for (int i = 0; i < 200; ++i) rest.tick();
  BOOST_TEST((rest.value(true) == before));
  BOOST_TEST((rest.value(false) > rest.value(true)));
}

// 139 instances serve 90 statements a second, each of another team, at a
// database that takes 97 connections; a part of one each never served them.
BOOST_AUTO_TEST_CASE(many_instances_share_few_connections) {
  struct held {
    std::size_t instance;
    double until;
  };
  constexpr std::size_t limit = 97;
  auto all = members(139);
  auto allowed = compute_allowance(all[0], all, "i-1", limit);
  std::vector<idle_timeout> rest(all.size());
  std::vector<held> open;
  std::mt19937 random(3);
  std::exponential_distribution<double> gap(90);
  int served = 0;
  int refused = 0;
  double next_tick = 0;
  for (double now = 0; now < 60; now += gap(random)) {
    std::erase_if(open, [&](const held& c) { return c.until <= now; });
    for (; next_tick < now; next_tick += 0.2) {
      for (auto& one : rest) one.tick();
    }
    auto self = random() % all.size();
    auto own = static_cast<std::size_t>(
        std::count_if(open.begin(), open.end(),
                      [&](const held& c) { return c.instance == self; }));
    if (open.size() >= limit || own >= allowed.limit) {
      ++refused;
      rest[self].record_refusal();
      continue;
    }
    ++served;
    auto idle = std::chrono::duration<double>(rest[self].value(true)).count();
    open.push_back({self, now + 0.04 + idle});
  }
  BOOST_TEST(served > 5000);
  BOOST_TEST(refused * 100 < served);
}
