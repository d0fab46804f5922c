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

follower::settings alone() {
  follower::settings values;
  values.self = member_id("a");
  return values;
}

template <class Action>
std::vector<Action> all_of(const std::vector<follower::action>& actions) {
  std::vector<Action> out;
  for (const auto& one : actions) {
    if (const auto* found = std::get_if<Action>(&one)) out.push_back(*found);
  }
  return out;
}

template <class Action>
bool has(const std::vector<follower::action>& actions) {
  return !all_of<Action>(actions).empty();
}

follower::watch_ended lists(std::uint64_t revision,
                            std::vector<config_object> objects) {
  return {"lists", true, revision, std::move(objects)};
}

follower::peer_digest digest_of(const std::string& from,
                                const std::vector<config_object>& objects) {
  config_digest digest;
  for (const auto& one : objects) digest.add(one.kind, one.key, one.version);
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

// A follower that has both lists at versions 1 and 2.
follower with_lists() {
  follower made(alone());
  made.step(start, follower::domain_members{{member_id("a"), member_id("b")}});
  made.step(start, lists(2, {plans_object(1), teams_object(2)}));
  return made;
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
  for (const auto& one : fleet.nodes()) {
    if (one.running && one.config->ready()) ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_CASE(only_greater_versions_are_taken) {
  auto made = with_lists();
  auto older = made.step(start, lists(2, {teams_object(1), teams_object(2)}));
  BOOST_TEST(!has<follower::take_object>(older));
  auto newer = made.step(start, lists(3, {teams_object(3)}));
  BOOST_TEST(has<follower::take_object>(newer));
  auto late = made.step(
      start, follower::fetch_ended{member_id("b"), true, {teams_object(2)}});
  BOOST_TEST(!has<follower::take_object>(late));
  BOOST_TEST(made.version("lists", "teams") == 3);
}

BOOST_AUTO_TEST_CASE(a_refused_list_leaves_the_last_good_one) {
  auto made = with_lists();
  auto told =
      made.step(start, lists(3, {{"lists", "teams", 3, "{\"teams\":[\n{}]}"}}));
  auto refused = all_of<follower::refuse_object>(told);
  BOOST_REQUIRE(refused.size() == 1);
  BOOST_TEST(refused[0].error.starts_with("line 2: "), refused[0].error);
  BOOST_TEST(!has<follower::take_object>(told));
  BOOST_TEST(made.version("lists", "teams") == 2);
  // A newcomer gets the good one and the refused one.
  auto given = made.step(start, follower::peer_fetches{1, 0});
  BOOST_TEST(all_of<follower::give_objects>(given).at(0).objects.size() == 3);
  auto mended = made.step(start, lists(4, {teams_object(4)}));
  BOOST_TEST(has<follower::take_object>(mended));
}

BOOST_AUTO_TEST_CASE(teams_with_a_new_plan_wait_for_it) {
  auto made = with_lists();
  auto told = made.step(start, lists(3, {teams_object(3, "silver")}));
  BOOST_TEST(has<follower::refuse_object>(told));
  // The new plans drop what the old teams hold: only both together pass.
  told = made.step(start, lists(4, {plans_object(4, "silver")}));
  BOOST_TEST(all_of<follower::take_object>(told).size() == 2);
  BOOST_TEST(made.version("lists", "teams") == 3);
  BOOST_TEST(made.version("lists", "plans") == 4);
}

BOOST_AUTO_TEST_CASE(a_newcomer_takes_the_last_good_version_from_a_peer) {
  follower made(alone());
  config_object bad{"lists", "teams", 5, "{}"};
  made.step(start, lists(5, {plans_object(1), bad}));
  BOOST_TEST(made.version("lists", "teams") == 0);
  BOOST_TEST(!made.ready());
  auto told = made.step(
      start,
      follower::fetch_ended{
          member_id("b"), true, {plans_object(1), teams_object(2), bad}});
  BOOST_TEST(has<follower::take_object>(told));
  BOOST_TEST(made.version("lists", "teams") == 2);
}

BOOST_AUTO_TEST_CASE(it_is_not_ready_while_a_peer_has_newer_versions) {
  follower made(alone());
  std::vector<member_id> members{member_id("a"), member_id("b"),
                                 member_id("c")};
  made.step(start, follower::domain_members{members});
  auto old_lists = {plans_object(1), teams_object(2)};
  auto new_lists = {plans_object(1), teams_object(7)};
  made.step(start, digest_of("b", new_lists));
  made.step(start, digest_of("c", old_lists));
  made.step(start, follower::fetch_ended{member_id("c"), true, old_lists});
  made.step(start + 1min, follower::tick());
  BOOST_TEST(!made.ready());
  auto told = made.step(start + 1min, digest_of("b", new_lists));
  BOOST_TEST(has<follower::fetch_from_peer>(told));
  told = made.step(start + 1min,
                   follower::fetch_ended{member_id("b"), true, new_lists});
  BOOST_TEST(has<follower::become_ready>(told));
}

BOOST_AUTO_TEST_CASE(one_peer_alone_is_not_compared_with_in_haste) {
  follower made(alone());
  auto old_lists = {plans_object(1), teams_object(2)};
  made.step(start, digest_of("b", old_lists));
  made.step(start, follower::fetch_ended{member_id("b"), true, old_lists});
  made.step(start + 1s, follower::tick());
  BOOST_TEST(!made.ready());
  made.step(start + 1s, digest_of("c", old_lists));
  made.step(start + 1s, digest_of("d", old_lists));
  BOOST_TEST(made.ready());
}

BOOST_AUTO_TEST_CASE(without_any_word_it_is_never_ready) {
  follower made(alone());
  made.step(start, follower::domain_members{{member_id("a")}});
  for (int i = 0; i < 100; ++i) {
    made.step(start + i * 1s, follower::tick());
    made.step(start + i * 1s, follower::watch_ended{"lists", false, 0, {}});
  }
  BOOST_TEST(!made.ready());
}

BOOST_AUTO_TEST_CASE(without_peers_the_platform_must_have_confirmed_all_kinds) {
  follower made(alone());
  made.step(start, follower::domain_members{{member_id("a")}});
  made.step(start + 3s, lists(2, {plans_object(1), teams_object(2)}));
  made.step(start + 1min, follower::tick());
  BOOST_TEST(!made.ready());
  made.step(start + 1min, follower::watch_ended{"groups", true, 2, {}});
  made.step(start + 1min, follower::watch_ended{"services", true, 2, {}});
  BOOST_TEST(made.ready());
}

BOOST_AUTO_TEST_CASE(a_missing_older_version_is_fetched_whole) {
  follower made(alone());
  config_object group{"services", "s", 4, "{}"};
  made.step(start, lists(6, {teams_object(6)}));
  auto theirs = {plans_object(1), teams_object(6), group};
  auto told = made.step(start, digest_of("b", theirs));
  auto asked = all_of<follower::fetch_from_peer>(told);
  BOOST_REQUIRE(asked.size() == 1);
  BOOST_TEST(asked[0].newer_than == 6);
  told = made.step(start, follower::fetch_ended{member_id("b"), true, {}});
  asked = all_of<follower::fetch_from_peer>(told);
  BOOST_REQUIRE(asked.size() == 1);
  BOOST_TEST(asked[0].newer_than == 0);
}

BOOST_AUTO_TEST_CASE(a_lost_watch_is_started_again) {
  follower made(alone());
  made.step(start, follower::domain_members{{member_id("a")}});
  auto told = made.step(start + 2s, follower::tick());
  BOOST_TEST(all_of<follower::watch_kind>(told).size() == 3);
  int asked = 0;
  for (int i = 3; i < 60; ++i) {
    told = made.step(start + i * 1s, follower::tick());
    asked += static_cast<int>(all_of<follower::watch_kind>(told).size());
  }
  BOOST_TEST(asked == 3);
}

BOOST_AUTO_TEST_CASE(retries_are_bounded_and_spread) {
  std::set<std::int64_t> waits;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto values = alone();
    values.random_seed = seed;
    follower made(values);
    made.step(start, follower::domain_members{{member_id("a")}});
    instant now = start + 2s;
    made.step(now, follower::tick());
    for (int failure = 0; failure < 20; ++failure) {
      auto failed = now;
      made.step(now, follower::watch_ended{"lists", false, 0, {}});
      std::vector<follower::action> told;
      auto asked = [&] {
        for (const auto& one : all_of<follower::watch_kind>(told)) {
          if (one.kind == "lists") return true;
        }
        return false;
      };
      while (!asked()) {
        now += 10ms;
        told = made.step(now, follower::tick());
      }
      BOOST_TEST((now - failed >= values.retry_min));
      BOOST_TEST((now - failed <= values.retry_max + 10ms));
      if (failure == 19) waits.insert((now - failed).count());
    }
  }
  BOOST_TEST(waits.size() > 15);
}

BOOST_AUTO_TEST_CASE(the_age_of_the_lists_is_known_when_cut_off) {
  member_fleet fleet(options(20));
  write_lists(fleet);
  fleet.start_all();
  fleet.run_for(60s);
  auto age = [&](std::size_t i) {
    return fleet.nodes()[i].config->age(fleet.now());
  };
  for (std::size_t i = 0; i < 24; ++i) BOOST_CHECK(age(i) < 40s);
  fleet.cut_off(fleet.nodes()[0].self.domain, true);
  fleet.run_for(300s);
  BOOST_CHECK(age(0) >= 300s);
  BOOST_CHECK(age(0) < 340s);
  BOOST_CHECK(age(1) < 40s);
}

BOOST_AUTO_TEST_CASE(a_change_comes_into_force_everywhere) {
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
  fleet.platform_up(false);
  fleet.run_for(60s);
  for (std::size_t i = 21; i < 24; ++i) fleet.start(i);
  fleet.run_for(20s);
  BOOST_TEST(ready_members(fleet) == 24);
  BOOST_TEST(fleet.members_without("lists/teams", version) == 0);
}

BOOST_AUTO_TEST_CASE(a_fleet_that_starts_without_the_platform_waits_for_it) {
  member_fleet fleet(options(23));
  fleet.platform_up(false);
  write_lists(fleet);
  fleet.start_all();
  fleet.run_for(60s);
  BOOST_TEST(ready_members(fleet) == 0);
  fleet.platform_up(true);
  fleet.run_for(30s);
  BOOST_TEST(ready_members(fleet) == 24);
}

BOOST_AUTO_TEST_CASE(
    a_cut_domain_hears_through_others_if_only_the_platform_is_cut) {
  member_fleet fleet(options(24));
  write_lists(fleet);
  fleet.start_all();
  fleet.run_for(30s);
  auto domain = fleet.nodes()[0].self.domain;
  fleet.cut_off(domain, true);
  fleet.run_for(30s);
  auto version = fleet.write_object("lists", "teams", teams());
  fleet.run_for(30s);
  BOOST_TEST(fleet.members_without("lists/teams", version) == 8);
  fleet.heal(domain);
  fleet.run_for(40s);
  BOOST_TEST(fleet.members_without("lists/teams", version) == 0);
}

// Random faults while versions change; no member may ever go back, and all
// must have the last version in the end.
BOOST_AUTO_TEST_CASE(versions_never_go_back_under_random_faults) {
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
          fleet.platform_up(random() % 2 == 0);
          break;
        case 3:
          node.paused ? fleet.resume(index) : fleet.pause(index);
          break;
        case 4:
          fleet.cut_off(node.self.domain, random() % 2 == 0);
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
    fleet.platform_up(true);
    fleet.run_for(60s);
    BOOST_TEST(fleet.members_without("lists/teams", version) == 0,
               "seed " << seed);
    BOOST_TEST(fleet.violation().empty(), "seed " << seed << fleet.violation());
  }
}
