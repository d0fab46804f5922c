#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>
#include <limits>
#include <map>
#include <random>

#include "proxy/peer-directory.h"
#include "proxy/placement/load-exchange.h"
#include "proxy/udp-port.h"
#include "standin/proxy/process-fixture.h"
#include "standin/proxy/session-fixture.h"
#include "toucanmux/codec.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/proxy/peer-frame.h"
#include "toucanmux/proxy/peer-message.h"
#include "toucanmux/proxy/placement/group-placement.h"
#include "toucanmux/proxy/placement/load-choice.h"
#include "toucanmux/proxy/placement/sent-loads.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

using kind = load_view::source_kind;

constexpr instant now{100s};

database_load load(std::uint32_t database, double in_flight,
                   double failed_rate = 0, double reads = 0,
                   duration latency = 20ms) {
  database_load out;
  out.database = database;
  out.in_flight = in_flight;
  out.failed_rate = failed_rate;
  out.reads = reads;
  out.latency = latency;
  return out;
}

std::vector<upstream_candidate> group() {
  std::vector<upstream_candidate> out(3);
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i].index = i;
    out[i].usable = out[i].warm = out[i].can_open = true;
    out[i].fleet_latency = 20ms;
    out[i].response_deviation = 10ms;
    out[i].late_after = 250ms;
    out[i].slots = 4;
  }
  out[0].leader = true;
  return out;
}

std::vector<ejection_policy::evidence> evidence(
    std::initializer_list<double> failed_rates) {
  std::vector<ejection_policy::evidence> out;
  for (auto rate : failed_rates) {
    auto database = static_cast<std::uint32_t>(out.size() + 1);
    out.push_back({database, true, load(database, 1, rate, 4),
                   load(database, 1, rate, 30)});
  }
  return out;
}

std::vector<int> draws(std::span<const upstream_candidate> candidates,
                       const upstream_requirements& requirements,
                       duration age) {
  std::vector<int> out(candidates.size());
  for (std::uint64_t seed = 0; seed < 1000; ++seed)
    ++out[choose_by_load(candidates, requirements, age, seed).value()];
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_entry_takes_eight_bytes_and_keeps_its_values) {
  auto sent = load(0xabcdef, 3.7, 0.45, 31, 52ms);
  sent.refused_rate = 0.1;
  sent.age = 740ms;
  auto bytes = encode(sent);
  // One byte of the encoding tells the byte order.
  BOOST_TEST(bytes.size() == 9U);
  auto got = decode<database_load>(bytes);
  BOOST_TEST(got.database == sent.database);
  BOOST_TEST(std::abs(got.in_flight / sent.in_flight - 1) < 0.03);
  BOOST_TEST(std::abs(got.failed_rate - sent.failed_rate) < 0.01);
  BOOST_TEST(std::abs(got.refused_rate - sent.refused_rate) < 0.01);
  BOOST_TEST(got.reads == sent.reads);
  BOOST_TEST((got.age == sent.age));
  BOOST_TEST((got.latency > 50ms && got.latency < 54ms));
}

// One malformed or false message must neither end a process nor dominate.
BOOST_AUTO_TEST_CASE(hostile_values_are_clamped) {
  auto bad = load(7, std::numeric_limits<double>::quiet_NaN(), -5, 1e300, -1s);
  bad.refused_rate = std::numeric_limits<double>::infinity();
  auto got = database_load::unpack(bad.packed());
  BOOST_TEST(got.in_flight == 0);
  BOOST_TEST(got.refused_rate == 1);
  std::mt19937_64 random(1);
  load_view view;
  for (int i = 0; i < 2000; ++i) {
    auto any = database_load::unpack(random());
    BOOST_TEST(any.refused_rate + any.failed_rate <= 1.0001);
    any.database = 1;
    view.apply(now, 1, kind::instance, std::vector{any, any});
    std::vector own{load(1, 0), load(2, 0)};
    auto loads = view.loads(now, own);
    BOOST_TEST(loads[0].in_flight <= 64);
    BOOST_TEST(loads[1].in_flight >= 0);
  }
  std::string list(1, '\1');  // The byte order.
  list.append(1, static_cast<char>(load_list::max_size + 2));
  BOOST_CHECK_THROW(decode<load_list>(list), protocol_error);
  BOOST_TEST(encode(load_list()).size() == 2U);
}

// Guards against loads that count twice: a report replaces the last one of its
// source, and a member's own load is part of its hub's sums.
BOOST_AUTO_TEST_CASE(no_load_counts_twice) {
  load_view hub;
  std::vector own{load(1, 1.5)};
  for (int i = 0; i < 3; ++i)
    hub.apply(now, 1, kind::instance, std::vector{load(1, 2)});
  hub.apply(now, 2, kind::domain, std::vector{load(1, 4)});
  BOOST_TEST(hub.loads(now, own)[0].in_flight == 7.5);
  BOOST_TEST(hub.sums(now, own, true)[0].in_flight == 7.5);
  BOOST_TEST(hub.sums(now, own, false)[0].in_flight == 3.5);
  sent_loads sent;
  sent.record(10, std::vector{load(1, 2)});
  sent.record(20, std::vector{load(1, 30)});
  // The hub had the first report only.
  auto peers = sent.peers_part(15, hub.sums(now, own, true));
  BOOST_TEST(std::abs(peers[0].in_flight - 5.5) < 0.1);
  BOOST_TEST(sent.peers_part(5, hub.sums(now, own, true))[0].in_flight == 7.5);
  // A database that the next report does not name is idle.
  hub.apply(now, 2, kind::domain, {});
  BOOST_TEST(hub.loads(now, own)[0].in_flight == 3.5);
}

BOOST_AUTO_TEST_CASE(old_loads_decay_to_the_mean_and_expire) {
  load_view view;
  view.apply(now, 1, kind::fleet, std::vector{load(1, 8), load(2, 2)});
  std::vector own{load(1, 0), load(2, 0), load(3, 0)};
  BOOST_TEST(view.loads(now + 1s, own)[0].in_flight == 8);
  // The other databases of the group are unknown to the view, hence idle.
  auto late = view.loads(now + 4s, own);
  BOOST_TEST(late[0].in_flight < 5);
  BOOST_TEST(late[0].in_flight > 10.0 / 3);
  BOOST_TEST(view.known(now + 4s));
  BOOST_TEST(!view.known(now + 6s));
}

BOOST_AUTO_TEST_CASE(fresh_information_decides_and_old_information_spreads) {
  auto candidates = group();
  candidates[0].leader = false;
  candidates[0].fleet_in_flight = 2;
  candidates[1].fleet_in_flight = 1;
  candidates[2].fleet_in_flight = 3;
  BOOST_TEST(draws(candidates, {}, 0ms)[1] == 1000);
  auto spread = draws(candidates, {}, 800ms);
  BOOST_TEST(spread[1] > spread[0]);
  BOOST_TEST(spread[0] > spread[2]);
  BOOST_TEST(spread[2] > 0);
}

BOOST_AUTO_TEST_CASE(reads_avoid_a_loaded_leader_and_writes_need_it) {
  auto candidates = group();
  for (auto& one : candidates) one.fleet_in_flight = 2;
  auto spread = draws(candidates, {}, 800ms);
  BOOST_TEST(spread[0] < spread[1]);
  BOOST_TEST(draws(candidates, {true, 0}, 800ms)[0] == 1000);
  candidates[0].read_share = 0;
  BOOST_TEST(draws(candidates, {}, 800ms)[0] == 0);
  BOOST_TEST(draws(candidates, {true, 0}, 800ms)[0] == 1000);
}

// Traffic between failure domains is expensive.
BOOST_AUTO_TEST_CASE(reads_stay_in_their_domain_unless_it_gives_them_away) {
  auto candidates = group();
  candidates[1].same_domain = true;
  candidates[1].fleet_in_flight = 1.2;
  BOOST_TEST(draws(candidates, {}, 800ms)[1] == 1000);
  candidates[1].shed_share = 0.4;
  auto spread = draws(candidates, {}, 800ms);
  BOOST_TEST(spread[1] > 500);
  BOOST_TEST(spread[1] < 700);
}

BOOST_AUTO_TEST_CASE(at_most_half_of_a_group_is_ejected) {
  ejection_policy ejections;
  BOOST_TEST(ejections.evaluate(now, evidence({0.6, 0.7, 0})).size() == 1U);
  BOOST_TEST(ejections.share(now, 2) == 0);
  BOOST_TEST(ejections.share(now, 1) == 1);
  ejection_policy all_fail;
  BOOST_TEST(all_fail.evaluate(now, evidence({0.6, 0.6, 0.6})).empty());
  ejection_policy two;
  two.evaluate(now, evidence({0.9, 0}));
  BOOST_TEST(two.ejected(now) == 1U);
  auto last = evidence({0, 0.9});
  last[0].usable = false;
  ejection_policy one;
  BOOST_TEST(one.evaluate(now, last).empty());
}

BOOST_AUTO_TEST_CASE(an_ejected_database_returns_slowly) {
  ejection_policy ejections;
  ejections.evaluate(now, evidence({0, 0.8, 0}));
  auto events = ejections.evaluate(now + 2s, evidence({0, 0, 0}));
  BOOST_TEST(events.size() == 1U);
  BOOST_TEST(!events[0].ejected);
  BOOST_TEST(ejections.share(now + 2s, 2) < 0.15);
  BOOST_TEST(ejections.share(now + 4500ms, 2) > 0.4);
  BOOST_TEST(ejections.share(now + 4500ms, 2) < 0.7);
  BOOST_TEST(ejections.share(now + 7s, 2) == 1);
  // A flapping database stays away for longer each time.
  auto again = ejections.evaluate(now + 6s, evidence({0, 0.8, 0}));
  BOOST_TEST((again[0].time == 4s));
}

// Own reads outweigh a false report of the peers, however large.
BOOST_AUTO_TEST_CASE(own_evidence_counts_more) {
  auto seen = evidence({0, 0, 0});
  seen[1].own = load(2, 1, 0, 20);
  seen[1].peers = load(2, 1, 0.85, 30000);
  ejection_policy ejections;
  BOOST_TEST(ejections.evaluate(now, seen).empty());
  seen[1].own.reads = 0;
  BOOST_TEST(ejections.evaluate(now, seen).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_slow_database_is_ejected_and_one_at_half_speed_is_not) {
  auto seen = evidence({0, 0, 0});
  seen[1].own.latency = seen[1].peers.latency = 40ms;
  ejection_policy ejections;
  BOOST_TEST(ejections.evaluate(now, seen).empty());
  seen[1].own.latency = seen[1].peers.latency = 200ms;
  BOOST_TEST(ejections.evaluate(now, seen).size() == 1U);
}

// Deployments without contention are served as before.
BOOST_AUTO_TEST_CASE(without_reports_the_choice_is_todays) {
  group_placement placement;
  auto candidates = group();
  candidates[1].in_flight = 3;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    auto chosen = placement.choose(now, candidates, {}, seed);
    BOOST_TEST((chosen == choose_upstream(candidates, {})));
  }
}

BOOST_FIXTURE_TEST_CASE(only_contended_deployments_send_loads,
                        standin::session_fixture) {
  load_exchange loads(state);
  loads.tick();
  BOOST_TEST(!loads.loads(peer_report::scope::self).has_value());
  state.contended = true;
  loads.tick();
  BOOST_TEST(loads.loads(peer_report::scope::self).has_value());
}

// Guards against reports of hubs that grow by more than a tenth.
BOOST_FIXTURE_TEST_CASE(loads_are_at_most_a_tenth_of_a_hubs_bytes,
                        standin::session_fixture) {
  using scope = peer_report::scope;
  state.contended = true;
  load_exchange exchange(state);
  peer domain_hub;
  peer_report sums;
  sums.loads.items.emplace();
  for (std::uint32_t i = 0; i < 24; ++i)
    sums.loads.items->push_back(load(i, 1));
  exchange.apply_domain(domain_id("b"), sums);
  std::vector<std::string> other_bytes{std::string(600, 'x')};
  std::size_t carried = 0;
  for (int i = 0; i < 100; ++i) {
    load_list list{exchange.loads(scope::fleet)};
    auto sent = other_bytes;
    sent[0].append(list.bytes(), 'x');
    carried += list.bytes();
    exchange.record_sent(scope::fleet, 1, list, sent);
  }
  BOOST_TEST(carried > 0U);
  BOOST_TEST(carried <= 100 * 600 / 10);
}

// Guards against a choice by the fleet's load that statements don't follow.
BOOST_FIXTURE_TEST_CASE(statements_follow_the_fleets_load,
                        standin::session_fixture) {
  load_view view;
  auto reference = [](const char* id) {
    return database_reference("ledger", id);
  };
  std::vector reported{load(reference("i-1"), 3), load(reference("i-2"), 0),
                       load(reference("i-3"), 40)};
  view.apply(loop.now(), 1, kind::fleet, reported);
  group().update_placement(&view);
  BOOST_TEST(group().placement().databases()[2].load_ratio > 2);
  // A statement makes the leader's position known, which reads at replicas
  // need.
  auto leader = connect("orders");
  leader->request("QUERY 0a BEGIN");
  leader->request("QUERY 0b FETCH 1a4");
  auto caller = connect("stock");
  for (int i = 0; i < 20; ++i) caller->request("QUERY 2 FETCH 1a4");
  BOOST_TEST(third.executed().size() <= 2U);
  BOOST_TEST(second.executed().size() >= 10U);
  group().update_placement(nullptr);
  BOOST_TEST(group().placement().databases().empty());
}

// The load is learned from statements and reports alone.
BOOST_FIXTURE_TEST_CASE(no_database_is_probed_for_its_load,
                        standin::session_fixture) {
  load_view view;
  view.apply(loop.now(), 1, kind::fleet,
             std::vector{load(database_reference("ledger", "i-2"), 9)});
  group().update_placement(&view);
  run_for(600ms);
  BOOST_TEST(second.received_lines().empty());
  BOOST_TEST(third.received_lines().empty());
}

// Guards against loads in the reports of deployments that are not contended,
// and against their absence in the others.
BOOST_FIXTURE_TEST_CASE(reports_carry_loads_under_contention,
                        standin::process_fixture) {
  run_until([&] { return ready(); });
  std::map<std::string, bool> carried;
  auto address = standin::next_address();
  udp_port observer(
      loop, address, [&](std::span<const char> bytes, const auto&) {
        auto envelope = unpack_datagram(bytes);
        auto frame = decode<peer_frame>(envelope.payload);
        auto message = decode<peer_message>(frame.body);
        const auto* report = std::get_if<peer_report>(&message);
        if (!report || !report->is_first_part) return;
        carried[envelope.from.value] = report->loads.items.has_value();
      });
  // The observer's record in the store is that of the first instance with
  // another address.
  auto record = store.spec("toucanmux-members", "edge-1");
  auto own = to_text(settings.peer_address);
  record.replace(record.find(own), own.size(), to_text(address));
  store.put("toucanmux-members", "edge-9", record);
  settings.pressure = true;
  auto contended = start_second_instance(store.address());
  run_until([&] { return carried.size() == 2; });
  run_until([&] { return carried["edge-2"]; });
  BOOST_TEST(!carried["edge-1"]);
}
