#define BOOST_TEST_MODULE http_connection
#include "connection/http-connection.h"

#include <QCoreApplication>
#include <boost/test/unit_test.hpp>

#include "process/clock.h"
#include "standin/database-fixture.h"
#include "standin/slow-peer.h"

using namespace toucanmux;
using namespace toucanmux::standin;

namespace {

constexpr std::string_view request = "GET / HTTP/1.1\r\n\r\n";
constexpr std::size_t body_bytes = 4U << 20U;

struct application {
  int count = 0;
  QCoreApplication core{count, nullptr};
};

/// A caller that takes its responses slowly, and its connection.
struct slow_caller {
  void start_request() {
    caller.send(request);
    wait_until([&] { return request_count == 1; });
  }

  void respond(bool close = false) {
    http_response response;
    response.body = std::string(body_bytes, 'x');
    response.close = close;
    connection.respond(std::move(response));
  }

  void start_response() {
    start_request();
    respond();
  }

  bool whole_response_received() const {
    auto header_end = caller.received().find("\r\n\r\n");
    if (header_end == std::string::npos) return false;
    return caller.received().size() - header_end - 4 == body_bytes;
  }

  slow_peer caller;
  http_limits limits;
  int request_count = 0;
  bool closed = false;
  http_connection connection{
      caller.other_end(), limits,
      [this](http_connection&, http_request&&) { ++request_count; },
      [this](http_connection&) { closed = true; }};
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

BOOST_AUTO_TEST_SUITE(closing)

// Guards against a stop that closes connections whose response is still being
// sent.
BOOST_FIXTURE_TEST_CASE(a_drain_delivers_a_response_that_is_partly_sent,
                        slow_caller) {
  start_response();
  connection.drain();
  read_to_end(caller);
  BOOST_TEST(whole_response_received());
  BOOST_TEST(!caller.was_reset());
  caller.close();
  wait_until([&] { return closed; });
}

// Guards against a drain that closes the connection of an ended transaction
// before the response is delivered.
BOOST_FIXTURE_TEST_CASE(a_release_delivers_a_response_that_is_partly_sent,
                        slow_caller) {
  connection.hold();
  start_response();
  connection.drain();
  connection.release();
  read_to_end(caller);
  BOOST_TEST(whole_response_received());
}

// Guards against a drain during the last response, after which the connection
// closes by itself.
BOOST_FIXTURE_TEST_CASE(a_drain_delivers_a_last_response, slow_caller) {
  start_request();
  respond(true);
  connection.drain();
  read_to_end(caller);
  BOOST_TEST(whole_response_received());
}

// Guards against an idle timeout that cuts off a response.
BOOST_FIXTURE_TEST_CASE(an_idle_timeout_delivers_the_response, slow_caller) {
  start_response();
  connection.enforce_timeouts(now() + limits.idle_timeout);
  read_to_end(caller);
  BOOST_TEST(whole_response_received());
}

// Guards against a limit on the whole time of a response instead of on the time
// without progress.
BOOST_FIXTURE_TEST_CASE(a_slow_reader_gets_its_response, slow_caller) {
  constexpr std::size_t part_bytes = body_bytes / 8;
  start_response();
  connection.drain();
  auto time = now();
  while (!caller.ended() && !whole_response_received()) {
    auto wanted = caller.received().size() + part_bytes;
    wait_until([&] {
      caller.read();
      return caller.ended() || caller.received().size() >= wanted;
    });
    time += limits.send_timeout;
    connection.enforce_timeouts(time);
  }
  BOOST_TEST(whole_response_received());
}

// Guards against callers that keep a stopping process running by taking no
// bytes.
BOOST_FIXTURE_TEST_CASE(a_caller_that_takes_nothing_is_closed, slow_caller) {
  constexpr int max_checks = 100;
  start_response();
  connection.drain();
  auto time = now();
  for (int i = 0; i < max_checks && !closed; ++i) {
    time += limits.send_timeout;
    connection.enforce_timeouts(time);
    QCoreApplication::processEvents();
  }
  BOOST_TEST(closed);
}

// Guards against callers that keep a stopping process running by leaving their
// side open.
BOOST_FIXTURE_TEST_CASE(a_caller_that_does_not_close_is_closed, slow_caller) {
  connection.drain();
  read_to_end(caller);
  BOOST_TEST(!closed);
  connection.enforce_timeouts(now() + limits.close_timeout);
  wait_until([&] { return closed; });
}

// Guards against requests that run although no response can follow.
BOOST_FIXTURE_TEST_CASE(a_request_after_the_last_response_is_not_run,
                        slow_caller) {
  start_request();
  respond(true);
  read_to_end(caller);
  caller.send(request);
  caller.finish();
  wait_until([&] { return closed; });
  BOOST_TEST(request_count == 1);
  BOOST_TEST(whole_response_received());
}

BOOST_AUTO_TEST_SUITE_END()
