#define BOOST_TEST_MODULE drain
#include "toucanmux/process/drain.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start{};

template <class Action>
bool has_action(const std::vector<drain::action>& actions) {
  for (const auto& action : actions) {
    if (std::holds_alternative<Action>(action)) return true;
  }
  return false;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_drain_completes_after_the_last_open_request) {
  drain instance({});
  instance.step(start, drain::work{2});
  auto actions = instance.step(start, drain::leave());
  BOOST_TEST(has_action<drain::show_not_ready>(actions));
  BOOST_TEST(!has_action<drain::stop_new_work>(actions));
  BOOST_TEST(instance.step(start + 2s, drain::tick()).empty());
  BOOST_TEST(has_action<drain::stop_new_work>(
      instance.step(start + 3s, drain::tick())));
  BOOST_TEST(instance.step(start + 1h, drain::tick()).empty());
  instance.step(start + 2h, drain::work{1});
  BOOST_TEST(instance.step(start + 3h, drain::work{0}).empty());
  BOOST_TEST(instance.step(start + 3h + 400ms, drain::tick()).empty());
  BOOST_TEST(has_action<drain::completed>(
      instance.step(start + 3h + 1s, drain::tick())));
  BOOST_TEST(instance.step(start + 4h, drain::tick()).empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_starts_after_the_notice_delays_completion) {
  drain instance({});
  instance.step(start, drain::leave());
  instance.step(start + 3s, drain::tick());
  instance.step(start + 3s + 100ms, drain::work{1});
  BOOST_TEST(instance.step(start + 10s, drain::tick()).empty());
  instance.step(start + 11s, drain::work{0});
  BOOST_TEST(
      has_action<drain::completed>(instance.step(start + 12s, drain::tick())));
}

BOOST_AUTO_TEST_CASE(without_notice_new_work_stops_immediately) {
  drain instance({0s, 0s});
  instance.step(start, drain::work{1});
  auto actions = instance.step(start + 1s, drain::leave());
  BOOST_TEST(has_action<drain::show_not_ready>(actions));
  BOOST_TEST(has_action<drain::stop_new_work>(actions));
  BOOST_TEST(!has_action<drain::completed>(actions));
  BOOST_TEST(
      has_action<drain::completed>(instance.step(start + 2s, drain::work{0})));
}

BOOST_AUTO_TEST_CASE(a_drain_can_be_cancelled) {
  drain instance({});
  instance.step(start, drain::leave());
  BOOST_TEST(has_action<drain::resume_work>(
      instance.step(start + 1s, drain::cancel())));
  BOOST_TEST(instance.step(start + 1h, drain::tick()).empty());
  BOOST_TEST(instance.step(start + 1h, drain::cancel()).empty());
}
