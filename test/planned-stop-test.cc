#define BOOST_TEST_MODULE planned_stop
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "proxy/proxy-process.h"
#include "standin/proxy/busy-caller.h"
#include "standin/proxy/process-fixture.h"
#include "standin/proxy/session-fixture.h"
#include "standin/proxy/slow-caller.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

namespace {

// Rows of 256 KiB: answers larger than the buffers of the system, and smaller.
constexpr unsigned beyond_buffers = 24;
constexpr unsigned within_buffers = 1;

struct stop_fixture : process_fixture {
  /// Turns the loop until the process stops; databases take a while to answer.
  void run_until_stopped() {
    while (!loop.stopped()) {
      first.defer_answers = true;
      auto end = boot_time() + 20ms;
      while (boot_time() < end && !loop.stopped()) loop.turn(5ms);
      first.send_deferred_answers();
    }
    // What the process has sent at its end arrives.
    process.reset();
    for (int i = 0; i < 20; ++i) loop.turn(5ms);
  }

  /// Opens a session and gets an answer of this size ready, which its caller
  /// does not read.
  std::unique_ptr<slow_caller> request_large_answer(unsigned rows) {
    first.large_rows = rows;
    auto caller = std::make_unique<slow_caller>(settings.caller_address);
    caller->send_line("CONNECT orders key-1");
    caller->send_line("QUERY 1 FETCH large");
    run_until([&] {
      caller->send();
      return caller->all_sent() && first.executed().size() == 1;
    });
    run_for(200ms);
    return caller;
  }
};

struct stopping_session_fixture : session_fixture {
  void stop_began(duration ago) { state.stop.begin(loop.now() - ago, 6s); }
};

// From the signal until operations are refused; until statements are, which
// take up to 600 ms.
constexpr duration closing = 2500ms;
constexpr duration ending = 4900ms;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(processes, stop_fixture)

// Guards against a stop that passes statements on to databases until the end
// and then closes their sessions without an answer.
BOOST_AUTO_TEST_CASE(a_stop_answers_the_statements_of_busy_sessions) {
  run_until([&] { return ready(); });
  std::vector<std::unique_ptr<busy_caller>> callers;
  callers.reserve(6);
  for (int i = 0; i < 6; ++i) {
    callers.push_back(std::make_unique<busy_caller>(
        loop, settings.caller_address, i % 2 == 0));
  }
  run_until([&] {
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
      return caller->answered() > 2;
    });
  });
  std::raise(SIGTERM);
  run_until_stopped();
  for (const auto& caller : callers) {
    BOOST_TEST(caller->closed());
    BOOST_TEST(!caller->cut_off());
  }
}

// Guards against a stop that closes a session without saying that the outcome
// of its statement is unknown.
BOOST_AUTO_TEST_CASE(a_stop_answers_what_a_database_does_not) {
  auto config = config_spec(5, "key-1");
  config.replace(config.find("800"), 3, "9000");
  store.put("config", "main", config);
  run_until([&] { return ready(); });
  auto caller = connect();
  caller->request("QUERY 1 PUT 1a4 x");
  first.silent = true;
  caller->send("QUERY 2 PUT 1a4 y");
  caller->send("QUERY 3 PUT 1a4 z");
  std::raise(SIGTERM);
  BOOST_TEST(starts_with(caller->read_answer(), "ERR UNKNOWN"));
  BOOST_TEST(starts_with(caller->read_answer(), "ERR BUSY"));
  run_until([&] { return loop.stopped() && caller->closed(); });
}

// Guards against a stop that closes a session, or ends the process, while an
// answer is still being sent.
BOOST_AUTO_TEST_CASE(a_stop_sends_the_answers_that_a_slow_caller_awaits) {
  run_until([&] { return ready(); });
  auto caller = request_large_answer(beyond_buffers);
  std::raise(SIGTERM);
  run_for(settings.shutdown_timeout / 2 + 500ms);
  BOOST_TEST(!loop.stopped());
  run_until([&] {
    caller->read();
    return loop.stopped() || caller->ended();
  });
  BOOST_TEST(caller->ended());
  BOOST_TEST(!caller->was_reset());
  BOOST_TEST(caller->answers() == 2U);
}

// Guards against a stop that ends a session, and discards its next statement,
// while the caller has yet to read answers that the system holds for it.
BOOST_AUTO_TEST_CASE(a_statement_of_a_caller_behind_on_reading_is_refused) {
  run_until([&] { return ready(); });
  auto caller = request_large_answer(within_buffers);
  std::raise(SIGTERM);
  run_for(settings.shutdown_timeout / 2 + 500ms);
  caller->send_line("QUERY 9 PUT 1a4 x");
  run_for(100ms);
  run_until([&] {
    caller->read();
    return loop.stopped() || caller->ended();
  });
  BOOST_TEST(caller->ended());
  BOOST_TEST(caller->answers() == 3U);
  BOOST_TEST(first.log_end == 100U);
}

// Guards against a stop that discards what the instance did not read while its
// caller took no answers.
BOOST_AUTO_TEST_CASE(statements_behind_an_unread_answer_are_refused) {
  run_until([&] { return ready(); });
  auto caller = request_large_answer(beyond_buffers);
  caller->send_line("QUERY 2 PUT 1a4 x");
  run_for(100ms);
  for (int i = 3; i < 6; ++i) {
    caller->send_line("QUERY " + std::to_string(i) + " PUT 1a4 " +
                      std::string(600'000, 'x'));
  }
  run_until([&] {
    caller->send();
    return caller->all_sent();
  });
  std::raise(SIGTERM);
  run_for(settings.shutdown_timeout / 2 + 500ms);
  run_until([&] {
    caller->read();
    return loop.stopped() || caller->ended();
  });
  BOOST_TEST(caller->answers() == 6U);
  BOOST_TEST(!caller->was_reset());
  BOOST_TEST(first.log_end == 100U);
}

// Guards against answers that are lost without a trace: their caller's
// connection failed.
BOOST_AUTO_TEST_CASE(answers_lost_with_their_connection_are_counted) {
  run_until([&] { return ready(); });
  request_large_answer(beyond_buffers).reset();
  std::string metrics;
  for (int i = 0; i < 100 && metrics.empty(); ++i) {
    slow_caller probe(settings.readiness_address);
    probe.send("GET /metrics HTTP/1.1\r\n\r\n");
    run_for(100ms);
    probe.read();
    auto found = probe.received().find("{name=\"answers_cut\"} 1\n");
    if (found != std::string::npos) metrics = probe.received();
  }
  BOOST_TEST(!metrics.empty());
}

// Guards against a caller that can't tell whether its write ran: it was sent
// just before the stop closed the session.
BOOST_AUTO_TEST_CASE(a_statement_that_crosses_the_close_is_refused) {
  run_until([&] { return ready(); });
  slow_caller caller(settings.caller_address);
  caller.send_line("CONNECT orders key-1");
  run_for(100ms);
  std::raise(SIGTERM);
  run_until([&] {
    caller.read();
    return caller.ended();
  });
  caller.send_line("QUERY 1 PUT 1a4 x");
  run_for(100ms);
  caller.read();
  BOOST_TEST(caller.received().find("ERR BUSY this instance stops") !=
             std::string::npos);
  BOOST_TEST(!caller.was_reset());
  BOOST_TEST(caller.answers() == 1U);
  BOOST_TEST(first.log_end == 100U);
}

// Guards against a session that ends behind a refusal while more statements
// have arrived: they don't fit in one read.
BOOST_AUTO_TEST_CASE(statements_behind_a_refused_one_are_refused) {
  run_until([&] { return ready(); });
  slow_caller caller(settings.caller_address);
  auto run_until_answered = [&](unsigned count) {
    run_until([&] {
      caller.read();
      return caller.answers() >= count || caller.ended();
    });
  };
  caller.send_line("CONNECT orders key-1");
  caller.send_line("QUERY 1 BEGIN");
  caller.send_line("QUERY 2 PUT 1a4 x");
  run_until_answered(3);
  std::raise(SIGTERM);
  run_for(settings.shutdown_timeout / 2 + 100ms);
  const std::string rollback = "QUERY 3 ROLLBACK\r\n";
  std::string refused = "QUERY 4 PUT 1a4 ";
  refused += std::string(16'384 - 2 - rollback.size() - refused.size(), 'x');
  caller.send_line(rollback + refused + "\r\nQUERY 5 PUT 1a4 x");
  run_until_answered(6);
  BOOST_TEST(caller.answers() == 6U);
  BOOST_TEST(first.log_end == 100U);
}

// Guards against a stop that outlasts its timeout since the loop was busy when
// the signal was raised.
BOOST_AUTO_TEST_CASE(a_stop_counts_from_the_signal) {
  run_until([&] { return ready(); });
  // Takes no answers, so that the process runs for as long as it may.
  auto slow = request_large_answer(beyond_buffers);
  auto caller = connect();
  std::raise(SIGTERM);
  auto timeout_ends = boot_time() + settings.shutdown_timeout;
  std::this_thread::sleep_for(settings.shutdown_timeout / 2 + 10ms);
  // Sent as the signal is handled, before the stop closes idle sessions.
  caller->send("QUERY 1 PUT 1a4 x");
  loop.turn(0ms);
  auto answer = caller->read_answer();
  BOOST_TEST(starts_with(answer, "ERR BUSY this instance stops"));
  BOOST_TEST(answer.find("|READY ") != std::string::npos);
  instant running_at;
  while (!loop.stopped()) {
    running_at = loop.now();
    loop.turn(20ms);
  }
  // The first turn that begins after the timeout ends the process, however late
  // it begins.
  BOOST_TEST((running_at < timeout_ends));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(sessions, stopping_session_fixture)

// Guards against a stop that holds callers whose work it can't take any more.
BOOST_AUTO_TEST_CASE(a_stopping_instance_refuses_sessions_and_operations) {
  auto caller = connect("orders");
  stop_began(closing);
  auto late = std::make_unique<line_client>(loop, address());
  late->send("CONNECT orders key-1");
  while (!late->closed()) loop.turn(20ms);
  BOOST_TEST(late->first_line().starts_with("ERR BUSY this instance stops"));
  BOOST_TEST(caller->request("QUERY 1 PUT 1a4 x")
                 .starts_with("ERR BUSY this instance stops"));
  while (!caller->closed()) loop.turn(20ms);
  BOOST_TEST(first.log_end == 100U);
}

// Guards against a session that is closed while a statement is unanswered in
// its buffer.
BOOST_AUTO_TEST_CASE(a_pipelined_statement_is_answered_before_the_close) {
  auto caller = connect("orders");
  caller->request("QUERY 1 PUT 1a4 x");
  first.defer_answers = true;
  caller->send("QUERY 2 PUT 1a4 y");
  caller->send("QUERY 3 PUT 1a4 z");
  while (first.log_end < 102) loop.turn(20ms);
  stop_began(closing);
  first.send_deferred_answers();
  BOOST_TEST(caller->read_answer().starts_with("ROW"));
  BOOST_TEST(caller->read_answer().starts_with("ERR BUSY"));
  while (!caller->closed()) loop.turn(20ms);
  BOOST_TEST(first.log_end == 102U);
}

BOOST_AUTO_TEST_CASE(an_open_transaction_may_end_before_statements_do) {
  auto caller = connect("orders");
  caller->request("QUERY 1 BEGIN");
  caller->request("QUERY 2 PUT 1a4 x");
  stop_began(closing);
  BOOST_TEST(caller->request("QUERY 3 PUT 1a4 y").starts_with("ROW"));
  BOOST_TEST(caller->request("QUERY 4 COMMIT").starts_with("DONE"));
  BOOST_TEST(first.log_end == 101U);
}

// Guards against a commit that is sent too late for its answer to arrive.
BOOST_AUTO_TEST_CASE(a_late_commit_is_not_sent) {
  auto caller = connect("orders");
  caller->request("QUERY 1 BEGIN");
  caller->request("QUERY 2 PUT 1a4 x");
  stop_began(ending);
  BOOST_TEST(caller->request("QUERY 3 COMMIT").starts_with("ERR ABORTED"));
  BOOST_TEST(first.log_end == 100U);
}

// Guards against a statement that follows its begin after statements have
// ended.
BOOST_AUTO_TEST_CASE(a_statement_behind_a_slow_begin_is_not_sent) {
  auto caller = connect("orders");
  caller->request("QUERY 1 BEGIN");
  first.defer_begins = true;
  caller->send("QUERY 2 PUT 1a4 x");
  auto sent_begin = [&] {
    return std::any_of(
        first.received_lines().begin(), first.received_lines().end(),
        [](const auto& line) { return line.ends_with("QUERY - BEGIN"); });
  };
  while (!sent_begin()) loop.turn(20ms);
  stop_began(ending);
  first.send_deferred_answers();
  BOOST_TEST(caller->read_answer().starts_with("ERR ABORTED"));
  BOOST_TEST(caller->request("QUERY 3 ROLLBACK").starts_with("DONE"));
  BOOST_TEST(first.executed().empty());
}

BOOST_AUTO_TEST_SUITE_END()
