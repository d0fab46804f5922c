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

takeover_start start_event(bool planned, unsigned sync = 0) {
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
  auto out = start_event(false);
  out.suspected = true;
  return out;
}

constexpr duty_written revocation_written{duty_write_outcome::written, 91};

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

position_received position(const database_id& id, std::uint64_t log_end) {
  return {id, true, false, 4, {4, log_end}};
}

template <class Action>
const Action* find(const std::vector<takeover_action>& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

takeover_outcome outcome_of(const std::vector<takeover_action>& actions) {
  const auto* found = find<takeover_ended>(actions);
  BOOST_REQUIRE(found);
  return found->outcome;
}

/// Starts a takeover, revokes the leases and returns the actions that follow.
std::vector<takeover_action> revoke(takeover& replacement,
                                    const takeover_start& request) {
  replacement.step(start, request);
  duty_read missing_duty;
  missing_duty.store_reached = true;
  replacement.step(start, missing_duty);
  return replacement.step(start, revocation_written);
}

/// Like `revoke`; unless the takeover is planned, all instances release their
/// leases as well.
std::vector<takeover_action> revoke_and_release(takeover& replacement,
                                                const takeover_start& request) {
  auto out = revoke(replacement, request);
  return request.planned ? out : replacement.step(start, leases_released{});
}

/// Confirms the write of the new leader's record and returns the promotion
/// request that follows.
const request_promotion* promotion_after(
    const std::vector<takeover_action>& actions, takeover& replacement,
    instant now, std::vector<takeover_action>& out) {
  const auto* record = find<write_duty>(actions);
  BOOST_REQUIRE(record);
  BOOST_TEST((record->phase == leadership_phase::named));
  BOOST_TEST(record->revision == 91U);
  auto leader = record->leader;
  out = replacement.step(now, duty_written{duty_write_outcome::written, 92});
  const auto* named = find<request_promotion>(out);
  BOOST_REQUIRE(named);
  BOOST_TEST(named->database.value == leader.value);
  return named;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_most_advanced_replica_is_promoted_under_a_new_token) {
  takeover replacement({}, self);
  BOOST_TEST(find<read_duty>(replacement.step(start, start_event(false))));
  auto actions = replacement.step(start, duty(7, member_id("edge-9")));
  // Another instance is replacing the same leader.
  BOOST_TEST((outcome_of(actions) == takeover_outcome::yielded));
  replacement.step(start + 3s, start_event(false));
  actions = replacement.step(start + 3s, duty(7, member_id("edge-9")));
  const auto* write = find<write_duty>(actions);
  BOOST_REQUIRE(write);
  BOOST_TEST(write->token == 8U);
  BOOST_TEST(write->revision == 90U);
  BOOST_TEST((write->phase == leadership_phase::revoked));
  replacement.step(start + 3s, revocation_written);
  actions = replacement.step(start + 3s, leases_released{});
  BOOST_TEST(find<query_position>(actions));
  replacement.step(start + 3s, position(second, 120));
  actions = replacement.step(start + 3s, position(third, 121));
  const auto* named =
      promotion_after(actions, replacement, start + 3s, actions);
  BOOST_TEST(named->database.value == third.value);
  BOOST_TEST(named->token == 8U);
  // The last record says that no promotion is pending.
  actions = replacement.step(start + 4s,
                             promotion_ended{promotion_outcome::accepted});
  write = find<write_duty>(actions);
  BOOST_REQUIRE(write);
  BOOST_TEST((write->phase == leadership_phase::settled));
  BOOST_TEST(write->pending_promotion.empty());
  actions = replacement.step(start + 3s,
                             duty_written{duty_write_outcome::written, 93});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::named));
  BOOST_TEST(!replacement.running());
}

// Instances that have not learned of the revocation still use the old leader.
BOOST_AUTO_TEST_CASE(no_replica_is_queried_before_the_leases_have_expired) {
  takeover replacement({}, self);
  auto actions = revoke(replacement, start_event(false));
  BOOST_TEST(actions.empty());
  auto almost = start + leader_lease::length;
  BOOST_TEST(replacement.step(almost, takeover_tick{}).empty());
  actions =
      replacement.step(start + leader_lease::expiry_wait, takeover_tick{});
  BOOST_TEST(find<query_position>(actions));
}

// The revocation by an instance that crashed in its takeover counts for the
// next takeover.
BOOST_AUTO_TEST_CASE(an_earlier_revocation_is_not_waited_for_again) {
  takeover replacement({}, self);
  auto retry_request = start_event(false);
  retry_request.known_revision = 90;
  retry_request.known_since = start - leader_lease::expiry_wait;
  replacement.step(start, retry_request);
  replacement.step(start, duty(7, member_id("edge-9")));
  replacement.step(start, revocation_written);
  BOOST_TEST(find<query_position>(replacement.step(start, takeover_tick{})));
  // If the known record has another revision, the revocation may be younger
  // than that record.
  takeover other({}, self);
  retry_request.known_revision = 89;
  other.step(start, retry_request);
  other.step(start, duty(7, self));
  other.step(start, revocation_written);
  BOOST_TEST(other.step(start, takeover_tick{}).empty());
}

BOOST_AUTO_TEST_CASE(a_suspicion_is_withdrawn_or_confirmed) {
  takeover replacement({}, self);
  revoke(replacement, suspicion());
  auto actions = replacement.step(start + 1s, suspicion_withdrawn{});
  const auto* write = find<write_duty>(actions);
  BOOST_REQUIRE(write);
  BOOST_TEST((write->phase == leadership_phase::settled));
  BOOST_TEST(write->leader.value == old_leader.value);
  actions = replacement.step(start + 1s,
                             duty_written{duty_write_outcome::written, 92});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::given_back));
  // All leases are released, but the failure is not confirmed.
  revoke(replacement, suspicion());
  BOOST_TEST(replacement.step(start, leases_released{}).empty());
  BOOST_TEST(replacement.step(start + 3500ms, takeover_tick{}).empty());
  actions = replacement.step(start + 3500ms, failure_confirmed{});
  BOOST_TEST(find<query_position>(actions));
  // Once positions are queried the takeover is not undone.
  BOOST_TEST(replacement.step(start + 3500ms, suspicion_withdrawn{}).empty());
  // Neither confirmed nor withdrawn: the suspicion times out.
  takeover other({}, self);
  revoke(other, suspicion());
  actions = other.step(start + 5s, takeover_tick{});
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST((find<write_duty>(actions)->phase == leadership_phase::settled));
}

// In a leaderless group the last leader answers as a replica. Restoring it on
// each answer kept the group without a leader for as long as that database ran
// (found by the fault scenario lead-under-cuts).
BOOST_AUTO_TEST_CASE(a_last_leader_that_does_not_lead_is_not_restored) {
  takeover replacement({}, self);
  auto leaderless_request = start_event(false);
  leaderless_request.leaderless = true;
  revoke(replacement, leaderless_request);
  BOOST_TEST(replacement.step(start + 200ms, suspicion_withdrawn{}).empty());
  BOOST_TEST(
      find<query_position>(replacement.step(start + 400ms, leases_released{})));
}

// A former leader that still accepts writes may be the most advanced replica.
// If it is recorded as leader without a demotion, instances use it before its
// promotion (found by the lease search).
BOOST_AUTO_TEST_CASE(a_running_former_leader_steps_down_before_its_promotion) {
  takeover replacement({}, self);
  revoke_and_release(replacement, start_event(false));
  replacement.step(start, position(second, 120));
  auto actions = replacement.step(
      start, {position_received{third, true, true, 4, {4, 130}}});
  BOOST_REQUIRE(find<step_down>(actions));
  BOOST_TEST(find<step_down>(actions)->database.value == third.value);
  BOOST_TEST(find<step_down>(actions)->term == 5U);
  BOOST_TEST(!find<write_duty>(actions));
  actions = replacement.step(start, position(third, 130));
  const auto* named = promotion_after(actions, replacement, start, actions);
  BOOST_TEST(named->database.value == third.value);
}

// After a pause of this instance another one may hold a higher token.
BOOST_AUTO_TEST_CASE(
    a_promotion_is_requested_soon_after_its_record_or_not_at_all) {
  takeover replacement({}, self);
  revoke_and_release(replacement, start_event(false));
  replacement.step(start, position(second, 120));
  replacement.step(start, position(third, 121));
  auto actions = replacement.step(
      start + 1500ms, duty_written{duty_write_outcome::written, 92});
  BOOST_TEST(!find<request_promotion>(actions));
  BOOST_TEST((outcome_of(actions) == takeover_outcome::not_named));
}

// Without token checks a request that got no answer may take effect seconds
// later and undo a later promotion.
BOOST_AUTO_TEST_CASE(a_promotion_without_an_answer_is_repeated) {
  takeover::settings unchecked;
  unchecked.tokens_checked = false;
  auto duty_with_promotion = duty(7, member_id("edge-9"));
  duty_with_promotion.phase = leadership_phase::named;
  duty_with_promotion.pending_promotion = second;
  auto chosen_leader = [&](const takeover::settings& values, duration age) {
    takeover replacement(values, self);
    auto retry_request = start_event(false);
    retry_request.known_revision = 90;
    retry_request.known_since = start - age;
    replacement.step(start, retry_request);
    auto actions = replacement.step(start, duty_with_promotion);
    BOOST_REQUIRE(find<write_duty>(actions));
    replacement.step(start, revocation_written);
    replacement.step(start, leases_released{});
    replacement.step(start, position(second, 120));
    actions = replacement.step(start, position(third, 121));
    BOOST_REQUIRE(find<write_duty>(actions));
    auto chosen = find<write_duty>(actions)->leader;
    return chosen;
  };
  BOOST_TEST(chosen_leader(unchecked, 3s).value == second.value);
  BOOST_TEST(chosen_leader(unchecked, 10s).value == third.value);
  BOOST_TEST(chosen_leader({}, 3s).value == third.value);
}

// A leader that steps down while its own promotion is pending may lead again.
// When it counted as stepped down, two leaders were in use (found by the lease
// search).
BOOST_AUTO_TEST_CASE(
    a_leader_with_a_pending_promotion_does_not_count_as_stepped_down) {
  takeover replacement({}, self);
  replacement.step(start, start_event(true));
  auto duty_with_promotion = duty(7, self);
  duty_with_promotion.phase = leadership_phase::named;
  duty_with_promotion.pending_promotion = old_leader;
  replacement.step(start, duty_with_promotion);
  replacement.step(start, revocation_written);
  BOOST_TEST(replacement.step(start, position(old_leader, 130)).empty());
  auto later = start + leader_lease::expiry_wait;
  BOOST_TEST(find<query_position>(replacement.step(later, takeover_tick{})));
}

// An instance that has not learned of a takeover may try to replace the former
// leader. That one had stepped down, so no lease was waited for, while the
// present leader was still in use (found by the lease search).
BOOST_AUTO_TEST_CASE(a_leader_that_was_replaced_already_is_not_replaced_again) {
  takeover replacement({}, self);
  replacement.step(start, start_event(true));
  auto settled_duty = duty(7, self);
  settled_duty.leader = second;
  settled_duty.phase = leadership_phase::settled;
  auto actions = replacement.step(start, settled_duty);
  BOOST_TEST((outcome_of(actions) == takeover_outcome::yielded));
  // In a leaderless group the recorded leader is the one to replace.
  auto leaderless_request = start_event(false);
  leaderless_request.leaderless = true;
  replacement.step(start, leaderless_request);
  actions = replacement.step(start, settled_duty);
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST(find<write_duty>(actions)->leader.value == second.value);
}

// Without token checks an earlier request may take effect after the repeated
// one.
BOOST_AUTO_TEST_CASE(a_repeated_promotion_stays_pending) {
  takeover::settings unchecked;
  unchecked.tokens_checked = false;
  takeover replacement(unchecked, self);
  auto duty_with_promotion = duty(7, member_id("edge-9"));
  duty_with_promotion.phase = leadership_phase::named;
  duty_with_promotion.pending_promotion = second;
  auto retry_request = start_event(false);
  retry_request.known_revision = 90;
  retry_request.known_since = start - 3s;
  replacement.step(start, retry_request);
  replacement.step(start, duty_with_promotion);
  replacement.step(start, revocation_written);
  replacement.step(start, leases_released{});
  replacement.step(start, position(second, 120));
  replacement.step(start, position(third, 121));
  replacement.step(start, duty_written{duty_write_outcome::written, 92});
  auto actions =
      replacement.step(start, promotion_ended{promotion_outcome::accepted});
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST((find<write_duty>(actions)->phase == leadership_phase::settled));
  BOOST_TEST(find<write_duty>(actions)->pending_promotion.value ==
             second.value);
}

BOOST_AUTO_TEST_CASE(a_refused_promotion_is_not_pending) {
  takeover::settings unchecked;
  unchecked.tokens_checked = false;
  takeover replacement(unchecked, self);
  revoke_and_release(replacement, start_event(false));
  replacement.step(start, position(second, 120));
  auto actions = replacement.step(start, position(third, 121));
  promotion_after(actions, replacement, start, actions);
  actions =
      replacement.step(start, promotion_ended{promotion_outcome::refused});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::not_named));
  replacement.step(start, start_event(false));
  auto duty_with_promotion = duty(8, self);
  duty_with_promotion.phase = leadership_phase::named;
  duty_with_promotion.pending_promotion = third;
  duty_with_promotion.revision = 92;
  actions = replacement.step(start, duty_with_promotion);
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST(find<write_duty>(actions)->token == 9U);
  BOOST_TEST(find<write_duty>(actions)->pending_promotion.empty());
}

BOOST_AUTO_TEST_CASE(a_token_whose_write_has_no_answer_is_never_used) {
  takeover replacement({}, self);
  replacement.step(start, start_event(false));
  replacement.step(start, duty(7, self));
  auto actions =
      replacement.step(start, duty_written{duty_write_outcome::unknown, 0});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::no_duty));
  BOOST_TEST(!find<request_promotion>(actions));
}

BOOST_AUTO_TEST_CASE(a_write_conflict_yields) {
  takeover replacement({}, self);
  replacement.step(start, start_event(false));
  replacement.step(start, duty(7, self));
  auto actions =
      replacement.step(start, duty_written{duty_write_outcome::conflict, 0});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::yielded));
}

BOOST_AUTO_TEST_CASE(without_the_store_no_leader_is_promoted) {
  takeover replacement({}, self);
  replacement.step(start, start_event(false));
  auto actions = replacement.step(start, duty_read{});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::no_duty));
}

BOOST_AUTO_TEST_CASE(a_silent_replica_is_waited_for_until_the_query_times_out) {
  takeover replacement({}, self);
  revoke_and_release(replacement, start_event(false));
  replacement.step(start, position(second, 120));
  BOOST_TEST(replacement.step(start + 200ms, takeover_tick{}).empty());
  auto actions = replacement.step(start + 400ms, takeover_tick{});
  const auto* named =
      promotion_after(actions, replacement, start + 400ms, actions);
  BOOST_TEST(named->database.value == second.value);
}

BOOST_AUTO_TEST_CASE(without_any_position_the_old_leader_is_restored) {
  takeover replacement({}, self);
  revoke_and_release(replacement, start_event(false));
  auto actions = replacement.step(start + 400ms, takeover_tick{});
  BOOST_TEST(!find<request_promotion>(actions));
  // The old leader has not stepped down, so others may still reach it.
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST(find<write_duty>(actions)->leader.value == old_leader.value);
  BOOST_TEST((find<write_duty>(actions)->phase == leadership_phase::settled));
  actions =
      replacement.step(start, duty_written{duty_write_outcome::conflict, 0});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::given_back));
}

// The old leader has stepped down, so it can't be restored.
BOOST_AUTO_TEST_CASE(a_planned_takeover_without_a_candidate_restores_nothing) {
  takeover replacement({}, self);
  revoke_and_release(replacement, start_event(true));
  replacement.step(start, position(old_leader, 130));
  auto actions = replacement.step(start + 900ms, takeover_tick{});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::no_candidate));
}

BOOST_AUTO_TEST_CASE(a_leader_that_does_not_step_down_is_told_again) {
  takeover replacement({}, self);
  revoke_and_release(replacement, start_event(true));
  position_received newer{old_leader, true, true, 6, {6, 130}};
  auto actions = replacement.step(start, newer);
  BOOST_REQUIRE(find<step_down>(actions));
  BOOST_TEST(find<step_down>(actions)->term == 7U);
  BOOST_TEST(replacement.step(start + 2s, takeover_tick{}).empty());
  // Without an answer after that, the leases have to expire.
  actions =
      replacement.step(start + leader_lease::expiry_wait, takeover_tick{});
  BOOST_TEST(find<query_position>(actions));
}

BOOST_AUTO_TEST_CASE(
    a_planned_takeover_waits_until_a_replica_has_the_whole_log) {
  takeover replacement({}, self);
  auto actions = revoke_and_release(replacement, start_event(true));
  const auto* demotion = find<step_down>(actions);
  BOOST_REQUIRE(demotion);
  BOOST_TEST(demotion->term == 5U);
  actions = replacement.step(start, position(old_leader, 130));
  BOOST_TEST(find<query_position>(actions));
  replacement.step(start, position(second, 120));
  actions = replacement.step(start, position(third, 129));
  BOOST_TEST(!find<request_promotion>(actions));
  actions = replacement.step(start + 100ms, takeover_tick{});
  BOOST_TEST(find<query_position>(actions));
  actions = replacement.step(start + 110ms, position(third, 130));
  const auto* named =
      promotion_after(actions, replacement, start + 110ms, actions);
  BOOST_TEST(named->database.value == third.value);
}

// With one synchronous replica out of two, only both replicas together are
// certain to have each acknowledged commit.
BOOST_AUTO_TEST_CASE(synchronous_replicas_are_fenced_and_must_answer) {
  takeover replacement({}, self);
  auto actions = revoke_and_release(replacement, start_event(false, 1));
  const auto* fence = find<fence_replica>(actions);
  BOOST_REQUIRE(fence);
  BOOST_TEST(fence->term == 5U);
  replacement.step(start, position(second, 120));
  actions = replacement.step(start + 400ms, takeover_tick{});
  BOOST_TEST(!find<request_promotion>(actions));
  BOOST_REQUIRE(find<write_duty>(actions));
  BOOST_TEST((find<write_duty>(actions)->phase == leadership_phase::settled));
  replacement.step(start, duty_written{duty_write_outcome::written, 92});
  revoke_and_release(replacement, start_event(false, 1));
  replacement.step(start, position(second, 120));
  actions = replacement.step(start, position(third, 119));
  const auto* named = promotion_after(actions, replacement, start, actions);
  BOOST_TEST(named->database.value == second.value);
}

BOOST_AUTO_TEST_CASE(a_step_without_an_answer_ends_the_takeover) {
  takeover replacement({}, self);
  replacement.step(start, start_event(false));
  auto actions = replacement.step(start + 3s, takeover_tick{});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::no_duty));
  // A late answer is ignored.
  BOOST_TEST(replacement.step(start + 3s, duty(7, self)).empty());
}

// Guards against two promotions with one token: the store has lost the record
// of the first.
BOOST_AUTO_TEST_CASE(tokens_rise_over_a_restore_that_lost_the_last_one) {
  takeover replacement({}, self);
  auto request = start_event(false);
  request.generation = 1;
  replacement.step(start, request);
  duty_read absent;
  absent.store_reached = true;
  auto actions = replacement.step(start, absent);
  auto first_token = find<write_duty>(actions)->token;
  replacement.step(start, store_restored{});
  request.generation = 2;
  replacement.step(start, request);
  actions = replacement.step(start, absent);
  auto token = find<write_duty>(actions)->token;
  BOOST_TEST(token > first_token);
  replacement.step(start, store_restored{});
  replacement.step(start, request);
  auto found = duty(token, self);
  found.phase = leadership_phase::settled;
  actions = replacement.step(start, found);
  BOOST_TEST(find<write_duty>(actions)->token == token + 1);
}

// Guards against a promotion whose record the store has lost.
BOOST_AUTO_TEST_CASE(a_takeover_ends_when_the_store_is_restored) {
  takeover replacement({}, self);
  revoke_and_release(replacement, start_event(false));
  auto actions = replacement.step(start, store_restored{});
  BOOST_TEST((outcome_of(actions) == takeover_outcome::no_duty));
  BOOST_TEST(!replacement.running());
  BOOST_TEST(replacement.step(start, position(database_id("i-2"), 9)).empty());
}
