#define BOOST_TEST_MODULE promotion_scenarios
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>

#include "promotion-fleet.h"

// Stated outcomes of single faults and pairs. TOUCANMUX_RECORD=DIRECTORY also
// writes what the promoters heard and decided as a trace each.

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

// A fleet that has run for a while, and its trace if one is wanted.
class scenario {
 public:
  scenario(const std::string& title, const std::string& expectation,
           const fleet_settings& values = quick_settings())
      : out_(open(title, expectation)),
        fleet_(values, out_ ? out_.get() : nullptr) {
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
  // All that was acknowledged is kept, and writes go on.
  void expect_sound() {
    auto violation = fleet_.check_end();
    BOOST_TEST(violation.empty(), violation);
  }
  // The same, without the databases that are still down.
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

  std::unique_ptr<std::ofstream> out_;
  fleet fleet_;
};

// Calls `what` once, when a pool takes an action of this kind.
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
  scenario s(title, "The promoter dies in the round: another finishes it.");
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
  scenario s(
      "primary-killed",
      "A killed primary is replaced at once; it comes back and follows.");
  s->kill(0);
  s->run(milliseconds(700));
  s.expect_term(2);
  s.expect_writes();
  s->restart(0);
  s->run(milliseconds(700));
  s.expect_term(2);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_frozen_and_back) {
  scenario s("primary-frozen-and-back",
             "A frozen primary is replaced; it thaws and follows.");
  s->freeze(0, milliseconds(1500));
  s->run(milliseconds(1200));
  s.expect_term(2);
  s.expect_writes();
  s->run(milliseconds(1500));
  s.expect_term(2);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(a_short_freeze_changes_nothing) {
  scenario s("primary-frozen-shortly",
             "A primary that stands still for less than the limit stays.");
  s->freeze(0, milliseconds(450));
  s->run(milliseconds(1500));
  s.expect_term(1);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_domain_cut) {
  scenario s("primary-domain-cut",
             "A primary that is cut off is replaced; its own writes without "
             "acknowledgement are given up when it follows.");
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
             "A replica that is cut off changes nothing.");
  s->set_isolated(2, true);
  s->run(milliseconds(1500));
  s.expect_term(1);
  s.expect_writes();
  s->set_isolated(2, false);
  s->run(milliseconds(700));
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(replicas_lagging) {
  scenario s("replicas-lagging", "Late replicas are no reason to promote.");
  s->set_lag(1, milliseconds(450));
  s->set_lag(2, milliseconds(450));
  s->run(milliseconds(2500));
  s.expect_term(1);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(every_pool_pauses) {
  scenario s("pools-paused", "Pools that stood still promote nobody.");
  for (std::size_t i = 0; i < 3; ++i) {
    s->pause_pool(i, milliseconds(1000 + 300 * i));
  }
  s->run(milliseconds(3000));
  s.expect_term(1);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(primary_owner_dies) {
  scenario s("primary-owner-dies",
             "A healthy primary whose owner dies stays; the owners of its "
             "replicas keep its log moving.");
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
             "A promoter stands still after its write; it does no harm when "
             "it goes on.");
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
             "Without the platform nobody is fenced or promoted; with it "
             "again, the change goes through.");
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
  scenario s("platform-slow", "A slow platform delays a change, no more.");
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
             "A write whose answer is lost is read back and stands.");
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
             "Two promoters at once: the platform takes one of them.", values);
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

BOOST_AUTO_TEST_CASE(operator_edit) {
  scenario s("operator-edit",
             "An operator changes the object under the promoter: it reads "
             "again and keeps the operator's change.");
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
             "The chosen database dies before it is promoted: the next round "
             "waits for all but one, and no write is lost.");
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
  scenario s("hand-over", "An operator's hand-over goes to the target.");
  s->inject(0, hand_over{database_id("db2")});
  s->run(milliseconds(1000));
  s.expect_term(2);
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(leaving_primary) {
  scenario s("primary-leaves", "A primary that leaves hands over by itself.");
  s->edit_group([](auto& group) { group.databases[0].leaving = true; });
  s->run(milliseconds(1000));
  s.expect_term(2);
  BOOST_TEST(s->stored_group().primary.value != "db0");
  s.expect_sound();
}

BOOST_AUTO_TEST_CASE(an_unsafe_edit_by_hand_promotes_nobody_unfenced) {
  scenario s("edit-by-hand",
             "A primary named by hand was not fenced and is not promoted; a "
             "round of its own follows.");
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
             "The answer is lost and an operator edits meanwhile.");
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
             "The primary's whole instance dies, its owner with it.");
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
             "The primary is cut off and the promoter dies after its write; "
             "the next owner of its database takes part.",
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
             "The platform goes down between fence and write: nobody is "
             "promoted until it is back.");
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
             "The primary stands still while one replica lags: the other is "
             "the furthest and is chosen.");
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

BOOST_AUTO_TEST_CASE(late_order_to_follow) {
  scenario s("late-follow",
             "An order to follow the primary of term 2 reaches a database "
             "that has been fenced for term 3: it is refused, and the old "
             "primary gets no receipt.");
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
