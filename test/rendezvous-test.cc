#define BOOST_TEST_MODULE rendezvous
#include "toucanmux/process/rendezvous.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace toucanmux;

namespace {

std::vector<member_id> pools(int count) {
  std::vector<member_id> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    out.emplace_back("norte-" + std::to_string(i) + "/pool");
  }
  return out;
}

std::string database_name(int i) { return "socios-" + std::to_string(i); }

}  // namespace

BOOST_AUTO_TEST_CASE(the_order_of_the_candidates_does_not_matter) {
  auto forward = pools(20);
  auto backward = forward;
  std::reverse(backward.begin(), backward.end());
  for (int i = 0; i < 100; ++i) {
    BOOST_CHECK(choose_owners(database_name(i), forward, 3) ==
                choose_owners(database_name(i), backward, 3));
  }
}

BOOST_AUTO_TEST_CASE(removing_a_candidate_moves_only_the_keys_it_owned) {
  auto before = pools(20);
  auto after = before;
  auto removed = after[7];
  after.erase(after.begin() + 7);
  for (int i = 0; i < 500; ++i) {
    auto old_owners = choose_owners(database_name(i), before, 3);
    auto new_owners = choose_owners(database_name(i), after, 3);
    std::erase(old_owners, removed);
    BOOST_CHECK(
        std::equal(old_owners.begin(), old_owners.end(), new_owners.begin()));
  }
}

BOOST_AUTO_TEST_CASE(databases_are_spread_evenly_over_the_pools) {
  auto all = pools(20);
  std::map<member_id, int> owned;
  for (int i = 0; i < 4000; ++i) {
    ++owned[choose_owners(database_name(i), all, 1).front()];
  }
  BOOST_TEST(owned.size() == all.size());
  // Each pool owns 200 databases on average, with a standard deviation of about
  // 14 for a uniform hash.
  for (const auto& [id, count] : owned) {
    BOOST_TEST(count > 130, id.value << " owns " << count);
    BOOST_TEST(count < 270, id.value << " owns " << count);
  }
}

BOOST_AUTO_TEST_CASE(all_candidates_are_chosen_if_there_are_too_few) {
  auto all = pools(2);
  BOOST_TEST(choose_owners("a", all, 3).size() == 2);
  BOOST_TEST(choose_owners("a", {}, 3).empty());
  BOOST_TEST(owns(all[1], "a", all, 2));
  BOOST_TEST(!owns(member_id("other"), "a", all, 2));
}
