#define BOOST_TEST_MODULE store_generation
#include "toucanmux/proxy/store-generation.h"

#include <boost/test/unit_test.hpp>

#include "toucanmux/proxy/leader-lease.h"
#include "toucanmux/proxy/store-version.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start(100s);

}  // namespace

BOOST_AUTO_TEST_CASE(only_a_higher_generation_is_a_new_one) {
  store_generation store;
  BOOST_TEST(store.observe(start, 3));
  BOOST_TEST(!store.observe(start, 3));
  BOOST_TEST(!store.observe(start, 2));
  BOOST_TEST(store.observe(start, 5));
  BOOST_TEST(store.current() == 5U);
}

// Guards against acting on an answer to a request that was made by the state of
// an earlier generation, and on a late answer of that generation.
BOOST_AUTO_TEST_CASE(answers_over_a_restore_are_not_usable) {
  store_generation store;
  store.observe(start, 1);
  BOOST_TEST(store.usable(0, 1));
  BOOST_TEST(store.usable(1, 1));
  store.observe(start, 2);
  BOOST_TEST(!store.usable(1, 2));
  BOOST_TEST(!store.usable(1, 1));
  BOOST_TEST(!store.usable(2, 1));
  BOOST_TEST(store.usable(2, 2));
}

BOOST_AUTO_TEST_CASE(the_first_answer_shows_a_generation_but_no_restore) {
  store_generation store;
  BOOST_TEST(store.current() == 0U);
  BOOST_TEST(store.observe(start, 1));
  BOOST_TEST(store.usable(0, 1));
}

BOOST_AUTO_TEST_CASE(versions_compare_by_generation_first) {
  BOOST_TEST((store_version{1, 90} < store_version{2, 10}));
  BOOST_TEST((store_version{2, 9} < store_version{2, 10}));
}

// Guards against confirming an older configuration before the operator has
// written the newer one again.
BOOST_AUTO_TEST_CASE(a_generation_settles_after_the_time_for_repeated_writes) {
  store_generation store;
  BOOST_TEST(!store.settled(start));
  store.observe(start, 1);
  BOOST_TEST(!store.settled(start + store_generation::rewrite_time - 1ms));
  BOOST_TEST(store.settled(start + store_generation::rewrite_time));
  // Seen by an instance that starts later, the store says so.
  store_generation later;
  later.observe(start, 1);
  later.mark_settled(start + 10ms);
  BOOST_TEST(!later.settled(start + 9ms));
  BOOST_TEST(later.settled(start + 10ms));
  later.observe(start + 1s, 2);
  BOOST_TEST(!later.settled(start + 1s + 10ms));
}

BOOST_AUTO_TEST_CASE(leases_of_older_generations_end_in_time) {
  store_generation store;
  store.observe(start, 2);
  BOOST_TEST(
      !store.older_leases_ended(start + leader_lease::expiry_wait - 1ms));
  BOOST_TEST(store.older_leases_ended(start + leader_lease::expiry_wait));
}
