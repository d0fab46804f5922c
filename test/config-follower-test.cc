#define BOOST_TEST_MODULE config_follower
#include "toucanmux/process/config-follower.h"

#include <boost/test/unit_test.hpp>

#include "member-fleet.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

using follower = config_follower;

constexpr instant start{};

std::string plans(const std::string& id = "gold") {
  return R"({"plans":[{"id":")" + id + R"(","rate":1,"burst":1,"routes":[]}]})";
}

std::string teams(const std::string& plan = "gold") {
  return R"({"teams":[{"id":"norte","plan":")" + plan + R"("}]})";
}

follower::settings default_settings() {
  follower::settings values;
  values.self = member_id("a");
  return values;
}

template <class Action>
std::vector<Action> actions_of_type(
    const std::vector<follower::action>& actions) {
  std::vector<Action> out;
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) out.push_back(*found);
  }
  return out;
}

template <class Action>
bool has_action(const std::vector<follower::action>& actions) {
  return !actions_of_type<Action>(actions).empty();
}

follower::watch_ended lists_watch_result(std::uint64_t revision,
                                         std::vector<config_object> objects) {
  return {"lists", true, revision, std::move(objects)};
}

follower::peer_digest digest_of(const std::string& from,
                                const std::vector<config_object>& objects) {
  config_digest digest;
  for (const auto& object : objects)
    digest.add(object.kind, object.key, object.version);
  return {member_id(from), digest.text()};
}

config_object teams_object(std::uint64_t version,
                           const std::string& plan = "gold") {
  return {"lists", "teams", version, teams(plan)};
}

config_object plans_object(std::uint64_t version,
                           const std::string& id = "gold") {
  return {"lists", "plans", version, plans(id)};
}

// A follower with both lists active: plans at version 1, teams at version 2.
follower follower_with_lists() {
  follower member(default_settings());
  member.step(start,
              follower::domain_members{{member_id("a"), member_id("b")}});
  member.step(start, lists_watch_result(2, {plans_object(1), teams_object(2)}));
  return member;
}

member_fleet::options options(std::uint64_t seed, double loss = 0) {
  member_fleet::options values;
  values.members = 24;
  values.domains = 3;
  values.seed = seed;
  values.loss = loss;
  BOOST_TEST_MESSAGE("seed " << seed);
  return values;
}

void write_lists(member_fleet& fleet) {
  fleet.write_object("lists", "plans", plans());
  fleet.write_object("lists", "teams", teams());
}

std::size_t ready_members(member_fleet& fleet) {
  std::size_t count = 0;
  for (const auto& node : fleet.nodes()) {
    if (node.running && node.config->ready()) ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_CASE(only_greater_versions_become_active) {
  auto member = follower_with_lists();
  auto older = member.step(
      start, lists_watch_result(2, {teams_object(1), teams_object(2)}));
  BOOST_TEST(!has_action<follower::activate_object>(older));
  auto newer = member.step(start, lists_watch_result(3, {teams_object(3)}));
  BOOST_TEST(has_action<follower::activate_object>(newer));
  auto late = member.step(
      start, follower::fetch_ended{member_id("b"), true, {teams_object(2)}});
  BOOST_TEST(!has_action<follower::activate_object>(late));
  BOOST_TEST(member.version("lists", "teams") == 3);
}

BOOST_AUTO_TEST_CASE(an_invalid_list_leaves_the_last_valid_one_active) {
  auto member = follower_with_lists();
  auto actions = member.step(
      start,
      lists_watch_result(3, {{"lists", "teams", 3, "{\"teams\":[\n{}]}"}}));
  auto refusals = actions_of_type<follower::refuse_object>(actions);
  BOOST_REQUIRE(refusals.size() == 1);
  BOOST_TEST(refusals[0].error.starts_with("line 2: "), refusals[0].error);
  BOOST_TEST(!has_action<follower::activate_object>(actions));
  BOOST_TEST(member.version("lists", "teams") == 2);
  // A peer that fetches gets both the valid version and the invalid one.
  auto replies = member.step(start, follower::peer_fetches{1, 0});
  BOOST_TEST(
      actions_of_type<follower::send_objects>(replies).at(0).objects.size() ==
      3);
  auto corrected = member.step(start, lists_watch_result(4, {teams_object(4)}));
  BOOST_TEST(has_action<follower::activate_object>(corrected));
}

BOOST_AUTO_TEST_CASE(teams_with_a_new_plan_become_active_with_the_plan) {
  auto member = follower_with_lists();
  auto actions =
      member.step(start, lists_watch_result(3, {teams_object(3, "silver")}));
  BOOST_TEST(has_action<follower::refuse_object>(actions));
  // The new plan list removes the plan that the active teams use, so the two
  // new lists are valid only together.
  actions =
      member.step(start, lists_watch_result(4, {plans_object(4, "silver")}));
  BOOST_TEST(actions_of_type<follower::activate_object>(actions).size() == 2);
  BOOST_TEST(member.version("lists", "teams") == 3);
  BOOST_TEST(member.version("lists", "plans") == 4);
}

BOOST_AUTO_TEST_CASE(a_new_member_activates_the_last_valid_version_of_a_peer) {
  follower member(default_settings());
  config_object invalid_teams{"lists", "teams", 5, "{}"};
  member.step(start, lists_watch_result(5, {plans_object(1), invalid_teams}));
  BOOST_TEST(member.version("lists", "teams") == 0);
  BOOST_TEST(!member.ready());
  auto actions = member.step(
      start,
      follower::fetch_ended{member_id("b"),
                            true,
                            {plans_object(1), teams_object(2), invalid_teams}});
  BOOST_TEST(has_action<follower::activate_object>(actions));
  BOOST_TEST(member.version("lists", "teams") == 2);
}

BOOST_AUTO_TEST_CASE(a_member_is_not_ready_while_a_peer_has_newer_versions) {
  follower member(default_settings());
  std::vector<member_id> members{member_id("a"), member_id("b"),
                                 member_id("c")};
  member.step(start, follower::domain_members{members});
  auto old_lists = {plans_object(1), teams_object(2)};
  auto new_lists = {plans_object(1), teams_object(7)};
  member.step(start, digest_of("b", new_lists));
  member.step(start, digest_of("c", old_lists));
  member.step(start, follower::fetch_ended{member_id("c"), true, old_lists});
  member.step(start + 1min, follower::tick());
  BOOST_TEST(!member.ready());
  auto actions = member.step(start + 1min, digest_of("b", new_lists));
  BOOST_TEST(has_action<follower::fetch_from_peer>(actions));
  actions = member.step(start + 1min,
                        follower::fetch_ended{member_id("b"), true, new_lists});
  BOOST_TEST(has_action<follower::become_ready>(actions));
}

BOOST_AUTO_TEST_CASE(one_peer_alone_does_not_make_a_member_ready_early) {
  follower member(default_settings());
  auto old_lists = {plans_object(1), teams_object(2)};
  member.step(start, digest_of("b", old_lists));
  member.step(start, follower::fetch_ended{member_id("b"), true, old_lists});
  member.step(start + 1s, follower::tick());
  BOOST_TEST(!member.ready());
  member.step(start + 1s, digest_of("c", old_lists));
  member.step(start + 1s, digest_of("d", old_lists));
  BOOST_TEST(member.ready());
}

BOOST_AUTO_TEST_CASE(a_member_without_peers_and_platform_is_never_ready) {
  follower member(default_settings());
  member.step(start, follower::domain_members{{member_id("a")}});
  for (int i = 0; i < 100; ++i) {
    member.step(start + i * 1s, follower::tick());
    member.step(start + i * 1s, follower::watch_ended{"lists", false, 0, {}});
  }
  BOOST_TEST(!member.ready());
}

BOOST_AUTO_TEST_CASE(without_peers_readiness_needs_confirmation_of_all_kinds) {
  follower member(default_settings());
  member.step(start, follower::domain_members{{member_id("a")}});
  member.step(start + 3s,
              lists_watch_result(2, {plans_object(1), teams_object(2)}));
  member.step(start + 1min, follower::tick());
  BOOST_TEST(!member.ready());
  member.step(start + 1min, follower::watch_ended{"groups", true, 2, {}});
  member.step(start + 1min, follower::watch_ended{"services", true, 2, {}});
  BOOST_TEST(member.ready());
}

BOOST_AUTO_TEST_CASE(a_missing_older_version_causes_a_full_fetch) {
  follower member(default_settings());
  config_object group{"services", "s", 4, "{}"};
  member.step(start, lists_watch_result(6, {teams_object(6)}));
  auto peer_lists = {plans_object(1), teams_object(6), group};
  auto actions = member.step(start, digest_of("b", peer_lists));
  auto requests = actions_of_type<follower::fetch_from_peer>(actions);
  BOOST_REQUIRE(requests.size() == 1);
  BOOST_TEST(requests[0].newer_than == 6);
  actions = member.step(start, follower::fetch_ended{member_id("b"), true, {}});
  requests = actions_of_type<follower::fetch_from_peer>(actions);
  BOOST_REQUIRE(requests.size() == 1);
  BOOST_TEST(requests[0].newer_than == 0);
}

BOOST_AUTO_TEST_CASE(a_watch_without_a_result_is_restarted) {
  follower member(default_settings());
  member.step(start, follower::domain_members{{member_id("a")}});
  auto actions = member.step(start + 2s, follower::tick());
  BOOST_TEST(actions_of_type<follower::watch_kind>(actions).size() == 3);
  int requests = 0;
  for (int i = 3; i < 60; ++i) {
    actions = member.step(start + i * 1s, follower::tick());
    requests +=
        static_cast<int>(actions_of_type<follower::watch_kind>(actions).size());
  }
  BOOST_TEST(requests == 3);
}

BOOST_AUTO_TEST_CASE(watch_retry_delays_are_bounded_and_jittered) {
  std::set<std::int64_t> waits;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto values = default_settings();
    values.random_seed = seed;
    follower member(values);
    member.step(start, follower::domain_members{{member_id("a")}});
    instant now = start + 2s;
    member.step(now, follower::tick());
    for (int failure = 0; failure < 20; ++failure) {
      auto failed_at = now;
      member.step(now, follower::watch_ended{"lists", false, 0, {}});
      std::vector<follower::action> actions;
      auto watch_requested = [&] {
        for (const auto& request :
             actions_of_type<follower::watch_kind>(actions)) {
          if (request.kind == "lists") return true;
        }
        return false;
      };
      while (!watch_requested()) {
        now += 10ms;
        actions = member.step(now, follower::tick());
      }
      BOOST_TEST((now - failed_at >= values.retry_min));
      BOOST_TEST((now - failed_at <= values.retry_max + 10ms));
      if (failure == 19) waits.insert((now - failed_at).count());
    }
  }
  BOOST_TEST(waits.size() > 15);
}

BOOST_AUTO_TEST_CASE(the_age_of_the_lists_grows_in_a_partitioned_domain) {
  member_fleet fleet(options(20));
  write_lists(fleet);
  fleet.start_all();
  fleet.run_for(60s);
  auto age = [&](std::size_t i) {
    return fleet.nodes()[i].config->age(fleet.now());
  };
  for (std::size_t i = 0; i < 24; ++i) BOOST_CHECK(age(i) < 40s);
  fleet.partition(fleet.nodes()[0].self.domain, true);
  fleet.run_for(300s);
  BOOST_CHECK(age(0) >= 300s);
  BOOST_CHECK(age(0) < 340s);
  BOOST_CHECK(age(1) < 40s);
}

BOOST_AUTO_TEST_CASE(a_new_version_becomes_active_on_all_members) {
  member_fleet fleet(options(21, 0.1));
  write_lists(fleet);
  fleet.start_all();
  fleet.run_for(30s);
  BOOST_TEST(ready_members(fleet) == 24);
  auto version = fleet.write_object("lists", "teams", teams());
  fleet.run_for(13s);
  BOOST_TEST(fleet.members_without("lists/teams", version) == 0);
  BOOST_TEST(fleet.violation().empty(), fleet.violation());
}

BOOST_AUTO_TEST_CASE(a_new_member_starts_while_the_platform_is_down) {
  member_fleet fleet(options(22, 0.1));
  write_lists(fleet);
  auto version = fleet.write_object("lists", "teams", teams());
  for (std::size_t i = 0; i < 21; ++i) fleet.start(i);
  fleet.run_for(30s);
  fleet.set_platform_up(false);
  fleet.run_for(60s);
  for (std::size_t i = 21; i < 24; ++i) fleet.start(i);
  fleet.run_for(20s);
  BOOST_TEST(ready_members(fleet) == 24);
  BOOST_TEST(fleet.members_without("lists/teams", version) == 0);
}

BOOST_AUTO_TEST_CASE(
    a_fleet_that_starts_during_an_outage_becomes_ready_after_it) {
  member_fleet fleet(options(23));
  fleet.set_platform_up(false);
  write_lists(fleet);
  fleet.start_all();
  fleet.run_for(60s);
  BOOST_TEST(ready_members(fleet) == 0);
  fleet.set_platform_up(true);
  fleet.run_for(30s);
  BOOST_TEST(ready_members(fleet) == 24);
}

BOOST_AUTO_TEST_CASE(
    a_partitioned_domain_gets_the_new_version_when_the_partition_heals) {
  member_fleet fleet(options(24));
  write_lists(fleet);
  fleet.start_all();
  fleet.run_for(30s);
  auto domain = fleet.nodes()[0].self.domain;
  fleet.partition(domain, true);
  fleet.run_for(30s);
  auto version = fleet.write_object("lists", "teams", teams());
  fleet.run_for(30s);
  BOOST_TEST(fleet.members_without("lists/teams", version) == 8);
  fleet.heal(domain);
  fleet.run_for(40s);
  BOOST_TEST(fleet.members_without("lists/teams", version) == 0);
}

// Guards against a member that activates an older version or misses the last
// one. Members crash, restart and pause, and domains are partitioned, while new
// versions are written.
BOOST_AUTO_TEST_CASE(versions_never_decrease_under_random_faults) {
  for (std::uint64_t seed = 200; seed < 206; ++seed) {
    member_fleet fleet(options(seed, 0.1));
    std::mt19937_64 random(seed);
    write_lists(fleet);
    fleet.start_all();
    fleet.run_for(20s);
    std::uint64_t version = 0;
    for (int i = 0; i < 60; ++i) {
      auto index = 3 + random() % 21;
      auto& node = fleet.nodes()[index];
      switch (random() % 7) {
        case 0:
          if (node.running) fleet.kill(index);
          break;
        case 1:
          if (!node.running) fleet.start(index);
          break;
        case 2:
          fleet.set_platform_up(random() % 2 == 0);
          break;
        case 3:
          node.paused ? fleet.resume(index) : fleet.pause(index);
          break;
        case 4:
          fleet.partition(node.self.domain, random() % 2 == 0);
          break;
        case 5:
          fleet.heal(node.self.domain);
          break;
        default:
          version = fleet.write_object("lists", "teams", teams());
      }
      fleet.run_for(std::chrono::milliseconds(random() % 4000));
    }
    for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
      if (fleet.nodes()[i].paused) fleet.resume(i);
      fleet.heal(fleet.nodes()[i].self.domain);
    }
    fleet.set_platform_up(true);
    fleet.run_for(60s);
    BOOST_TEST(fleet.members_without("lists/teams", version) == 0,
               "seed " << seed);
    BOOST_TEST(fleet.violation().empty(), "seed " << seed << fleet.violation());
  }
}
