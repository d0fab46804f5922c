#define BOOST_TEST_MODULE drained_domains
#include "toucanmux/proxy/domain/drained-domains.h"

#include <array>
#include <boost/test/unit_test.hpp>

#include "toucanmux/proxy/domain/allowed-regions.h"
#include "toucanmux/proxy/domain/availability.h"
#include "toucanmux/proxy/domain/drained-list-policy.h"
#include "toucanmux/proxy/domain/region-map.h"
#include "toucanmux/proxy/domain/warm-up.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start{100s};
const domain_id north("north");
const domain_id south("south");

struct followed_list {
  followed_list() { list.follow(); }
  void read(std::uint64_t revision, std::vector<domain_id> domains) {
    list.apply_list(start, {1, revision}, domains);
  }
  drained_domains list;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(drained_domains_tests, followed_list)

// Guards against statements from an instance that started during a drain.
BOOST_AUTO_TEST_CASE(until_the_list_is_known_every_domain_counts_as_drained) {
  BOOST_TEST(list.contains(north));
  read(7, {});
  BOOST_TEST(!list.contains(north));
  BOOST_TEST(!drained_domains().contains(north));
}

// Guards against a drain that an overtaken report takes back.
BOOST_AUTO_TEST_CASE(a_member_takes_newer_lists_of_a_generation_only) {
  drained_domains reader;
  reader.follow();
  reader.apply_list(start, {1, 9}, std::vector{north});
  auto drained = reader.report(start + 300ms, 1).value();
  read(8, {});
  list.apply_report(1, drained, start + 1s);
  BOOST_TEST(list.contains(north));
  BOOST_TEST(!list.contains(south));
  BOOST_TEST((list.confirmation().age(start + 2s) == 1s));
  drained.revision = 6;
  drained.domains.items.clear();
  list.apply_report(1, drained, start + 3s);
  BOOST_TEST(list.contains(north));
  BOOST_TEST((list.confirmation().age(start + 3s) == 2s));
  // A restored store gives lower revisions out again.
  list.apply_report(2, drained, {});
  BOOST_TEST(!list.contains(north));
  BOOST_TEST(!reader.report(start, 2).has_value());
}

// Guards against a drain that ends because a restored store has lost its entry.
BOOST_AUTO_TEST_CASE(an_unsettled_list_ends_no_drain) {
  read(7, {north});
  list.apply_list(start, {2, 3}, std::vector{south},
                  drained_domains::completeness::partial);
  BOOST_TEST(list.contains(north));
  BOOST_TEST(list.contains(south));
  list.apply_list(start, {2, 4}, std::vector{south});
  BOOST_TEST(!list.contains(north));
}

// Guards against calls to the store by members whose reader reports, and
// against a drain that nobody reads after the reader has failed.
BOOST_AUTO_TEST_CASE(members_read_the_list_only_without_their_reader) {
  drained_list_situation now{true, false, 2300ms, 1400ms};
  BOOST_TEST(!drained_list_due(now, 5s));
  now.reader_silence = 1500ms;
  BOOST_TEST(drained_list_due(now, 5s));
  now = {true, false, 2500ms, 0ms};
  BOOST_TEST(drained_list_due(now, 5s));
  now = {true, true, 800ms, 0ms};
  BOOST_TEST(drained_list_due(now, 5s));
  BOOST_TEST(drained_list_due({}, 5s));
}

// Guards against a statement that leaves the regions of its route or its team.
BOOST_AUTO_TEST_CASE(both_restrictions_apply_to_a_statement) {
  read(7, {south});
  region_map regions;
  regions.add(north, region_id("eu"));
  regions.add(south, region_id("eu"));
  upstream_entry entry;
  warm_up budget;
  allowed_regions allowed;
  auto assess = [&](const domain_id& domain) {
    entry.domain = domain;
    return assess_availability(start, {entry, list, regions, budget, &allowed});
  };
  BOOST_TEST((assess(domain_id("unmapped")) == availability::available));
  BOOST_TEST((assess(south) == availability::drained));
  allowed.restrict_to(std::array{region_id("eu"), region_id("us")});
  BOOST_TEST((assess(north) == availability::available));
  BOOST_TEST((assess(domain_id("unmapped")) == availability::outside_regions));
  allowed.restrict_to({});
  BOOST_TEST((assess(north) == availability::available));
  allowed.restrict_to(std::array{region_id("us")});
  BOOST_TEST((assess(north) == availability::outside_regions));
}

BOOST_AUTO_TEST_SUITE_END()
