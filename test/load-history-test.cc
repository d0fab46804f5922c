#define BOOST_TEST_MODULE load_history
#include "process/load-history.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;
using std::chrono::milliseconds;

namespace {

load_settings one_team() {
  load_settings out;
  out.teams.push_back({team_id("norte"), "key", 10, 2, 5});
  return out;
}

load_call call_at(int sent_ms, int ended_ms, outcome_code result) {
  load_call out;
  out.sent_at = instant(milliseconds(sent_ms));
  out.ended_at = instant(milliseconds(ended_ms));
  out.answered = true;
  out.result = result;
  return out;
}

load_call write_of(const std::string& order_id, outcome_code result) {
  auto out = call_at(0, 1, result);
  out.kind = call_kind::write;
  out.order_id = order_id;
  return out;
}

std::uint64_t broken(const load_report& report, std::string_view promise) {
  for (const auto& one : report.promises) {
    if (one.promise == promise) return one.broken;
  }
  BOOST_FAIL("no such promise");
  return 0;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_run_without_faults_keeps_all_promises) {
  auto settings = one_team();
  load_history history(settings);
  history.add(write_of("a", outcome_code::done));
  history.add(write_of("b", outcome_code::not_run));
  auto report = history.report({{"a", 1}});
  BOOST_TEST(report.all_promises_kept());
}

BOOST_AUTO_TEST_CASE(a_lost_write_is_reported) {
  auto settings = one_team();
  load_history history(settings);
  history.add(write_of("a", outcome_code::done));
  auto report = history.report({});
  BOOST_TEST(broken(report, "no acknowledged write is lost") == 1U);
  BOOST_TEST(!report.all_promises_kept());
}

BOOST_AUTO_TEST_CASE(a_doubled_write_is_reported) {
  auto settings = one_team();
  load_history history(settings);
  history.add(write_of("a", outcome_code::unknown));
  auto report = history.report({{"a", 2}});
  BOOST_TEST(broken(report, "no write is doubled") == 1U);
}

BOOST_AUTO_TEST_CASE(a_refused_write_that_ran_is_reported) {
  auto settings = one_team();
  load_history history(settings);
  history.add(write_of("a", outcome_code::not_run));
  auto report = history.report({{"a", 1}});
  BOOST_TEST(broken(report, "a refusal that says not run is true") == 1U);
}

BOOST_AUTO_TEST_CASE(a_row_of_a_rolled_back_transaction_is_reported) {
  auto settings = one_team();
  load_history history(settings);
  auto call = write_of("a", outcome_code::done);
  call.rolled_back = true;
  history.add(std::move(call));
  auto report = history.report({{"a", 1}});
  BOOST_TEST(broken(report, "a transaction that rolled back left nothing") ==
             1U);
}

BOOST_AUTO_TEST_CASE(a_team_served_over_its_rate_is_reported) {
  auto settings = one_team();
  load_history history(settings);
  for (int i = 0; i < 4; ++i) history.add(call_at(0, 100, outcome_code::done));
  auto report = history.report({});
  BOOST_TEST(broken(report, "no team gets more than its rate and burst") > 0U);
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_that_still_works_is_reported) {
  auto settings = one_team();
  load_history history(settings);
  auto refused = call_at(0, 10, outcome_code::not_run);
  refused.error_kind = "key_refused";
  history.add(std::move(refused));
  history.add(call_at(6000, 6001, outcome_code::done));
  auto report = history.report({});
  BOOST_TEST(broken(report, "a withdrawn key stops working within seconds") ==
             1U);
}

BOOST_AUTO_TEST_CASE(a_refusal_within_the_rate_is_counted) {
  auto settings = one_team();
  load_history history(settings);
  auto refused = call_at(0, 1, outcome_code::not_run);
  refused.error_kind = "over_rate";
  history.add(std::move(refused));
  auto report = history.report({});
  BOOST_TEST(report.refused_in_rate_share == 1.0);
}
