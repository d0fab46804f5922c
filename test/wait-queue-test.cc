#define BOOST_TEST_MODULE wait_queue
#include "proxy/admission/wait-queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <list>
#include <set>

#include "standin/proxy/session-fixture.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

namespace {

struct test_request final : link_request {
  test_request(const std::string& name, unsigned rank, duration time_left = 1s)
      : deadline_in(time_left) {
    team = team_id(name);
    priority = rank;
    requirements.leader_only = true;
  }
  void on_link(upstream_link& link) override {
    link_ = &link;
    served_as = ++served_count;
  }
  void on_refused(refusal_reason reason) override {
    unlink();
    refused = reason;
  }
  upstream_link* link_ = nullptr;
  std::optional<refusal_reason> refused;
  duration deadline_in;
  unsigned served_as = 0;  ///< Its number among all that got a connection.
  static inline unsigned served_count = 0;
};

/// Two connections to the leader, the least that an instance may open.
struct few_connections : session_fixture {
  few_connections() { limit_connections(); }
  void limit_connections() {
    group().set_policy({group().id(), 2, 0});
    group().set_members(
        std::make_shared<const std::vector<member_id>>(1, state.settings.self));
  }
  /// Gives the callers ten seconds, which no stall of the machine uses up.
  void allow_long_waits() {
    statement_timeout = 10s;
    configure({"key-1"});
    limit_connections();
  }
  void enqueue(test_request& request) {
    request.deadline = loop.now() + request.deadline_in;
    group().enqueue(request);
  }
  /// Starts statements whose answers are held, so that both connections are in
  /// use.
  std::vector<std::unique_ptr<line_client>> occupy() {
    std::vector<std::unique_ptr<line_client>> out;
    first.defer_answers = true;
    for (std::size_t i = 0; i < 2; ++i) {
      out.push_back(connect("orders"));
      out.back()->send("QUERY 1 PUT 1a4 x");
      while (first.executed().size() <= i) loop.turn(20ms);
    }
    return out;
  }
  /// Callers whose statements wait for a connection.
  std::vector<std::unique_ptr<line_client>> wait(std::size_t number) {
    std::vector<std::unique_ptr<line_client>> out;
    for (std::size_t i = 0; i < number; ++i) {
      out.push_back(connect("orders"));
      out.back()->send("QUERY w" + std::to_string(i) + " PUT 1a4 x");
    }
    while (group().queue_length() < number) loop.turn(20ms);
    return out;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(waiting, few_connections)

// Guards against a late, less urgent statement that finds a connection free
// before the waiting one gets it.
BOOST_AUTO_TEST_CASE(a_statement_takes_no_connection_of_a_more_urgent_one) {
  connect("orders")->request("QUERY 1 FETCH 1a4");
  test_request urgent("glaziers", 0);
  test_request late("glaziers", 2);
  enqueue(urgent);
  BOOST_TEST(!group().try_acquire(late));
  enqueue(late);
  while (!late.link_) loop.turn(20ms);
  BOOST_TEST(urgent.served_as < late.served_as);
  urgent.link_->release();
  late.link_->release();
}

// Guards against a connection that stays with its team while a more urgent
// statement of another team needs its place.
BOOST_AUTO_TEST_CASE(a_more_urgent_statement_gets_the_place_of_a_connection) {
  auto callers = occupy();
  first.send_deferred_answers();
  for (auto& caller : callers) caller->read_answer();
  test_request urgent("masons", 0);
  test_request late("glaziers", 2);
  enqueue(late);
  enqueue(urgent);
  BOOST_TEST(!group().try_acquire(late));
  while (!late.link_) loop.turn(20ms);
  BOOST_TEST(urgent.served_as < late.served_as);
  BOOST_TEST(urgent.served_as > 0U);
  urgent.link_->release();
  late.link_->release();
}

// Guards against a team that delays the others by the length of its queue, and
// against deadlines that are missed for the order of arrival.
BOOST_AUTO_TEST_CASE(teams_take_turns_and_each_goes_by_deadline) {
  wait_queue queue;
  test_request hot_1("hot", 1), hot_2("hot", 1), hot_3("hot", 1),
      small("small", 1);
  int left_s = 9;
  for (auto* each : {&hot_1, &hot_2, &hot_3, &small}) {
    each->cost = 20ms;
    each->deadline = instant{std::chrono::seconds(left_s--)};
    queue.push(*each);
  }
  std::vector<const link_request*> order;
  queue.for_each([&](link_request& each) { order.push_back(&each); });
  std::vector<const link_request*> expected{&small, &hot_3, &hot_2, &hot_1};
  BOOST_TEST((order == expected));
  expected.pop_back();
  BOOST_TEST((queue.served_before(hot_1) == expected));
  {
    test_request leaving("small", 0);
    queue.push(leaving);
  }
  BOOST_TEST(queue.size() == 4U);
}

// Guards against statements that wait for a leader that is gone.
BOOST_AUTO_TEST_CASE(all_are_refused_at_once_when_the_leader_goes) {
  auto occupier = occupy();
  auto callers = wait(6);
  group().record_not_leader(0);
  std::set<std::string> answers;
  for (auto& caller : callers) {
    auto answer = caller->read_answer();
    BOOST_TEST(answer.starts_with("ERR BUSY no database can serve this now"));
    answers.insert(answer);
  }
  // The retry times differ.
  BOOST_TEST(answers.size() > 1U);
  BOOST_TEST(first.executed().size() == 2U);
  auto metrics = state.metrics.text();
  BOOST_TEST(metrics.find("toucanmux_refusals_total{domain=\"a\",reason=\"no_"
                          "database\",route=\"leader\",team=\"glaziers\"} 6") !=
             std::string::npos);
}

// Guards against what a caller that has left still holds: its place in the
// queue, its token of the team's rate and its connection.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_frees_what_it_holds) {
  team_plan small{team_id("glaziers"), 0.1, 3, {"key-1"}};
  state.rate_limits.configure(loop.now(), std::span(&small, 1));
  auto occupier = occupy();
  auto waiting = wait(1);
  waiting[0]->close();
  while (group().queue_length() > 0) loop.turn(20ms);
  occupier[0]->close();
  loop.turn(20ms);
  first.send_deferred_answers();
  auto caller = connect("orders");
  BOOST_TEST(caller->request("QUERY 2 PUT 1a4 x").starts_with("ROW"));
  BOOST_TEST(caller->request("QUERY 3 PUT 1a4 x").find("rate") !=
             std::string::npos);
}

// Guards against refusals while the callers have the time to be served.
BOOST_AUTO_TEST_CASE(callers_are_served_as_long_as_their_deadlines_allow) {
  allow_long_waits();
  first.slow_work = 30ms;
  std::vector<std::unique_ptr<line_client>> callers;
  for (int i = 0; i < 40; ++i) {
    callers.push_back(connect("orders"));
    callers.back()->send("QUERY 1 FETCH slow");
  }
  for (auto& caller : callers)
    BOOST_TEST(caller->read_answer().starts_with("ROW"));
}

// Guards against writes that are refused for the work of replicas: of the reads
// ahead of it only those count that the leader is expected to run.
BOOST_AUTO_TEST_CASE(reads_ahead_delay_a_write_by_the_leaders_part_of_them) {
  std::list<test_request> reads;
  for (int i = 0; i < 30; ++i) {
    reads.emplace_back("glaziers", 0, 10s);
    reads.back().requirements.leader_only = false;
    enqueue(reads.back());
  }
  test_request read("glaziers", 1, 10s);
  read.requirements.leader_only = false;
  test_request write("glaziers", 1, 10s);
  BOOST_TEST(group().queue_length() == 30U);
  BOOST_TEST((group().estimate_finish(write).wait() <=
              group().estimate_finish(read).wait()));
}

// Guards against a second attempt that is refused sooner than a first one: the
// database loses the connection and accepts no other one for a moment.
BOOST_AUTO_TEST_CASE(a_repeated_read_waits_as_long_as_its_deadline_allows) {
  allow_long_waits();
  first.slow_work = 100ms;
  auto caller = connect("orders");
  caller->send("QUERY 1 FETCH slow");
  while (first.executed().empty()) loop.turn(20ms);
  first.connection_limit = 0;
  first.reset_connections();
  run_for(300ms);
  BOOST_TEST(!caller->has_received());
  first.connection_limit = 100;
  run_for(300ms);
  BOOST_TEST(caller->read_answer().starts_with("ROW"));
}

// Guards against statements that wait although they can't be served in time.
BOOST_AUTO_TEST_CASE(a_waiting_statement_is_refused_when_it_becomes_hopeless) {
  auto occupier = occupy();
  test_request waiting("glaziers", 1, 300ms);
  enqueue(waiting);
  group().tick();
  BOOST_TEST(!waiting.refused.has_value());
  waiting.deadline = loop.now() + 5ms;
  group().tick();
  BOOST_TEST((waiting.refused == refusal_reason::queue_too_long));
}

// Guards against internal retries that add to the load of a group whose
// databases refuse more and more.
BOOST_AUTO_TEST_CASE(reads_are_not_retried_while_refusals_increase) {
  connect("orders")->request("QUERY 1 FETCH 1a4");
  for (int i = 0; i < 100; ++i) state.read_retries.count_request(loop.now());
  first.error_code = second.error_code = third.error_code = "BUSY";
  auto caller = connect("stock");
  for (int i = 0; i < 10; ++i) caller->request("QUERY 2 FETCH 1a4");
  // Without the stop, each of 10 reads is tried at all three databases.
  std::size_t attempts = 0;
  for (const auto* database : {&first, &second, &third}) {
    const auto& lines = database->received_lines();
    attempts += static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [](const auto& line) {
          return line.find("QUERY 2") != std::string::npos;
        }));
  }
  BOOST_TEST(attempts < 20U);
  BOOST_TEST(state.read_retries.may_retry(loop.now()));
}

BOOST_AUTO_TEST_SUITE_END()
