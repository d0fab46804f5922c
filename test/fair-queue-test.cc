#define BOOST_TEST_MODULE fair_queue
#include "toucanmux/process/fair-queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>

using namespace toucanmux;
using std::chrono::milliseconds;

namespace {

instant at(int ms) { return instant(milliseconds(ms)); }

slot_wanted statement_request(std::uint64_t id, std::string_view team,
                              int time_left_ms = 10000, double weight = 1) {
  return {id, team_id(team), weight, false, milliseconds(time_left_ms)};
}

slot_wanted transaction_request(std::uint64_t id, std::string_view team,
                                int time_left_ms = 10000) {
  return {id, team_id(team), 1, true, milliseconds(time_left_ms)};
}

fair_queue::settings with_slots(std::uint32_t slots) {
  fair_queue::settings s;
  s.slots = slots;
  s.service_time = milliseconds(10);
  return s;
}

std::vector<std::uint64_t> granted(const fair_queue::actions& actions) {
  std::vector<std::uint64_t> out;
  for (const auto& a : actions) {
    if (const auto* g = std::get_if<grant_slot>(&a)) out.push_back(g->id);
  }
  return out;
}

std::vector<refuse_slot> refused(const fair_queue::actions& actions) {
  std::vector<refuse_slot> out;
  for (const auto& a : actions) {
    if (const auto* r = std::get_if<refuse_slot>(&a)) out.push_back(*r);
  }
  return out;
}

std::uint64_t only_grant(const fair_queue::actions& actions) {
  auto ids = granted(actions);
  return ids.size() == 1 ? ids[0] : 0;
}

std::uint64_t ended_transaction(const fair_queue::actions& actions) {
  for (const auto& a : actions) {
    if (const auto* e = std::get_if<end_transaction>(&a)) return e->id;
  }
  return 0;
}

}  // namespace

BOOST_AUTO_TEST_CASE(free_slots_are_granted_immediately) {
  fair_queue queue(with_slots(2));
  BOOST_TEST(only_grant(queue.step(at(0), statement_request(1, "a"))) == 1);
  BOOST_TEST(only_grant(queue.step(at(0), statement_request(2, "a"))) == 2);
  BOOST_TEST(granted(queue.step(at(0), statement_request(3, "a"))).empty());
  BOOST_TEST(only_grant(queue.step(at(1), slot_released{1})) == 3);
}

BOOST_AUTO_TEST_CASE(a_small_team_does_not_wait_behind_a_large_one) {
  fair_queue queue(with_slots(1));
  for (std::uint64_t id = 1; id <= 50; ++id) {
    queue.step(at(0), statement_request(id, "large"));
  }
  queue.step(at(5), statement_request(99, "small"));
  BOOST_TEST(only_grant(queue.step(at(10), slot_released{1})) == 99);
}

BOOST_AUTO_TEST_CASE(slots_are_shared_by_weight) {
  fair_queue queue(with_slots(1));
  std::map<std::uint64_t, std::string> teams;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    auto team = id % 2 == 0 ? "three" : "one";
    teams[id] = team;
    queue.step(at(0), statement_request(id, team, 100000, id % 2 == 0 ? 3 : 1));
  }
  std::map<std::string, int> served;
  std::uint64_t running = 1;
  for (int i = 1; i <= 80; ++i) {
    running = only_grant(queue.step(at(i * 10), slot_released{running}));
    ++served[teams[running]];
  }
  BOOST_TEST(served["three"] >= 59);
  BOOST_TEST(served["one"] >= 19);
}

BOOST_AUTO_TEST_CASE(teams_share_slot_time_rather_than_grants) {
  fair_queue queue(with_slots(1));
  std::map<std::uint64_t, std::string> teams;
  for (std::uint64_t id = 1; id <= 400; ++id) {
    auto team = id % 2 == 0 ? "long" : "short";
    teams[id] = team;
    queue.step(at(0), statement_request(id, team, 1000000));
  }
  std::map<std::string, int> slot_ms;
  std::uint64_t running = 1;
  int now = 0;
  for (int i = 0; i < 200; ++i) {
    int service = teams[running] == "long" ? 40 : 10;
    slot_ms[teams[running]] += service;
    now += service;
    running = only_grant(queue.step(at(now), slot_released{running}));
  }
  BOOST_TEST(slot_ms["long"] <= slot_ms["short"] * 1.1);
  BOOST_TEST(slot_ms["short"] <= slot_ms["long"] * 1.1);
}

namespace {

// Returns how many of 20 grants go to a team with constant load while another
// team returns after an idle time.
int grants_beside_returning_team(duration credit) {
  auto s = with_slots(1);
  s.pause_credit = credit;
  fair_queue queue(s);
  std::uint64_t running = 1;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.step(at(0), statement_request(id, "busy", 100000));
  }
  for (int i = 1; i <= 50; ++i) {
    running = only_grant(queue.step(at(i * 10), slot_released{running}));
  }
  for (std::uint64_t id = 201; id <= 250; ++id) {
    queue.step(at(500), statement_request(id, "back", 100000));
  }
  int busy = 0;
  for (int i = 51; i <= 70; ++i) {
    running = only_grant(queue.step(at(i * 10), slot_released{running}));
    if (running <= 100) ++busy;
  }
  return busy;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_credit_of_an_idle_team_is_bounded) {
  int grants_without_credit = grants_beside_returning_team(duration(0));
  BOOST_TEST(grants_without_credit >= 9);
  BOOST_TEST(grants_without_credit <= 11);
  // The credit covers five statements, so the returning team may get at most
  // five more.
  int grants_with_credit = grants_beside_returning_team(milliseconds(50));
  BOOST_TEST(grants_with_credit >= grants_without_credit - 4);
  BOOST_TEST(grants_with_credit < grants_without_credit);
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_limited_per_team_and_in_total) {
  auto s = with_slots(1);
  s.team_limit = 3;
  s.total_limit = 5;
  fair_queue queue(s);
  queue.step(at(0), statement_request(1, "a"));
  for (std::uint64_t id = 2; id <= 4; ++id) {
    BOOST_TEST(refused(queue.step(at(0), statement_request(id, "a"))).empty());
  }
  auto refusals = refused(queue.step(at(0), statement_request(5, "a")));
  BOOST_REQUIRE(refusals.size() == 1);
  BOOST_CHECK(refusals[0].cause == reason_code::queue_full);
  BOOST_CHECK(refusals[0].retry_after >= milliseconds(30));
  queue.step(at(0), statement_request(6, "b"));
  queue.step(at(0), statement_request(7, "b"));
  BOOST_TEST(refused(queue.step(at(0), statement_request(8, "c"))).size() == 1);
}

BOOST_AUTO_TEST_CASE(
    a_request_that_cannot_meet_its_deadline_is_refused_immediately) {
  fair_queue queue(with_slots(1));
  for (std::uint64_t id = 1; id <= 10; ++id) {
    queue.step(at(0), statement_request(id, "a"));
  }
  auto refusals = refused(queue.step(at(0), statement_request(11, "a", 50)));
  BOOST_REQUIRE(refusals.size() == 1);
  BOOST_CHECK(refusals[0].cause == reason_code::deadline);
  BOOST_CHECK(refusals[0].retry_after >= milliseconds(50));
  // A statement of another team is served earlier.
  BOOST_TEST(
      refused(queue.step(at(0), statement_request(12, "b", 50))).empty());
}

// Guards against requests that wait until their deadline has passed, or get a
// slot when too little time is left to use it: the caller learns too late that
// it has to return.
BOOST_AUTO_TEST_CASE(a_waiting_request_is_refused_when_it_would_end_too_late) {
  fair_queue queue(with_slots(1));
  queue.step(at(0), statement_request(1, "a"));
  auto actions = queue.step(at(0), statement_request(2, "a", 30));
  bool wakes = false;
  for (const auto& a : actions) {
    const auto* w = std::get_if<queue_wake>(&a);
    wakes = wakes || (w != nullptr && w->at == at(20));
  }
  BOOST_TEST(wakes);
  BOOST_TEST(refused(queue.step(at(19), queue_timer())).empty());
  auto refusals = refused(queue.step(at(20), queue_timer()));
  BOOST_REQUIRE(refusals.size() == 1);
  BOOST_CHECK(refusals[0].cause == reason_code::deadline);
  BOOST_TEST(granted(queue.step(at(40), slot_released{1})).empty());
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_leaves_the_queue) {
  fair_queue queue(with_slots(1));
  queue.step(at(0), statement_request(1, "a"));
  queue.step(at(0), statement_request(2, "a"));
  auto dropped = refused(queue.step(at(1), slot_cancelled{2}));
  BOOST_REQUIRE(dropped.size() == 1);
  BOOST_CHECK(dropped[0].cause == reason_code::none);
  BOOST_TEST(queue.step(at(1), slot_cancelled{1}).empty());
  BOOST_TEST(granted(queue.step(at(2), slot_released{1})).empty());
  BOOST_TEST(queue.running() == 0);
}

BOOST_AUTO_TEST_CASE(
    a_withdrawn_team_loses_its_waiting_requests_and_transactions) {
  fair_queue queue(with_slots(2));
  queue.step(at(0), transaction_request(1, "a"));
  queue.step(at(0), statement_request(2, "b"));
  queue.step(at(0), statement_request(3, "a"));
  queue.step(at(0), transaction_request(4, "a"));
  auto actions = queue.step(at(1), team_withdrawn{team_id("a")});
  BOOST_TEST(refused(actions).size() == 2);
  BOOST_CHECK(refused(actions)[0].cause == reason_code::key_refused);
  BOOST_TEST(ended_transaction(actions) == 1);
  BOOST_TEST(queue.waiting() == 0);
}

BOOST_AUTO_TEST_CASE(a_draining_upstream_serves_only_requests_it_already_has) {
  fair_queue queue(with_slots(1));
  queue.step(at(0), statement_request(1, "a"));
  queue.step(at(0), statement_request(2, "a"));
  queue.step(at(1), upstream_leaving());
  auto refusals = refused(queue.step(at(2), statement_request(3, "a")));
  BOOST_REQUIRE(refusals.size() == 1);
  BOOST_CHECK(refusals[0].cause == reason_code::leaving);
  BOOST_TEST(only_grant(queue.step(at(3), slot_released{1})) == 2);
}

BOOST_AUTO_TEST_CASE(a_lost_upstream_refuses_all_waiting_requests) {
  fair_queue queue(with_slots(0));
  queue.step(at(0), statement_request(1, "a"));
  queue.step(at(0), transaction_request(2, "b"));
  auto actions = queue.step(
      at(1), upstream_lost{reason_code::no_upstream, milliseconds(250)});
  BOOST_TEST(refused(actions).size() == 2);
  BOOST_CHECK(refused(actions)[1].retry_after == milliseconds(250));
  queue.step(at(2), slots_changed{1});
  BOOST_TEST(only_grant(queue.step(at(3), statement_request(3, "a"))) == 3);
}

BOOST_AUTO_TEST_CASE(one_slot_is_reserved_for_single_statements) {
  fair_queue queue(with_slots(3));
  for (std::uint64_t id = 1; id <= 5; ++id)
    queue.step(at(0), transaction_request(id, "t"));
  BOOST_TEST(queue.running() == 2);
  BOOST_TEST(only_grant(queue.step(at(1), statement_request(9, "s"))) == 9);
  BOOST_TEST(granted(queue.step(at(2), slot_released{9})).empty());
  BOOST_TEST(only_grant(queue.step(at(3), slot_released{1})) == 3);
}

BOOST_AUTO_TEST_CASE(an_idle_transaction_is_rolled_back) {
  auto s = with_slots(2);
  s.transaction_idle = milliseconds(100);
  s.transaction_hold = milliseconds(1000);
  fair_queue queue(s);
  queue.step(at(0), transaction_request(1, "a"));
  queue.step(at(50), transaction_busy{1, false});
  queue.step(at(100), transaction_busy{1, true});
  BOOST_TEST(ended_transaction(queue.step(at(160), queue_timer())) == 0);
  queue.step(at(200), transaction_busy{1, false});
  BOOST_TEST(ended_transaction(queue.step(at(299), queue_timer())) == 0);
  BOOST_TEST(ended_transaction(queue.step(at(300), queue_timer())) == 1);
  BOOST_TEST(ended_transaction(queue.step(at(400), queue_timer())) == 0);
  BOOST_TEST(queue.running() == 1);
  queue.step(at(401), slot_released{1});
  BOOST_TEST(queue.running() == 0);
}

BOOST_AUTO_TEST_CASE(a_busy_transaction_is_rolled_back_after_the_hold_limit) {
  auto s = with_slots(1);
  s.transaction_hold = milliseconds(1000);
  fair_queue queue(s);
  queue.step(at(0), transaction_request(1, "a"));
  BOOST_TEST(ended_transaction(queue.step(at(999), queue_timer())) == 0);
  BOOST_TEST(ended_transaction(queue.step(at(1000), queue_timer())) == 1);
}

// Guards against lost, duplicate or surplus grants. Random events must never
// let more requests run than there are slots, and each request must be granted
// or refused exactly once.
BOOST_AUTO_TEST_CASE(
    every_request_is_granted_or_refused_once_under_random_events) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    auto pick = [&](std::size_t n) { return random() % n; };
    auto s = with_slots(3);
    s.team_limit = 10;
    s.total_limit = 25;
    s.transaction_idle = milliseconds(30);
    fair_queue queue(s);
    std::set<std::uint64_t> waiting, running, settled;
    std::uint64_t last = 0;
    int now = 0;
    std::uint32_t slots = 3;
    auto apply = [&](const fair_queue::event& e) {
      auto before = running.size();
      auto actions = queue.step(at(now), e);
      for (auto id : granted(actions)) {
        BOOST_REQUIRE(waiting.erase(id) == 1);
        running.insert(id);
      }
      for (const auto& r : refused(actions)) {
        BOOST_REQUIRE(waiting.erase(r.id) == 1);
      }
      BOOST_REQUIRE(queue.running() == running.size());
      BOOST_REQUIRE(queue.waiting() == waiting.size());
      BOOST_REQUIRE(running.size() <= std::max<std::size_t>(slots, before));
    };
    auto any_id = [&] { return last == 0 ? 1 : 1 + pick(last); };
    for (int i = 0; i < 500; ++i) {
      now += static_cast<int>(pick(8));
      auto team = std::string(1, static_cast<char>('a' + pick(5)));
      switch (pick(12)) {
        case 0:
          apply(slot_cancelled{any_id()});
          break;
        case 1:
          apply(transaction_busy{any_id(), pick(2) == 0});
          break;
        case 2:
          slots = static_cast<std::uint32_t>(pick(5));
          apply(slots_changed{slots});
          break;
        case 3:
          if (pick(5) == 0) apply(team_withdrawn{team_id(team)});
          break;
        case 4:
          if (pick(9) == 0) apply(upstream_lost{});
          break;
        case 5:
          apply(queue_timer());
          break;
        case 6:
        case 7:
        case 8: {
          auto id = any_id();
          running.erase(id);
          apply(slot_released{id});
          break;
        }
        default: {
          auto e = pick(4) == 0 ? transaction_request(++last, team)
                                : statement_request(++last, team);
          e.time_left = milliseconds(pick(200));
          waiting.insert(e.id);
          apply(e);
        }
      }
    }
    BOOST_TEST_CONTEXT("seed " << seed) {
      now += 100000;
      apply(queue_timer());
      BOOST_REQUIRE(queue.waiting() == 0);
    }
  }
}
