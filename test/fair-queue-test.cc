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

slot_wanted wanted(std::uint64_t id, std::string_view team,
                   int time_left_ms = 10000, double weight = 1) {
  return {id, team_id(team), weight, false, milliseconds(time_left_ms)};
}

slot_wanted begin(std::uint64_t id, std::string_view team,
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

BOOST_AUTO_TEST_CASE(free_slots_are_granted_at_once) {
  fair_queue queue(with_slots(2));
  BOOST_TEST(only_grant(queue.step(at(0), wanted(1, "a"))) == 1);
  BOOST_TEST(only_grant(queue.step(at(0), wanted(2, "a"))) == 2);
  BOOST_TEST(granted(queue.step(at(0), wanted(3, "a"))).empty());
  BOOST_TEST(only_grant(queue.step(at(1), slot_released{1})) == 3);
}

BOOST_AUTO_TEST_CASE(a_small_team_does_not_wait_behind_a_large_one) {
  fair_queue queue(with_slots(1));
  for (std::uint64_t id = 1; id <= 50; ++id) {
    queue.step(at(0), wanted(id, "large"));
  }
  queue.step(at(5), wanted(99, "small"));
  BOOST_TEST(only_grant(queue.step(at(10), slot_released{1})) == 99);
}

BOOST_AUTO_TEST_CASE(weights_share_the_slots) {
  fair_queue queue(with_slots(1));
  std::map<std::uint64_t, std::string> teams;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    auto team = id % 2 == 0 ? "three" : "one";
    teams[id] = team;
    queue.step(at(0), wanted(id, team, 100000, id % 2 == 0 ? 3 : 1));
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

BOOST_AUTO_TEST_CASE(a_team_pays_for_the_time_it_holds_slots) {
  fair_queue queue(with_slots(1));
  std::map<std::uint64_t, std::string> teams;
  for (std::uint64_t id = 1; id <= 400; ++id) {
    auto team = id % 2 == 0 ? "long" : "short";
    teams[id] = team;
    queue.step(at(0), wanted(id, team, 1000000));
  }
  std::map<std::string, int> held_ms;
  std::uint64_t running = 1;
  int now = 0;
  for (int i = 0; i < 200; ++i) {
    int service = teams[running] == "long" ? 40 : 10;
    held_ms[teams[running]] += service;
    now += service;
    running = only_grant(queue.step(at(now), slot_released{running}));
  }
  BOOST_TEST(held_ms["long"] <= held_ms["short"] * 1.1);
  BOOST_TEST(held_ms["short"] <= held_ms["long"] * 1.1);
}

namespace {

// How many of 20 statements a team that never paused gets beside one that
// comes back.
int served_beside_a_return(duration credit) {
  auto s = with_slots(1);
  s.pause_credit = credit;
  fair_queue queue(s);
  std::uint64_t running = 1;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.step(at(0), wanted(id, "busy", 100000));
  }
  for (int i = 1; i <= 50; ++i) {
    running = only_grant(queue.step(at(i * 10), slot_released{running}));
  }
  for (std::uint64_t id = 201; id <= 250; ++id) {
    queue.step(at(500), wanted(id, "back", 100000));
  }
  int busy = 0;
  for (int i = 51; i <= 70; ++i) {
    running = only_grant(queue.step(at(i * 10), slot_released{running}));
    if (running <= 100) ++busy;
  }
  return busy;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_claim_of_a_pause_is_bounded) {
  int even = served_beside_a_return(duration(0));
  BOOST_TEST(even >= 9);
  BOOST_TEST(even <= 11);
  // A credit of five statements is all that it may be ahead.
  int behind = served_beside_a_return(milliseconds(50));
  BOOST_TEST(behind >= even - 4);
  BOOST_TEST(behind < even);
}

BOOST_AUTO_TEST_CASE(queues_are_bounded_by_team_and_in_all) {
  auto s = with_slots(1);
  s.team_limit = 3;
  s.total_limit = 5;
  fair_queue queue(s);
  queue.step(at(0), wanted(1, "a"));
  for (std::uint64_t id = 2; id <= 4; ++id) {
    BOOST_TEST(refused(queue.step(at(0), wanted(id, "a"))).empty());
  }
  auto over = refused(queue.step(at(0), wanted(5, "a")));
  BOOST_REQUIRE(over.size() == 1);
  BOOST_CHECK(over[0].why == reason_code::queue_full);
  BOOST_CHECK(over[0].retry_after >= milliseconds(30));
  queue.step(at(0), wanted(6, "b"));
  queue.step(at(0), wanted(7, "b"));
  BOOST_TEST(refused(queue.step(at(0), wanted(8, "c"))).size() == 1);
}

BOOST_AUTO_TEST_CASE(what_cannot_meet_its_deadline_is_refused_at_once) {
  fair_queue queue(with_slots(1));
  for (std::uint64_t id = 1; id <= 10; ++id) {
    queue.step(at(0), wanted(id, "a"));
  }
  auto late = refused(queue.step(at(0), wanted(11, "a", 50)));
  BOOST_REQUIRE(late.size() == 1);
  BOOST_CHECK(late[0].why == reason_code::deadline);
  BOOST_CHECK(late[0].retry_after >= milliseconds(50));
  // Another team's share comes sooner.
  BOOST_TEST(refused(queue.step(at(0), wanted(12, "b", 50))).empty());
}

BOOST_AUTO_TEST_CASE(a_deadline_in_the_queue_is_told_in_time) {
  fair_queue queue(with_slots(1));
  queue.step(at(0), wanted(1, "a"));
  auto actions = queue.step(at(0), wanted(2, "a", 30));
  bool wakes = false;
  for (const auto& a : actions) {
    const auto* w = std::get_if<queue_wake>(&a);
    wakes = wakes || (w != nullptr && w->at == at(30));
  }
  BOOST_TEST(wakes);
  BOOST_TEST(refused(queue.step(at(29), queue_timer())).empty());
  auto late = refused(queue.step(at(30), queue_timer()));
  BOOST_REQUIRE(late.size() == 1);
  BOOST_CHECK(late[0].why == reason_code::deadline);
  BOOST_TEST(granted(queue.step(at(40), slot_released{1})).empty());
}

BOOST_AUTO_TEST_CASE(a_cancelled_one_leaves_the_queue) {
  fair_queue queue(with_slots(1));
  queue.step(at(0), wanted(1, "a"));
  queue.step(at(0), wanted(2, "a"));
  auto dropped = refused(queue.step(at(1), slot_cancelled{2}));
  BOOST_REQUIRE(dropped.size() == 1);
  BOOST_CHECK(dropped[0].why == reason_code::none);
  BOOST_TEST(queue.step(at(1), slot_cancelled{1}).empty());
  BOOST_TEST(granted(queue.step(at(2), slot_released{1})).empty());
  BOOST_TEST(queue.running() == 0);
}

BOOST_AUTO_TEST_CASE(a_withdrawn_team_loses_what_waits) {
  fair_queue queue(with_slots(2));
  queue.step(at(0), begin(1, "a"));
  queue.step(at(0), wanted(2, "b"));
  queue.step(at(0), wanted(3, "a"));
  queue.step(at(0), begin(4, "a"));
  auto actions = queue.step(at(1), team_withdrawn{team_id("a")});
  BOOST_TEST(refused(actions).size() == 2);
  BOOST_CHECK(refused(actions)[0].why == reason_code::key_refused);
  BOOST_TEST(ended_transaction(actions) == 1);
  BOOST_TEST(queue.waiting() == 0);
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_finishes_what_it_has) {
  fair_queue queue(with_slots(1));
  queue.step(at(0), wanted(1, "a"));
  queue.step(at(0), wanted(2, "a"));
  queue.step(at(1), upstream_leaving());
  auto late = refused(queue.step(at(2), wanted(3, "a")));
  BOOST_REQUIRE(late.size() == 1);
  BOOST_CHECK(late[0].why == reason_code::leaving);
  BOOST_TEST(only_grant(queue.step(at(3), slot_released{1})) == 2);
}

BOOST_AUTO_TEST_CASE(a_lost_upstream_refuses_all_that_waits) {
  fair_queue queue(with_slots(0));
  queue.step(at(0), wanted(1, "a"));
  queue.step(at(0), begin(2, "b"));
  auto actions = queue.step(
      at(1), upstream_lost{reason_code::no_upstream, milliseconds(250)});
  BOOST_TEST(refused(actions).size() == 2);
  BOOST_CHECK(refused(actions)[1].retry_after == milliseconds(250));
  queue.step(at(2), slots_changed{1});
  BOOST_TEST(only_grant(queue.step(at(3), wanted(3, "a"))) == 3);
}

BOOST_AUTO_TEST_CASE(transactions_leave_a_slot_to_single_statements) {
  fair_queue queue(with_slots(3));
  for (std::uint64_t id = 1; id <= 5; ++id) queue.step(at(0), begin(id, "t"));
  BOOST_TEST(queue.running() == 2);
  BOOST_TEST(only_grant(queue.step(at(1), wanted(9, "s"))) == 9);
  BOOST_TEST(granted(queue.step(at(2), slot_released{9})).empty());
  BOOST_TEST(only_grant(queue.step(at(3), slot_released{1})) == 3);
}

BOOST_AUTO_TEST_CASE(an_idle_transaction_ends) {
  auto s = with_slots(2);
  s.transaction_idle = milliseconds(100);
  s.transaction_hold = milliseconds(1000);
  fair_queue queue(s);
  queue.step(at(0), begin(1, "a"));
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

BOOST_AUTO_TEST_CASE(a_busy_transaction_is_bounded_too) {
  auto s = with_slots(1);
  s.transaction_hold = milliseconds(1000);
  fair_queue queue(s);
  queue.step(at(0), begin(1, "a"));
  BOOST_TEST(ended_transaction(queue.step(at(999), queue_timer())) == 0);
  BOOST_TEST(ended_transaction(queue.step(at(1000), queue_timer())) == 1);
}

// Whatever happens, no more run than there are slots, and each that was
// wanted is granted or refused once.
BOOST_AUTO_TEST_CASE(the_books_balance_in_any_order_of_events) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    auto pick = [&](std::size_t n) { return random() % n; };
    auto s = with_slots(3);
    s.team_limit = 10;
    s.total_limit = 25;
    s.transaction_idle = milliseconds(30);
    fair_queue queue(s);
    std::set<std::uint64_t> asked, running, settled;
    std::uint64_t last = 0;
    int now = 0;
    std::uint32_t slots = 3;
    auto take = [&](const fair_queue::event& e) {
      auto before = running.size();
      auto actions = queue.step(at(now), e);
      for (auto id : granted(actions)) {
        BOOST_REQUIRE(asked.erase(id) == 1);
        running.insert(id);
      }
      for (const auto& r : refused(actions)) {
        BOOST_REQUIRE(asked.erase(r.id) == 1);
      }
      BOOST_REQUIRE(queue.running() == running.size());
      BOOST_REQUIRE(queue.waiting() == asked.size());
      BOOST_REQUIRE(running.size() <= std::max<std::size_t>(slots, before));
    };
    auto any_id = [&] { return last == 0 ? 1 : 1 + pick(last); };
    for (int i = 0; i < 500; ++i) {
      now += static_cast<int>(pick(8));
      auto team = std::string(1, static_cast<char>('a' + pick(5)));
      switch (pick(12)) {
        case 0:
          take(slot_cancelled{any_id()});
          break;
        case 1:
          take(transaction_busy{any_id(), pick(2) == 0});
          break;
        case 2:
          slots = static_cast<std::uint32_t>(pick(5));
          take(slots_changed{slots});
          break;
        case 3:
          if (pick(5) == 0) take(team_withdrawn{team_id(team)});
          break;
        case 4:
          if (pick(9) == 0) take(upstream_lost{});
          break;
        case 5:
          take(queue_timer());
          break;
        case 6:
        case 7:
        case 8: {
          auto id = any_id();
          running.erase(id);
          take(slot_released{id});
          break;
        }
        default: {
          auto e = pick(4) == 0 ? begin(++last, team) : wanted(++last, team);
          e.time_left = milliseconds(pick(200));
          asked.insert(e.id);
          take(e);
        }
      }
    }
    BOOST_TEST_CONTEXT("seed " << seed) {
      now += 100000;
      take(queue_timer());
      BOOST_REQUIRE(queue.waiting() == 0);
    }
  }
}
