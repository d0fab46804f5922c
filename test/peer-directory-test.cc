#define BOOST_TEST_MODULE peer_directory
#include "proxy/peer-directory.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "toucanmux/hash.h"

using namespace toucanmux;
using namespace std::chrono_literals;
using role = peer_directory::role;
using scope = peer_report::scope;

namespace {

const domain_id north("north");
const domain_id south("south");

store_api::member_record record(const std::string& name,
                                const domain_id& domain) {
  return {member_id(name), domain, {0x0a000001, 7560}};
}

/// A directory of the instance `n0` with a large fleet's records.
struct fleet {
  explicit fleet(std::size_t each) : known(member_id("n0"), north, 84) {
    for (std::size_t i = 0; i < each; ++i) {
      auto number = std::to_string(i);
      known.add(now, record("n" + number, north));
      known.add(now, record("s" + number, south));
    }
    known.update_role(now);
  }

  peer_directory::arrival hear(const std::string& name, const domain_id& domain,
                               scope whose, std::uint32_t capacity = 84) {
    peer_report report;
    report.whose = whose;
    report.domain = short_hash(domain.value);
    report.stamp = ++stamp;
    report.capacity = capacity;
    report.gone.items = gone;
    report.lead_digest = digest;
    report.lead_knowers = knowers;
    report.known = knows;
    return known.take(now, member_id(name), 1, {0x0a000002, 7560}, 0, report);
  }

  instant now{100s};
  std::uint64_t stamp = 0;
  std::vector<std::uint32_t> gone;
  std::uint32_t knows = 0;
  std::uint64_t digest = 0;
  std::uint64_t knowers = 0;
  peer_directory known;
};

}  // namespace

BOOST_AUTO_TEST_CASE(few_instances_talk_to_all) {
  fleet all(7);
  BOOST_TEST((all.known.own_role() == role::mesh));
  BOOST_TEST(all.known.members(all.now).size() == 14U);
}

BOOST_AUTO_TEST_CASE(the_largest_that_speaks_is_the_hub) {
  fleet all(40);
  BOOST_TEST((all.known.own_role() == role::hub));
  all.hear("n1", north, scope::fleet, 500);
  BOOST_TEST(all.known.update_role(all.now));
  BOOST_TEST((all.known.own_role() == role::member));
  // A small one that takes itself for the hub changes nothing.
  all.hear("n2", north, scope::fleet, 84);
  BOOST_TEST(all.known.reader(all.now)->record.id.value == "n1");
  // The hub of another domain is not ours.
  all.hear("s1", south, scope::domain, 500);
  BOOST_TEST(all.known.reader(all.now)->record.id.value == "n1");
  BOOST_TEST(all.known.hub_of(all.now, south)->record.id.value == "s1");
  all.now += 2s;
  BOOST_TEST(all.known.update_role(all.now));
  BOOST_TEST((all.known.own_role() == role::hub));
}

BOOST_AUTO_TEST_CASE(a_hub_without_the_store_gives_way) {
  fleet all(40);
  peer_report report;
  report.whose = scope::fleet;
  report.domain = short_hash(north.value);
  report.capacity = 500;
  report.stamp = 1;
  report.lacks_store = true;
  all.known.take(all.now, member_id("n1"), 1, {}, 0, report);
  BOOST_TEST(all.known.reader(all.now) == nullptr);
  // If this instance lacks it as well the size decides again.
  all.known.set_lacks_store(true);
  BOOST_TEST(all.known.reader(all.now) != nullptr);
}

BOOST_AUTO_TEST_CASE(hubs_tell_who_is_gone) {
  fleet all(40);
  all.hear("n1", north, scope::fleet, 500);
  all.known.update_role(all.now);
  all.now += 20s;
  all.gone = {short_hash("s3"), short_hash("n4")};
  all.hear("n1", north, scope::fleet, 500);
  auto members = all.known.members(all.now);
  BOOST_TEST(members.size() == 78U);
  // Who is heard again lives, and a report that came late changes nothing.
  all.hear("n4", north, scope::self);
  BOOST_TEST(all.known.members(all.now).size() == 79U);
  all.stamp -= 2;
  BOOST_TEST(all.hear("n4", north, scope::self).from == nullptr);
}

BOOST_AUTO_TEST_CASE(a_new_hub_does_not_take_the_unheard_for_gone) {
  fleet all(40);
  all.hear("n1", north, scope::fleet, 500);
  all.known.update_role(all.now);
  all.now += 30s;
  all.known.update_role(all.now);
  BOOST_TEST((all.known.own_role() == role::hub));
  BOOST_TEST(all.known.members(all.now).size() > 70U);
  all.now += 11s;
  BOOST_TEST(all.known.members(all.now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(all_that_are_listed_have_to_know_of_a_change) {
  fleet all(40);
  std::vector<store_api::member_record> listed;
  std::uint64_t south_sum = 0;
  for (int i = 0; i < 40; ++i) {
    auto number = std::to_string(i);
    listed.push_back(record("n" + number, north));
    listed.push_back(record("s" + number, south));
    south_sum += stable_hash("s" + number);
  }
  BOOST_TEST(!all.known.all_know(listed, 9));
  all.digest = 9;
  for (int i = 1; i < 40; ++i) {
    all.hear("n" + std::to_string(i), north, scope::self);
  }
  // Nobody speaks for the other domain yet, then one who misses a member.
  BOOST_TEST(!all.known.all_know(listed, 9));
  all.knowers = south_sum - stable_hash("s3");
  all.hear("s1", south, scope::domain);
  BOOST_TEST(!all.known.all_know(listed, 9));
  all.knowers = south_sum;
  all.hear("s1", south, scope::domain);
  BOOST_TEST(all.known.all_know(listed, 9));
  // A new process of one of them knows nothing of it.
  all.digest = 0;
  all.hear("n7", north, scope::self);
  BOOST_TEST(!all.known.all_know(listed, 9));
  std::uint64_t north_sum = 0;
  for (int i = 0; i < 40; ++i)
    north_sum += stable_hash("n" + std::to_string(i));
  BOOST_TEST(all.known.knowers(9) == north_sum - stable_hash("n7"));
  // One of a domain that was never heard of.
  all.digest = 9;
  all.hear("n7", north, scope::self);
  BOOST_TEST(all.known.all_know(listed, 9));
  listed.push_back(record("e1", domain_id("east")));
  BOOST_TEST(!all.known.all_know(listed, 9));
}

BOOST_AUTO_TEST_CASE(records_of_the_living_are_kept) {
  fleet all(40);
  all.hear("n1", north, scope::fleet, 500);
  all.known.update_role(all.now);
  all.now += 70s;
  all.gone = {short_hash("n4")};
  all.hear("n1", north, scope::fleet, 500);
  auto silent = all.known.long_silent(all.now);
  BOOST_TEST(silent.size() == 1U);
  BOOST_TEST(silent[0].id.value == "n4");
}

// An instance that had listed few peers took the fleet for a small one, waited
// for reports of all of them and kept their shares of the limits.
BOOST_AUTO_TEST_CASE(a_hub_tells_that_the_fleet_is_large) {
  fleet all(7);
  all.knows = 138;
  all.hear("n1", north, scope::fleet, 500);
  BOOST_TEST(all.known.lacks_records(all.now));
  all.known.update_role(all.now);
  BOOST_TEST((all.known.own_role() == role::member));
}

// A report of an instance that nobody has used yet never counted as whole; the
// first use that it named later was then taken for known already.
BOOST_AUTO_TEST_CASE(a_report_without_any_use_is_whole) {
  fleet all(7);
  peer_report report;
  report.domain = short_hash(south.value);
  report.stamp = report.cycle = 1;
  auto hear = [&] {
    return all.known.take(all.now, member_id("s1"), 1, {}, 0, report);
  };
  BOOST_TEST(!hear().whole);  // It names only the teams near their limit.
  report.all_teams = true;
  report.stamp = report.cycle = 2;
  BOOST_TEST(hear().whole);
  // Of two parts the second one makes it whole.
  report.uses_in_all = 2;
  report.uses.items = {{1, 2, 3, 4.0F}};
  report.stamp = report.cycle = 3;
  BOOST_TEST(!hear().whole);
  report.stamp = 4;
  BOOST_TEST(hear().whole);
}
