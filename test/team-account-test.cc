#define BOOST_TEST_MODULE team_account
#include "toucanmux/process/team-account.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant start{seconds(100)};
constexpr double rounding = 1e-6;

team_account full_account(double rate, double burst) {
  team_account account(start - seconds(1000), limits_timing());
  account.configure(start - seconds(1000), rate, burst);
  account.tokens(start);
  return account;
}

team_grant_request renewal(std::uint64_t sequence,
                           std::uint64_t allocation_number, double demand) {
  team_grant_request out;
  out.sequence = sequence;
  out.allocation_number = allocation_number;
  out.demand = demand;
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(fills_to_its_burst) {
  auto account = full_account(10, 5);
  BOOST_TEST(account.tokens(start) == 5);
  account.take(start, 5, start);
  BOOST_TEST(account.tokens(start) == 0);
  BOOST_CHECK_CLOSE(account.tokens(start + milliseconds(100)), 1, rounding);
}

BOOST_AUTO_TEST_CASE(taken_tokens_count_against_the_cap_until_their_deadline) {
  auto account = full_account(10, 5);
  account.take(start, 2, start + seconds(1));
  BOOST_CHECK_CLOSE(account.tokens(start + seconds(1) - duration(1)), 3,
                    rounding);
  BOOST_CHECK_CLOSE(account.tokens(start + seconds(1) + milliseconds(100)), 4,
                    rounding);
}

BOOST_AUTO_TEST_CASE(borrowed_tokens_exceed_the_cap_only_until_they_expire) {
  auto account = full_account(10, 5);
  account.add(start, 2, start + milliseconds(40));
  BOOST_TEST(account.tokens(start) == 7);
  BOOST_TEST(account.tokens(start + milliseconds(40)) == 5);
}

BOOST_AUTO_TEST_CASE(allocated_rates_never_exceed_the_slice) {
  auto account = full_account(100, 40);
  double rate = 0;
  double fallback_rate = 0;
  double cap = 0;
  for (int i = 0; i < 30; ++i) {
    member_id from("a" + std::to_string(i));
    account.record_request(start, from, 1, renewal(1, 0, 50));
    double extra_tokens = 0;
    auto allocation = account.renew_allocation(start, from, extra_tokens);
    rate += allocation.rate;
    fallback_rate += allocation.fallback_rate;
    cap += allocation.fallback_cap;
    BOOST_TEST(allocation.rate <= allocation.fallback_rate);
    BOOST_TEST(allocation.cap <= allocation.fallback_cap);
  }
  BOOST_TEST(rate <= 100);
  BOOST_TEST(fallback_rate <= 100 + rounding);
  BOOST_TEST(cap <= 40 + rounding);
  BOOST_TEST(cap > 20);
}

BOOST_AUTO_TEST_CASE(
    an_allocation_counts_until_the_instance_confirms_a_smaller_one) {
  auto account = full_account(100, 40);
  member_id from("a");
  double extra_tokens = 0;
  account.record_request(start, from, 1, renewal(1, 0, 80));
  auto large = account.renew_allocation(start, from, extra_tokens);
  BOOST_TEST(large.cap > 0);
  account.record_request(start, from, 1, renewal(2, large.number, 0));
  auto none = account.renew_allocation(start, from, extra_tokens);
  BOOST_TEST(none.rate == 0);
  // The answer may be lost, so that the large allocation may still be in force.
  BOOST_TEST(account.tokens(start + seconds(1)) <= 40 - large.cap + rounding);
  account.record_request(start + seconds(1), from, 1,
                         renewal(3, none.number, 0));
  BOOST_CHECK_CLOSE(account.tokens(start + seconds(2)), 40, rounding);
}

BOOST_AUTO_TEST_CASE(allocations_of_silent_instances_are_reclaimed) {
  auto account = full_account(100, 40);
  double extra_tokens = 0;
  account.record_request(start, member_id("a"), 1, renewal(1, 0, 80));
  auto allocation =
      account.renew_allocation(start, member_id("a"), extra_tokens);
  account.reclaim_silent(start + seconds(2));
  BOOST_TEST(account.tokens(start + seconds(2)) <=
             40 - allocation.cap + rounding);
  account.reclaim_silent(start + seconds(3));
  BOOST_CHECK_CLOSE(account.tokens(start + seconds(4)), 40, rounding);
}

BOOST_AUTO_TEST_CASE(a_request_is_recorded_once) {
  auto account = full_account(10, 5);
  member_id from("a");
  BOOST_TEST(account.record_request(start, from, 1, renewal(7, 0, 1)));
  BOOST_TEST(account.record_request(start, from, 1, renewal(6, 0, 1)));
  BOOST_TEST(!account.record_request(start, from, 1, renewal(6, 0, 1)));
  BOOST_TEST(!account.record_request(start, from, 1, renewal(7, 0, 1)));
  BOOST_TEST(account.record_request(start, from, 2, renewal(1, 0, 1)));
  BOOST_TEST(!account.record_request(start, from, 1, renewal(8, 0, 1)));
}
