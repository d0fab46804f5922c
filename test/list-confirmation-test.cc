#define BOOST_TEST_MODULE list_confirmation
#include "toucanmux/proxy/list-confirmation.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start{100s};

}  // namespace

// An instance that starts can't know how long a database has been draining.
BOOST_AUTO_TEST_CASE(before_the_first_confirmation_a_change_has_any_age) {
  list_confirmation list;
  BOOST_TEST((list.changed_after(start) == instant{}));
}

BOOST_AUTO_TEST_CASE(a_change_is_no_older_than_the_last_answered_watch) {
  list_confirmation list;
  list.confirm_list(start);
  list.confirm_watch(start + 1s, 3s);
  BOOST_TEST((list.changed_after(start + 6s) == start + 4s));
  // Its events may have been made at any time since it was sent.
  list.confirm_watch(start + 5s, 0s);
  BOOST_TEST((list.changed_after(start + 9s) == start + 5s));
  // An answer that is overtaken by a later one confirms nothing.
  list.confirm_list(start + 2s);
  BOOST_TEST((list.changed_after(start + 9s) == start + 5s));
  // The requested wait may end after the answer's arrival on a fast clock.
  list.confirm_watch(start + 9s, 3s);
  BOOST_TEST((list.changed_after(start + 10s) == start + 10s));
}

// Guards against a lost update: an instance that lacks the reader's last change
// must not take its list for current.
BOOST_AUTO_TEST_CASE(a_report_confirms_only_the_same_version) {
  list_confirmation list;
  list.confirm_list(start);
  list.confirm_report({1, 40}, {1, 41}, start + 2s);
  BOOST_TEST((list.changed_after(start + 3s) == start));
  list.confirm_report({1, 41}, {2, 41}, start + 2s);
  BOOST_TEST((list.changed_after(start + 3s) == start));
  list.confirm_report({1, 41}, {1, 41}, start + 2s);
  BOOST_TEST((list.changed_after(start + 3s) == start + 2s));
}
