#define BOOST_TEST_MODULE store_contact
#include "toucanmux/proxy/store-contact.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start{100s};

}  // namespace

// Guards against a change of the reader after one lost or slow answer.
BOOST_AUTO_TEST_CASE(one_failed_call_does_not_lose_the_store) {
  store_contact contact;
  contact.record(start, true);
  contact.record(start + 3s, false);
  BOOST_TEST(!contact.lost(start + 3s));
  contact.record(start + 4s, true);
  contact.record(start + 5s, false);
  contact.record(start + 6s, false);
  BOOST_TEST(!contact.lost(start + 6s));
}

BOOST_AUTO_TEST_CASE(failing_calls_lose_the_store_until_one_succeeds) {
  store_contact contact;
  contact.record(start, true);
  contact.record(start + 1200ms, false);
  contact.record(start + 2800ms, false);
  BOOST_TEST(contact.lost(start + 2800ms));
  contact.record(start + 5s, true);
  BOOST_TEST(!contact.lost(start + 20s));
}
