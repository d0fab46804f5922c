#define BOOST_TEST_MODULE warm_up
#include "toucanmux/proxy/domain/warm-up.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "toucanmux/proxy/domain/warm-up-share.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start{100s};
constexpr double allowance = 20 * 1.5 + 5;

upstream_entry cold_entry(duration left) {
  upstream_entry out;
  out.born_ms = 1;
  out.warm_up_left = left;
  return out;
}

std::vector<member_id> make_members(std::size_t count) {
  std::vector<member_id> out;
  out.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    out.emplace_back("edge-" + std::to_string(i));
  return out;
}

// The most statements that arrive within any second when all instances, with
// budgets of their own, try to send one at random times. Every transfer takes
// up to 50 ms.
std::size_t busiest_second(const std::vector<unsigned>& shares) {
  std::mt19937 random(7);
  std::vector<duration> arrivals;
  for (auto share : shares) {
    warm_up budget;
    budget.update(start, cold_entry(10s));
    budget.set_limit(share);
    for (instant now = start; now < start + 5s; now += 1ms) {
      if (random() % 10 != 0 || !budget.take(now)) continue;
      arrivals.push_back(now - start +
                         std::chrono::milliseconds(random() % 50));
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  std::size_t busiest = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    auto end = std::lower_bound(first, arrivals.end(), *first + 1s);
    busiest = std::max(busiest, static_cast<std::size_t>(end - first));
  }
  return busiest;
}

std::vector<unsigned> shares_of(const std::vector<member_id>& members,
                                std::size_t fleet_size) {
  std::vector<unsigned> out;
  out.reserve(members.size());
  for (const auto& id : members)
    out.push_back(warm_up_share(id, {members, fleet_size}, "i-1", allowance));
  return out;
}

}  // namespace

// Guards against a cold database that gets more from all instances together
// than it can take, and against one that gets nothing.
BOOST_AUTO_TEST_CASE(all_instances_together_keep_within_the_allowance) {
  for (std::size_t count : {3U, 27U, 102U, 136U}) {
    auto members = make_members(count);
    auto busiest = busiest_second(shares_of(members, count));
    BOOST_TEST(busiest <= static_cast<std::size_t>(allowance));
    BOOST_TEST(busiest > 0U);
  }
}

// Guards against a larger sum while instances know different parts of the
// fleet. Each has heard from a peer that knows all.
BOOST_AUTO_TEST_CASE(differing_views_keep_within_the_allowance) {
  auto members = make_members(102);
  std::mt19937 random(11);
  unsigned largest = 0;
  for (int draw = 0; draw < 50; ++draw) {
    unsigned sum = 0;
    for (const auto& self : members) {
      std::vector<member_id> known{self};
      for (const auto& id : members) {
        if (id != self && random() % 8 != 0) known.push_back(id);
      }
      sum += warm_up_share(self, {known, members.size()}, "i-1", allowance);
    }
    BOOST_TEST(sum <= allowance);
    largest = std::max(largest, sum);
  }
  BOOST_TEST(largest > 0U);
}

// An instance that starts knows itself only.
BOOST_AUTO_TEST_CASE(without_a_known_fleet_there_is_no_share) {
  auto members = make_members(1);
  BOOST_TEST(warm_up_share(members[0], {members, 0}, "i-1", allowance) == 0U);
  BOOST_TEST(warm_up_share(members[0], {members, 1}, "i-1", 0.9) == 0U);
}

// Guards against a warm-up that starts anew with each read of the same entry.
BOOST_AUTO_TEST_CASE(an_entry_that_is_read_again_does_not_prolong_the_warm_up) {
  warm_up budget;
  budget.update(start, cold_entry(4s));
  budget.update(start + 3s, cold_entry(4s));
  BOOST_TEST(budget.active(start + 3999ms));
  BOOST_TEST(!budget.active(start + 4s));
  budget.update(start + 5s, cold_entry(4s));
  BOOST_TEST(!budget.active(start + 5s));
  auto restarted = cold_entry(4s);
  restarted.born_ms = 2;
  budget.update(start + 6s, restarted);
  BOOST_TEST(budget.active(start + 6s));
  BOOST_TEST(!budget.take(start + 6s));  // No share is known yet.
  budget.set_limit({});
  BOOST_TEST(budget.take(start + 6s));
  budget.update(start + 7s, cold_entry(0s));
  BOOST_TEST(!budget.active(start + 7s));
}
