#define BOOST_TEST_MODULE entry_thread
#include "process/entry-thread.h"

#include <QCoreApplication>
#include <boost/test/unit_test.hpp>

#include "standin/database-fixture.h"
#include "standin/slow-peer.h"

using namespace toucanmux;
using namespace toucanmux::standin;

namespace {

constexpr int request_count = 400;
constexpr std::string_view request =
    "POST /v1/orders/read HTTP/1.1\r\nContent-Length: 18\r\n\r\n"
    R"({"sql":"select 1"})";
constexpr std::string_view response_start = "HTTP/1.1 ";

struct application {
  int count = 0;
  QCoreApplication core{count, nullptr};
};

entry_settings make_settings() {
  entry_settings out;
  out.request_timeout = std::chrono::seconds(10);
  out.idle_timeout = std::chrono::minutes(10);
  out.session_key = std::string(32, 'k');
  return out;
}

/// An entry without databases, which refuses all requests.
struct entry_fixture {
  double answered_count() {
    double out = 0;
    for (const auto& family : registry.Collect()) {
      for (const auto& metric : family.metric) out += metric.counter.value;
    }
    return out;
  }

  prometheus::Registry registry;
  statement_metrics metrics{registry};
  entry_settings settings = make_settings();
  entry_thread entry{settings, [](const team_id&, auto) {}, metrics};
};

int count_responses(std::string_view text) {
  int count = 0;
  auto at = text.find(response_start);
  for (; at != std::string_view::npos; ++count) {
    at = text.find(response_start, at + response_start.size());
  }
  return count;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

// Guards against a process that ends while responses wait for a slow caller.
BOOST_FIXTURE_TEST_CASE(an_entry_is_idle_once_its_responses_are_delivered,
                        entry_fixture) {
  slow_peer caller;
  entry.adopt(caller.other_end());
  std::string requests;
  for (int i = 0; i < request_count; ++i) requests += request;
  caller.send(requests);
  wait_until([&] {
    caller.send();
    return answered_count() == request_count;
  });
  entry.drain();
  wait_until([&] {
    caller.read();
    return caller.ended() || entry.idle();
  });
  BOOST_TEST(!entry.idle());
  BOOST_TEST(count_responses(caller.received()) == request_count);
  caller.close();
  wait_until([&] { return entry.idle(); });
}
