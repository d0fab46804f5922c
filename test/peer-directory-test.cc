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

/// The directory of the instance `n0`, with the records of two failure domains.
struct fleet {
  explicit fleet(std::size_t size_per_domain)
      : directory(member_id("n0"), north, 84) {
    for (std::size_t i = 0; i < size_per_domain; ++i) {
      auto number = std::to_string(i);
      directory.add(now, record("n" + number, north));
      directory.add(now, record("s" + number, south));
    }
    directory.update_role(now);
  }

  peer_directory::report_outcome receive_report(const std::string& name,
                                                const domain_id& domain,
                                                scope sender_scope,
                                                std::uint32_t capacity = 84) {
    peer_report report;
    report.sender_scope = sender_scope;
    report.domain = short_hash(domain.value);
    report.stamp = ++stamp;
    report.capacity = capacity;
    report.gone.items = gone;
    report.leader_digest = leader_digest;
    report.knowers_hash = knowers_hash;
    report.known_peers = known_peers;
    return directory.apply_report(now, member_id(name), 1, {0x0a000002, 7560},
                                  0, report);
  }

  instant now{100s};
  std::uint64_t stamp = 0;
  std::vector<std::uint32_t> gone;
  std::uint32_t known_peers = 0;
  std::uint64_t leader_digest = 0;
  std::uint64_t knowers_hash = 0;
  peer_directory directory;
};

}  // namespace

BOOST_AUTO_TEST_CASE(small_fleet_is_a_mesh) {
  fleet proxies(7);
  BOOST_TEST((proxies.directory.own_role() == role::mesh));
  BOOST_TEST(proxies.directory.members(proxies.now).size() == 14U);
}

BOOST_AUTO_TEST_CASE(largest_heard_instance_is_hub) {
  fleet proxies(40);
  BOOST_TEST((proxies.directory.own_role() == role::hub));
  proxies.receive_report("n1", north, scope::fleet, 500);
  BOOST_TEST(proxies.directory.update_role(proxies.now));
  BOOST_TEST((proxies.directory.own_role() == role::member));
  // A smaller instance that also claims to be the hub changes nothing.
  proxies.receive_report("n2", north, scope::fleet, 84);
  BOOST_TEST(proxies.directory.domain_reader(proxies.now)->record.id.value ==
             "n1");
  // The hub of another failure domain is not the reader of this one.
  proxies.receive_report("s1", south, scope::domain, 500);
  BOOST_TEST(proxies.directory.domain_reader(proxies.now)->record.id.value ==
             "n1");
  BOOST_TEST(proxies.directory.hub_of(proxies.now, south)->record.id.value ==
             "s1");
  proxies.now += 2s;
  BOOST_TEST(proxies.directory.update_role(proxies.now));
  BOOST_TEST((proxies.directory.own_role() == role::hub));
}

BOOST_AUTO_TEST_CASE(hub_without_store_is_outranked) {
  fleet proxies(40);
  peer_report report;
  report.sender_scope = scope::fleet;
  report.domain = short_hash(north.value);
  report.capacity = 500;
  report.stamp = 1;
  report.lacks_store = true;
  proxies.directory.apply_report(proxies.now, member_id("n1"), 1, {}, 0,
                                 report);
  BOOST_TEST(proxies.directory.domain_reader(proxies.now) == nullptr);
  // If this instance lacks the store as well, capacity decides again.
  proxies.directory.set_lacks_store(true);
  BOOST_TEST(proxies.directory.domain_reader(proxies.now) != nullptr);
}

// Guards against instances without a lease for 0.8 s after a restart, and
// against endless reads for one that can't get a lease.
BOOST_AUTO_TEST_CASE(a_starting_instance_waits_for_its_lease) {
  fleet proxies(3);
  peer_report report;
  report.domain = short_hash(north.value);
  report.stamp = 1;
  report.leader_age_ms = 1'000'000;
  auto receive = [&] {
    ++report.stamp;
    proxies.directory.apply_report(proxies.now, member_id("n1"), 1, {}, 0,
                                   report);
    return proxies.directory.new_process_lacks_lease(proxies.now);
  };
  BOOST_TEST(receive());
  report.leader_age_ms = 300;
  BOOST_TEST(!receive());
  report.leader_age_ms = 1'000'000;
  proxies.now += 3s;
  BOOST_TEST(!receive());
}

BOOST_AUTO_TEST_CASE(hubs_report_gone_members) {
  fleet proxies(40);
  proxies.receive_report("n1", north, scope::fleet, 500);
  proxies.directory.update_role(proxies.now);
  proxies.now += 20s;
  proxies.gone = {short_hash("s3"), short_hash("n4")};
  proxies.receive_report("n1", north, scope::fleet, 500);
  auto members = proxies.directory.members(proxies.now);
  BOOST_TEST(members.size() == 78U);
  // A report of a gone instance makes it alive again; an out-of-order report is
  // ignored.
  proxies.receive_report("n4", north, scope::self);
  BOOST_TEST(proxies.directory.members(proxies.now).size() == 79U);
  proxies.stamp -= 2;
  BOOST_TEST(proxies.receive_report("n4", north, scope::self).sender ==
             nullptr);
}

BOOST_AUTO_TEST_CASE(new_hub_keeps_unheard_members_alive) {
  fleet proxies(40);
  proxies.receive_report("n1", north, scope::fleet, 500);
  proxies.directory.update_role(proxies.now);
  proxies.now += 30s;
  proxies.directory.update_role(proxies.now);
  BOOST_TEST((proxies.directory.own_role() == role::hub));
  BOOST_TEST(proxies.directory.members(proxies.now).size() > 70U);
  proxies.now += 11s;
  BOOST_TEST(proxies.directory.members(proxies.now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(all_listed_members_must_have_the_digest) {
  fleet proxies(40);
  std::vector<store_api::member_record> listed;
  std::uint64_t south_sum = 0;
  for (int i = 0; i < 40; ++i) {
    auto number = std::to_string(i);
    listed.push_back(record("n" + number, north));
    listed.push_back(record("s" + number, south));
    south_sum += stable_hash("s" + number);
  }
  BOOST_TEST(!proxies.directory.all_have_digest(listed, 9));
  proxies.leader_digest = 9;
  for (int i = 1; i < 40; ++i) {
    proxies.receive_report("n" + std::to_string(i), north, scope::self);
  }
  // At first no hub of the other failure domain is known; then that hub's hash
  // lacks one member.
  BOOST_TEST(!proxies.directory.all_have_digest(listed, 9));
  proxies.knowers_hash = south_sum - stable_hash("s3");
  proxies.receive_report("s1", south, scope::domain);
  BOOST_TEST(!proxies.directory.all_have_digest(listed, 9));
  proxies.knowers_hash = south_sum;
  proxies.receive_report("s1", south, scope::domain);
  BOOST_TEST(proxies.directory.all_have_digest(listed, 9));
  // After a restart, one instance has no records.
  proxies.leader_digest = 0;
  proxies.receive_report("n7", north, scope::self);
  BOOST_TEST(!proxies.directory.all_have_digest(listed, 9));
  std::uint64_t north_sum = 0;
  for (int i = 0; i < 40; ++i)
    north_sum += stable_hash("n" + std::to_string(i));
  BOOST_TEST(proxies.directory.knowers_hash(9) ==
             north_sum - stable_hash("n7"));
  // A listed instance of an unknown failure domain.
  proxies.leader_digest = 9;
  proxies.receive_report("n7", north, scope::self);
  BOOST_TEST(proxies.directory.all_have_digest(listed, 9));
  listed.push_back(record("e1", domain_id("east")));
  BOOST_TEST(!proxies.directory.all_have_digest(listed, 9));
}

BOOST_AUTO_TEST_CASE(records_of_live_members_are_kept) {
  fleet proxies(40);
  proxies.receive_report("n1", north, scope::fleet, 500);
  proxies.directory.update_role(proxies.now);
  proxies.now += 70s;
  proxies.gone = {short_hash("n4")};
  proxies.receive_report("n1", north, scope::fleet, 500);
  auto silent = proxies.directory.long_silent_members(proxies.now);
  BOOST_TEST(silent.size() == 1U);
  BOOST_TEST(silent[0].id.value == "n4");
}

// An instance that had listed only a few members assumed a small fleet,
// expected reports from all of them, and kept their shares of the limits
// reserved.
BOOST_AUTO_TEST_CASE(hub_reports_that_the_fleet_is_large) {
  fleet proxies(7);
  proxies.known_peers = 138;
  proxies.receive_report("n1", north, scope::fleet, 500);
  BOOST_TEST(proxies.directory.lacks_member_records(proxies.now));
  proxies.directory.update_role(proxies.now);
  BOOST_TEST((proxies.directory.own_role() == role::member));
}

// A report of an instance without any use never counted as complete. The first
// use that it reported later was then taken as old use and not counted.
BOOST_AUTO_TEST_CASE(report_without_uses_is_complete) {
  fleet proxies(7);
  peer_report report;
  report.domain = short_hash(south.value);
  report.stamp = report.first_stamp = 1;
  auto receive_report = [&] {
    return proxies.directory.apply_report(proxies.now, member_id("s1"), 1, {},
                                          0, report);
  };
  // This report covers only the teams near their limit.
  BOOST_TEST(!receive_report().complete);
  report.all_teams = true;
  report.stamp = report.first_stamp = 2;
  BOOST_TEST(receive_report().complete);
  // The second of two parts completes the report.
  report.total_uses = 2;
  report.uses.items = {{1, 2, 3, 4.0F}};
  report.stamp = report.first_stamp = 3;
  BOOST_TEST(!receive_report().complete);
  report.stamp = 4;
  BOOST_TEST(receive_report().complete);
}
