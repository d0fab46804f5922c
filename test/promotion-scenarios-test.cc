#define BOOST_TEST_MODULE promotion_scenarios
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>

#include "promotion-fleet.h"

// Checks the outcome of single faults and of pairs of faults. With
// TOUCANMUX_RECORD=DIRECTORY each scenario also writes the events and actions
// of its promoters to a trace file.

using namespace toucanmux;
using fake::fleet;
using fake::fleet_settings;
using std::chrono::milliseconds;

namespace {

fleet_settings quick_settings() {
  fleet_settings out;
  out.tick = milliseconds(50);
  out.decision.detector.silent_after = milliseconds(600);
  return out;
}

// A fleet that has run for 600 ms, with its trace file if recording is on.
class scenario {
 public:
  scenario(const std::string& title, const std::string& expectation,
           const fleet_settings& values = quick_settings())
      : trace_file_(open(title, expectation)),
        fleet_(values, trace_file_ ? trace_file_.get() : nullptr) {
    fleet_.run(milliseconds(600));
  }

  fleet* operator->() { return &fleet_; }
  fleet& operator*() { return fleet_; }

  void expect_term(std::uint64_t term) {
    BOOST_TEST(fleet_.stored_group().term == term);
  }
  void expect_primary(const std::string& id) {
    BOOST_TEST(fleet_.stored_group().primary.value == id);
  }
  // No acknowledged write is lost, writes continue and every replica follows.
  void expect_sound() {
    auto violation = fleet_.check_end();
    BOOST_TEST(violation.empty(), violation);
  }
  // No violation so far, and writes continue. Some databases may be down.
  void expect_writes() {
    BOOST_TEST(fleet_.violation().empty(), fleet_.violation());
    BOOST_CHECK(fleet_.now() - fleet_.last_client_ack() < milliseconds(200));
  }

 private:
  static std::unique_ptr<std::ofstream> open(const std::string& title,
                                             const std::string& expectation) {
    const char* directory = std::getenv("TOUCANMUX_RECORD");
    if (!directory) return nullptr;
    auto out = std::make_unique<std::ofstream>(
        std::string(directory) + "/promotion-" + title + ".trace");
    *out << "# " << expectation << "\n";
    return out;
  }

  std::unique_ptr<std::ofstream> trace_file_;
  fleet fleet_;
};

// Calls `callback` with the first pool that takes an action of this type.
template <class Action>
void once_on(fleet& f, const std::function<void(std::size_t)>& callback) {
  f.on_action([callback, done = false](std::size_t pool,
                                       const promoter::action& action) mutable {
    if (done || !std::holds_alternative<Action>(action)) return;
    done = true;
    callback(pool);
  });
}

template <class Action>
void promoter_dies_after(const std::string& title) {
  scenario s(title,
             "The promoter dies during its round and another one "
             "finishes the round.");
  once_on<Action>(*s, [&](std::size_t pool) { s->kill_pool(pool); });
  s->kill(0);
  s->run(milliseconds(2500));
  BOOST_TEST(s->stored_group().term >= 2);
  BOOST_TEST(s->stored_group().primary.value != "db0");
  s->heal();
  s->run(milliseconds(2500));
  s.expect_sound();
}

}  // namespace

BOOST_AUTO_TEST_CASE(primary_killed) {
  scenario s("primary-killed",
             "A killed primary is replaced at once. It restarts and "
             "follows the new one.");
  s->kill(0);
  s->run(milliseconds(700));
  s.expect_term(2);
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(700));
  s.expect_term(2);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_frozen_and_resumed) {
  scenario s("primary-frozen-and-back",
             "A frozen primary is replaced. It resumes and follows the "
             "new one.");
  s->freeze(0, milliseconds(1500));
  s->run(milliseconds(1200));
  s.expect_term(2);
  s.expect_writes();
  s->run(milliseconds(1500));
  s.expect_term(2);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(short_freeze_causes_no_promotion) {
  scenario s("primary-frozen-shortly",
             "A primary that is frozen for less than the timeout is "
             "kept.");
  s->freeze(0, milliseconds(450));
  s->run(milliseconds(1500));
  s.expect_term(1);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_domain_cut) {
  scenario s("primary-domain-cut",
             "A primary that is cut off is replaced. It discards its "
             "unacknowledged writes when it follows the new one.");
  s->set_isolated(0, true);
  s->run(milliseconds(1200));
  s.expect_term(2);
  s.expect_writes();
  BOOST_TEST(!s->databases()[0].in_recovery);
  s->set_isolated(0, false);
  s->run(milliseconds(1500));
  BOOST_TEST(s->databases()[0].in_recovery);
  s.expect_term(2);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(replica_domain_cut) {
  scenario s("replica-domain-cut",
             "A replica that is cut off causes no promotion.");
  s->set_isolated(2, true);
  s->run(milliseconds(1500));
  s.expect_term(1);
  s.expect_writes();
  s->set_isolated(2, false);
  s->run(milliseconds(700));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(replicas_lagging) {
  scenario s("replicas-lagging", "Lagging replicas cause no promotion.");
  s->set_lag(1, milliseconds(450));
  s->set_lag(2, milliseconds(450));
  s->run(milliseconds(2500));
  s.expect_term(1);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(every_pool_pauses) {
  scenario s("pools-paused", "Pools that were paused promote no replica.");
  for (std::size_t i = 0; i < 3; ++i) {
    s->pause_pool(i, milliseconds(1000 + 300 * i));
  }
  s->run(milliseconds(3000));
  s.expect_term(1);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_owner_dies) {
  scenario s("primary-owner-dies",
             "A healthy primary whose owner dies is kept. The owners of "
             "its replicas send heartbeats, so its log keeps growing.");
  s->kill_pool(0);
  s->run(milliseconds(2500));
  s.expect_term(1);
  s->start_pool(0);
  s->run(milliseconds(700));
  s.expect_term(1);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(promoter_dies_after_read) {
  promoter_dies_after<read_object>("promoter-dies-after-read");
}
BOOST_AUTO_TEST_CASE(promoter_dies_after_fence_request) {
  promoter_dies_after<send_fence_request>("promoter-dies-after-fence-request");
}
BOOST_AUTO_TEST_CASE(promoter_dies_after_fence) {
  promoter_dies_after<fence_database>("promoter-dies-after-fence");
}
BOOST_AUTO_TEST_CASE(promoter_dies_after_write) {
  promoter_dies_after<write_object>("promoter-dies-after-write");
}
BOOST_AUTO_TEST_CASE(owner_dies_after_promote) {
  promoter_dies_after<promote_database>("owner-dies-after-promote");
}
BOOST_AUTO_TEST_CASE(owner_dies_after_follow) {
  promoter_dies_after<follow_database>("owner-dies-after-follow");
}

BOOST_AUTO_TEST_CASE(promoter_pauses_after_write) {
  scenario s("promoter-pauses-after-write",
             "A promoter is paused after its write to the platform and "
             "does no harm when it resumes.");
  once_on<write_object>(
      *s, [&](std::size_t pool) { s->pause_pool(pool, milliseconds(2000)); });
  s->kill(0);
  s->run(milliseconds(4000));
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(1500));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(platform_down) {
  scenario s("platform-down",
             "While the platform is down, no database is fenced or "
             "promoted. The promotion completes when the platform is "
             "back.");
  bool fenced = false;
  s->on_action([&](std::size_t, const promoter::action& action) {
    fenced |= std::holds_alternative<fence_database>(action);
  });
  s->set_platform_down(true);
  s->kill(0);
  s->run(milliseconds(1500));
  s.expect_term(1);
  BOOST_TEST(!fenced);
  auto reported =
      std::any_of(s->pools().begin(), s->pools().end(), [](const auto& pool) {
        return pool.decision->view().state == write_state::no_platform;
      });
  BOOST_TEST(reported);
  s->set_platform_down(false);
  s->run(milliseconds(2000));
  s.expect_term(2);
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(700));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(platform_slow) {
  scenario s("platform-slow", "A slow platform only delays the promotion.");
  s->slow_platform(milliseconds(800));
  s->kill(0);
  s->run(milliseconds(3500));
  BOOST_TEST(s->stored_group().term >= 2);
  s->slow_platform(milliseconds(0));
  s->restart(0);
  s->run(milliseconds(1500));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(platform_answer_lost) {
  scenario s("platform-answer-lost",
             "A write whose answer is lost is read back and stays in "
             "force.");
  s->lose_platform_answers(1);
  s->kill(0);
  s->run(milliseconds(1500));
  s.expect_term(2);
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(700));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(two_promoters) {
  auto values = quick_settings();
  values.decision.rank_delay = duration(0);
  values.decision.veto_wait = duration(0);
  values.platform_delay = milliseconds(150);
  scenario s("two-promoters",
             "Two promoters write at once and the platform accepts only "
             "one of them.",
             values);
  int writes = 0;
  s->on_action([&](std::size_t, const promoter::action& action) {
    writes += std::holds_alternative<write_object>(action) ? 1 : 0;
  });
  s->kill(0);
  s->run(milliseconds(2000));
  BOOST_TEST(writes >= 2);
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(1500));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(operator_edit_during_round) {
  scenario s("operator-edit",
             "An operator edits the object during the round. The "
             "promoter reads it again and keeps the edit.");
  once_on<write_object>(*s, [&](std::size_t) {
    s->edit_group([](auto& group) { group.databases[1].slots = 9; });
  });
  s->kill(0);
  s->run(milliseconds(1200));
  s.expect_term(2);
  BOOST_TEST(s->stored_group().databases[1].slots == 9);
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(700));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(chosen_dies) {
  scenario s("chosen-dies",
             "The chosen database dies before its promotion. The next "
             "round waits until all databases but one are fenced, and no "
             "write is lost.");
  once_on<write_object>(*s, [&](std::size_t) {
    auto group = s->stored_group();
    s->kill(1);
  });
  s->kill(0);
  s->run(milliseconds(1500));
  s->restart(1);
  s->run(milliseconds(2500));
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(1500));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(planned_hand_over) {
  scenario s("hand-over",
             "A planned hand-over promotes the operator's target.");
  s->inject(0, hand_over{database_id("db2")});
  s->run(milliseconds(1000));
  s.expect_term(2);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(leaving_primary) {
  scenario s("primary-leaves",
             "A leaving primary is handed over without an operator.");
  s->edit_group([](auto& group) { group.databases[0].leaving = true; });
  s->run(milliseconds(1000));
  s.expect_term(2);
  BOOST_TEST(s->stored_group().primary.value != "db0");
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(edit_by_hand_promotes_no_unfenced_database) {
  scenario s("edit-by-hand",
             "A primary that was recorded by hand is not fenced, so it "
             "is not promoted. A new round chooses one.");
  s->edit_group([](auto& group) {
    group.term = 5;
    group.primary = database_id("db2");
  });
  s->run(milliseconds(5000));
  BOOST_TEST(s->stored_group().term >= 6);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_killed_and_answer_lost_and_edit) {
  scenario s("pair-answer-lost-and-edit",
             "The answer to the write is lost and an operator edits the "
             "object meanwhile.");
  s->lose_platform_answers(1);
  once_on<write_object>(*s, [&](std::size_t) {
    s->edit_group([](auto& group) { group.databases[1].slots = 9; });
  });
  s->kill(0);
  s->run(milliseconds(2500));
  s.expect_writes();
  s->heal();
  s->run(milliseconds(1000));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_and_its_owner_killed) {
  scenario s("pair-primary-and-owner",
             "The primary and its owner die together.");
  s->kill(0);
  s->kill_pool(0);
  s->run(milliseconds(1200));
  s.expect_term(2);
  s.expect_writes();
  s->heal();
  s->run(milliseconds(1000));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_cut_and_promoter_dies) {
  auto values = quick_settings();
  values.pools_per_domain = 2;
  scenario s("pair-cut-and-promoter-dies",
             "The primary is cut off and the promoter dies after its "
             "write. The next owner of its database joins the promotion.",
             values);
  once_on<write_object>(*s, [&](std::size_t pool) { s->kill_pool(pool); });
  s->set_isolated(0, true);
  s->run(milliseconds(4500));
  BOOST_TEST(s->stored_group().term >= 2);
  s->heal();
  s->run(milliseconds(2500));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_killed_and_platform_lost_in_round) {
  scenario s("pair-platform-lost-in-round",
             "The platform goes down between fence and write. No replica "
             "is promoted until it is back.");
  once_on<fence_database>(*s, [&](std::size_t) { s->set_platform_down(true); });
  s->kill(0);
  s->run(milliseconds(1500));
  s.expect_term(1);
  s->set_platform_down(false);
  s->run(milliseconds(2500));
  BOOST_TEST(s->stored_group().term >= 2);
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(700));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_frozen_and_replica_lagging) {
  scenario s("pair-frozen-and-lag",
             "The primary is frozen while one replica lags. The other "
             "replica has the furthest log and is chosen.");
  s->set_lag(1, milliseconds(450));
  s->run(milliseconds(300));
  s->freeze(0, milliseconds(4000));
  s->run(milliseconds(1500));
  s.expect_term(2);
  s.expect_primary("db2");
  s->run(milliseconds(4000));
  s->heal();
  s->run(milliseconds(1000));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(late_follow_command_is_refused) {
  scenario s("late-follow",
             "A command to follow the primary of term 2 reaches a "
             "database that is fenced for term 3. The database refuses "
             "it, and the former primary gets no acknowledgement.");
  s->delay_follow(2, milliseconds(2500));
  s->kill(0);
  s->run(milliseconds(500));
  s.expect_primary("db1");
  s->restart(0);
  s->run(milliseconds(500));
  s->freeze(1, milliseconds(1200));
  s->pause_pool(1, milliseconds(4000));
  s->run(milliseconds(1100));
  s.expect_term(3);
  s->pause_pool(2, milliseconds(1200));
  s->run(milliseconds(1500));
  s.expect_writes();
  s->run(milliseconds(2500));
  s.expect_sound();
}
