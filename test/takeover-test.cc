#define BOOST_TEST_MODULE takeover
#include "toucanmux/proxy/takeover.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

const group_id group("ledger");
const member_id self("edge-1");
const database_id old_leader("i-1");
const database_id second("i-2");
const database_id third("i-3");
constexpr instant start{10s};

takeover_start goal(bool planned, unsigned sync = 0) {
  takeover_start out;
  out.group = group;
  out.leader = old_leader;
  out.planned = planned;
  out.term = 4;
  out.sync_replicas = sync;
  out.candidates = {second, third};
  out.replica_count = 2;
  return out;
}

takeover_start suspicion() {
  auto out = goal(false);
  out.suspected = true;
  return out;
}

constexpr duty_written taken{duty_write_outcome::written, 91};

duty_read duty(std::uint64_t token, const member_id& holder) {
  duty_read out;
  out.store_reached = out.exists = true;
  out.token = token;
  out.holder = holder;
  out.replaces = old_leader;
  out.revision = 90;
  out.phase = leadership_phase::revoked;
  out.leader = old_leader;
  return out;
}

position_reply seen(const database_id& id, std::uint64_t number) {
  return {id, true, false, 4, {4, number}};
}

template <class Action>
const Action* find(const std::vector<takeover_action>& all) {
  for (const auto& one : all) {
    if (const auto* found = std::get_if<Action>(&one)) return found;
  }
  return nullptr;
}

takeover_outcome end_of(const std::vector<takeover_action>& all) {
  const auto* found = find<takeover_ended>(all);
  BOOST_REQUIRE(found);
  return found->outcome;
}

/// Revokes the leases and returns what follows.
std::vector<takeover_action> revoke(takeover& change,
                                    const takeover_start& what) {
  change.step(start, what);
  duty_read none;
  none.store_reached = true;
  change.step(start, none);
  return change.step(start, taken);
}

/// The same, and all instances have given their leases up.
std::vector<takeover_action> take_duty(takeover& change,
                                       const takeover_start& what) {
  auto out = revoke(change, what);
  return what.planned ? out : change.step(start, leases_released{});
}

/// The order that follows the record of the new leader.
const request_promotion* order_after(
    const std::vector<takeover_action>& actions, takeover& change, instant now,
    std::vector<takeover_action>& out) {
  const auto* record = find<write_duty>(actions);
  BOOST_REQUIRE(record);
  BOOST_TEST((record->phase == leadership_phase::named));
  BOOST_TEST(record->revision == 91U);
  auto leader = record->leader;
  out = change.step(now, duty_written{duty_write_outcome::written, 92});
  const auto* named = find<request_promotion>(out);
  BOOST_REQUIRE(named);
  BOOST_TEST(named->database.value == leader.value);
  return named;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_furthest_replica_is_named_with_a_token_of_its_own) {
  takeover change({}, self);
  BOOST_TEST(find<read_duty>(change.step(start, goal(false))));
  auto actions = change.step(start, duty(7, member_id("edge-9")));
  // Another instance took it for the same leader: it gets its time.
  BOOST_TEST((end_of(actions) == takeover_outcome::yielded));
  change.step(start + 3s, goal(false));
  actions = change.step(start + 3s, duty(7, member_id("edge-9")));
  const auto* write = find<write_duty>(actions);
  BOOST_REQUIRE(write);
  BOOST_TEST(write->token == 8U);
  BOOST_TEST(write->revision == 90U);
  BOOST_TEST((write->phase == leadership_phase::revoked));
  change.step(start + 3s, taken);
  actions = change.step(start + 3s, leases_released{});
  BOOST_TEST(find<query_position>(actions));
  change.step(start + 3s, seen(second, 120));
  actions = change.step(start + 3s, seen(third, 121));
  const auto* named = order_after(actions, change, start + 3s, actions);
  BOOST_TEST(named->database.value == third.value);
  BOOST_TEST(named->token == 8U);
  // The record says then that no order is open any more.
  actions =
      change.step(start + 4s, promotion_ended{promotion_outcome::accepted});
  write = find<write_duty>(actions);
  BOOST_REQUIRE(write);
  BOOST_TEST((write->phase == leadership_phase::settled));
  BOOST_TEST(write->pending_promotion.empty());
  actions =
      change.step(start + 3s, duty_written{duty_write_outcome::written, 93});
  BOOST_TEST((end_of(actions) == takeover_outcome::named));
  BOOST_TEST(!change.running());
}

// Some may not have heard of it and go on at the old leader.
BOOST_AUTO_TEST_CASE(nobody_is_named_before_the_leases_have_run_out) {
  takeover change({}, self);
  auto actions = revoke(change, goal(false));
  BOOST_TEST(actions.empty());
  auto almost = start + leader_lease::length;
  BOOST_TEST(change.step(almost, takeover_tick{}).empty());
  actions = change.step(start + leader_lease::expiry_wait, takeover_tick{});
  BOOST_TEST(find<query_position>(actions));
}

// What one began that ended in the middle of it counts for the next.
BOOST_AUTO_TEST_CASE(leases_that_were_revoked_before_are_not_waited_for_anew) {
  takeover change({}, self);
  auto again = goal(false);
  again.known_revision = 90;
  again.known_since = start - leader_lease::expiry_wait;
  change.step(start, again);
  change.step(start, duty(7, member_id("edge-9")));
  change.step(start, taken);
  BOOST_TEST(find<query_position>(change.step(start, takeover_tick{})));
  // A record of another revision proves nothing of the time between.
  takeover other({}, self);
  again.known_revision = 89;
  other.step(start, again);
  other.step(start, duty(7, self));
  other.step(start, taken);
  BOOST_TEST(other.step(start, takeover_tick{}).empty());
}

BOOST_AUTO_TEST_CASE(a_suspicion_is_withdrawn_or_confirmed) {
  takeover change({}, self);
  revoke(change, suspicion());
  auto actions = change.step(start + 1s, suspicion_withdrawn{});
  const auto* write = find<write_duty>(actions);
  BOOST_REQUIRE(write);
  BOOST_TEST((write->phase == leadership_phase::settled));
  BOOST_TEST(write->leader.value == old_leader.value);
  actions =
      change.step(start + 1s, duty_written{duty_write_outcome::written, 92});
  BOOST_TEST((end_of(actions) == takeover_outcome::given_back));
  // Given up by all, and not confirmed.
  revoke(change, suspicion());
  BOOST_TEST(change.step(start, leases_released{}).empty());
  BOOST_TEST(change.step(start + 3500ms, takeover_tick{}).empty());
  actions = change.step(start + 3500ms, failure_confirmed{});
  BOOST_TEST(find<query_position>(actions));
  // Positions have been asked for: it is too late to turn back.
  BOOST_TEST(change.step(start + 3500ms, suspicion_withdrawn{}).empty());
  // Nothing ever says more.
  takeover other({}, self);
  revoke(other, suspicion());
  actions = other.step(start + 5s, takeover_tick{});
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST((find<write_duty>(actions)->phase == leadership_phase::settled));
}

// The last leader answers as a replica; giving the lead back to it went on for
// as long as it lived (lead-under-cuts of the further deployment).
BOOST_AUTO_TEST_CASE(nothing_is_given_back_to_one_that_does_not_lead) {
  takeover change({}, self);
  auto none = goal(false);
  none.leaderless = true;
  revoke(change, none);
  BOOST_TEST(change.step(start + 200ms, suspicion_withdrawn{}).empty());
  BOOST_TEST(
      find<query_position>(change.step(start + 400ms, leases_released{})));
}

// One that was replaced before, and goes on, may be the furthest. The search
// found that it was served by until the order came.
BOOST_AUTO_TEST_CASE(who_goes_on_steps_down_before_it_is_named) {
  takeover change({}, self);
  take_duty(change, goal(false));
  change.step(start, seen(second, 120));
  auto actions =
      change.step(start, {position_reply{third, true, true, 4, {4, 130}}});
  BOOST_REQUIRE(find<step_down>(actions));
  BOOST_TEST(find<step_down>(actions)->database.value == third.value);
  BOOST_TEST(find<step_down>(actions)->term == 5U);
  BOOST_TEST(!find<write_duty>(actions));
  actions = change.step(start, seen(third, 130));
  const auto* named = order_after(actions, change, start, actions);
  BOOST_TEST(named->database.value == third.value);
}

// After a pause another instance may have gone on with a higher token.
BOOST_AUTO_TEST_CASE(an_order_is_given_soon_after_its_record_or_never) {
  takeover change({}, self);
  take_duty(change, goal(false));
  change.step(start, seen(second, 120));
  change.step(start, seen(third, 121));
  auto actions = change.step(start + 1500ms,
                             duty_written{duty_write_outcome::written, 92});
  BOOST_TEST(!find<request_promotion>(actions));
  BOOST_TEST((end_of(actions) == takeover_outcome::not_named));
}

// Where nobody checks tokens it may be carried out seconds later and undo what
// came after it.
BOOST_AUTO_TEST_CASE(an_order_without_an_answer_is_given_again) {
  takeover::settings unchecked;
  unchecked.tokens_checked = false;
  auto open = duty(7, member_id("edge-9"));
  open.phase = leadership_phase::named;
  open.pending_promotion = second;
  auto after = [&](const takeover::settings& values, duration age) {
    takeover change(values, self);
    auto again = goal(false);
    again.known_revision = 90;
    again.known_since = start - age;
    change.step(start, again);
    auto actions = change.step(start, open);
    BOOST_REQUIRE(find<write_duty>(actions));
    change.step(start, taken);
    change.step(start, leases_released{});
    change.step(start, seen(second, 120));
    actions = change.step(start, seen(third, 121));
    BOOST_REQUIRE(find<write_duty>(actions));
    auto chosen = find<write_duty>(actions)->leader;
    return chosen;
  };
  BOOST_TEST(after(unchecked, 3s).value == second.value);
  BOOST_TEST(after(unchecked, 10s).value == third.value);
  BOOST_TEST(after({}, 3s).value == third.value);
}

// The search found that a database whose order was still open was taken for
// one that had stepped down, and that two leaders were served by then.
BOOST_AUTO_TEST_CASE(who_may_still_be_given_the_lead_has_not_stepped_down) {
  takeover change({}, self);
  change.step(start, goal(true));
  auto open = duty(7, self);
  open.phase = leadership_phase::named;
  open.pending_promotion = old_leader;
  change.step(start, open);
  change.step(start, taken);
  BOOST_TEST(change.step(start, seen(old_leader, 130)).empty());
  auto later = start + leader_lease::expiry_wait;
  BOOST_TEST(find<query_position>(change.step(later, takeover_tick{})));
}

// It found as well that one who had not heard of a change replaced the leader
// before it: that one had stepped down, and the present one went on.
BOOST_AUTO_TEST_CASE(a_leader_that_was_replaced_already_is_left_alone) {
  takeover change({}, self);
  change.step(start, goal(true));
  auto other = duty(7, self);
  other.leader = second;
  other.phase = leadership_phase::settled;
  auto actions = change.step(start, other);
  BOOST_TEST((end_of(actions) == takeover_outcome::yielded));
  // With nobody in the lead it is the one to replace.
  auto none = goal(false);
  none.leaderless = true;
  change.step(start, none);
  actions = change.step(start, other);
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST(find<write_duty>(actions)->leader.value == second.value);
}

// Where tokens are not checked an earlier one may come after this one.
BOOST_AUTO_TEST_CASE(an_order_that_was_repeated_stays_open) {
  takeover::settings unchecked;
  unchecked.tokens_checked = false;
  takeover change(unchecked, self);
  auto open = duty(7, member_id("edge-9"));
  open.phase = leadership_phase::named;
  open.pending_promotion = second;
  auto again = goal(false);
  again.known_revision = 90;
  again.known_since = start - 3s;
  change.step(start, again);
  change.step(start, open);
  change.step(start, taken);
  change.step(start, leases_released{});
  change.step(start, seen(second, 120));
  change.step(start, seen(third, 121));
  change.step(start, duty_written{duty_write_outcome::written, 92});
  auto actions =
      change.step(start, promotion_ended{promotion_outcome::accepted});
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST((find<write_duty>(actions)->phase == leadership_phase::settled));
  BOOST_TEST(find<write_duty>(actions)->pending_promotion.value ==
             second.value);
}

BOOST_AUTO_TEST_CASE(a_refused_order_leaves_the_choice_open) {
  takeover::settings unchecked;
  unchecked.tokens_checked = false;
  takeover change(unchecked, self);
  take_duty(change, goal(false));
  change.step(start, seen(second, 120));
  auto actions = change.step(start, seen(third, 121));
  order_after(actions, change, start, actions);
  actions = change.step(start, promotion_ended{promotion_outcome::refused});
  BOOST_TEST((end_of(actions) == takeover_outcome::not_named));
  change.step(start, goal(false));
  auto open = duty(8, self);
  open.phase = leadership_phase::named;
  open.pending_promotion = third;
  open.revision = 92;
  actions = change.step(start, open);
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST(find<write_duty>(actions)->token == 9U);
  BOOST_TEST(find<write_duty>(actions)->pending_promotion.empty());
}

BOOST_AUTO_TEST_CASE(a_token_whose_write_has_no_answer_is_never_used) {
  takeover change({}, self);
  change.step(start, goal(false));
  change.step(start, duty(7, self));
  auto actions =
      change.step(start, duty_written{duty_write_outcome::unknown, 0});
  BOOST_TEST((end_of(actions) == takeover_outcome::no_duty));
  BOOST_TEST(!find<request_promotion>(actions));
}

BOOST_AUTO_TEST_CASE(a_lost_write_yields) {
  takeover change({}, self);
  change.step(start, goal(false));
  change.step(start, duty(7, self));
  auto actions =
      change.step(start, duty_written{duty_write_outcome::conflict, 0});
  BOOST_TEST((end_of(actions) == takeover_outcome::yielded));
}

BOOST_AUTO_TEST_CASE(without_the_store_nothing_is_named) {
  takeover change({}, self);
  change.step(start, goal(false));
  auto actions = change.step(start, duty_read{});
  BOOST_TEST((end_of(actions) == takeover_outcome::no_duty));
}

BOOST_AUTO_TEST_CASE(a_replica_that_does_not_answer_is_not_waited_for_long) {
  takeover change({}, self);
  take_duty(change, goal(false));
  change.step(start, seen(second, 120));
  BOOST_TEST(change.step(start + 200ms, takeover_tick{}).empty());
  auto actions = change.step(start + 400ms, takeover_tick{});
  const auto* named = order_after(actions, change, start + 400ms, actions);
  BOOST_TEST(named->database.value == second.value);
}

BOOST_AUTO_TEST_CASE(with_no_answer_at_all_nobody_is_named) {
  takeover change({}, self);
  take_duty(change, goal(false));
  auto actions = change.step(start + 400ms, takeover_tick{});
  BOOST_TEST(!find<request_promotion>(actions));
  // Some may still reach the old leader: it has not stepped down.
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST(find<write_duty>(actions)->leader.value == old_leader.value);
  BOOST_TEST((find<write_duty>(actions)->phase == leadership_phase::settled));
  actions = change.step(start, duty_written{duty_write_outcome::conflict, 0});
  BOOST_TEST((end_of(actions) == takeover_outcome::given_back));
}

// It has stepped down, so it can't lead on either.
BOOST_AUTO_TEST_CASE(a_planned_change_without_a_candidate_gives_nothing_back) {
  takeover change({}, self);
  take_duty(change, goal(true));
  change.step(start, seen(old_leader, 130));
  auto actions = change.step(start + 900ms, takeover_tick{});
  BOOST_TEST((end_of(actions) == takeover_outcome::no_candidate));
}

BOOST_AUTO_TEST_CASE(a_leader_that_does_not_step_down_is_told_again) {
  takeover change({}, self);
  take_duty(change, goal(true));
  position_reply newer{old_leader, true, true, 6, {6, 130}};
  auto actions = change.step(start, newer);
  BOOST_REQUIRE(find<step_down>(actions));
  BOOST_TEST(find<step_down>(actions)->term == 7U);
  BOOST_TEST(change.step(start + 2s, takeover_tick{}).empty());
  // Its silence is no proof either: the leases have to run out.
  actions = change.step(start + leader_lease::expiry_wait, takeover_tick{});
  BOOST_TEST(find<query_position>(actions));
}

BOOST_AUTO_TEST_CASE(a_planned_change_waits_until_a_replica_has_everything) {
  takeover change({}, self);
  auto actions = take_duty(change, goal(true));
  const auto* down = find<step_down>(actions);
  BOOST_REQUIRE(down);
  BOOST_TEST(down->term == 5U);
  actions = change.step(start, seen(old_leader, 130));
  BOOST_TEST(find<query_position>(actions));
  change.step(start, seen(second, 120));
  actions = change.step(start, seen(third, 129));
  BOOST_TEST(!find<request_promotion>(actions));
  actions = change.step(start + 100ms, takeover_tick{});
  BOOST_TEST(find<query_position>(actions));
  actions = change.step(start + 110ms, seen(third, 130));
  const auto* named = order_after(actions, change, start + 110ms, actions);
  BOOST_TEST(named->database.value == third.value);
}

// With one synchronous replica of two, only both answers together are sure to
// hold every acknowledged commit.
BOOST_AUTO_TEST_CASE(synchronous_replicas_are_fenced_and_must_answer) {
  takeover change({}, self);
  auto actions = take_duty(change, goal(false, 1));
  const auto* fence = find<fence_replica>(actions);
  BOOST_REQUIRE(fence);
  BOOST_TEST(fence->term == 5U);
  change.step(start, seen(second, 120));
  actions = change.step(start + 400ms, takeover_tick{});
  BOOST_TEST(!find<request_promotion>(actions));
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST((find<write_duty>(actions)->phase == leadership_phase::settled));
  change.step(start, duty_written{duty_write_outcome::written, 92});
  take_duty(change, goal(false, 1));
  change.step(start, seen(second, 120));
  actions = change.step(start, seen(third, 119));
  const auto* named = order_after(actions, change, start, actions);
  BOOST_TEST(named->database.value == second.value);
}

BOOST_AUTO_TEST_CASE(a_step_without_an_answer_ends_the_round) {
  takeover change({}, self);
  change.step(start, goal(false));
  auto actions = change.step(start + 3s, takeover_tick{});
  BOOST_TEST((end_of(actions) == takeover_outcome::no_duty));
  // What comes after the end is of no use.
  BOOST_TEST(change.step(start + 3s, duty(7, self)).empty());
}
