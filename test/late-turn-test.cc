#define BOOST_TEST_MODULE late_turn
#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

#include "proxy/peer-service.h"
#include "standin/process-address.h"
#include "standin/proxy/session-fixture.h"
#include "toucanmux/codec.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/proxy/peer-frame.h"

using namespace toucanmux;
using namespace toucanmux::standin;
using namespace std::chrono_literals;

namespace {

/// Delays one turn of the loop, as an instance on a small share of a core does,
/// and then runs a task before the other events of that turn are handled.
class turn_delay final : public descriptor_handler, public turn_end_hook {
 public:
  turn_delay(event_loop& loop, duration length, std::function<void()> task)
      : loop_(loop), length_(length), task_(std::move(task)) {
    loop_.watch(descriptor_, *this, false);
  }
  ~turn_delay() override {
    loop_.unwatch(descriptor_, *this);
    close(descriptor_);
  }
  turn_delay(const turn_delay&) = delete;
  turn_delay(turn_delay&&) = delete;
  turn_delay& operator=(const turn_delay&) = delete;
  turn_delay& operator=(turn_delay&&) = delete;

  /// Delays the next turn. Call it before that turn's other events occur.
  void schedule() { eventfd_write(descriptor_, 1); }
  void on_turn_end() override { schedule(); }
  void on_ready(std::uint32_t) override {
    eventfd_t count = 0;
    eventfd_read(descriptor_, &count);
    std::this_thread::sleep_for(length_);
    task_();
  }

 private:
  event_loop& loop_;
  int descriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  duration length_;
  std::function<void()> task_;
};

std::uint64_t stamp_of(instant at) {
  return static_cast<std::uint64_t>(at.time_since_epoch().count());
}

instant instant_of(std::uint64_t stamp) {
  return instant(duration(static_cast<std::int64_t>(stamp)));
}

/// A peer that sends one message during a delayed turn, and the answer to it.
class late_exchange {
 public:
  explicit late_exchange(session_fixture& fixture) : fixture_(fixture) {
    fixture.state.settings.peer_address = next_address();
    service_.emplace(fixture.state, peer_service::handlers{
                                        [] {}, [](const upstream_update&) {}});
  }

  template <class Message>
  peer_frame exchange(Message message) {
    std::optional<peer_frame> answer;
    udp_port port(fixture_.loop, next_address(),
                  [&](std::span<const char> bytes, const inet_address&) {
                    auto envelope = unpack_datagram(bytes);
                    answer = decode<peer_frame>(envelope.payload);
                  });
    const auto& to = fixture_.state.settings.peer_address;
    turn_delay delay(fixture_.loop, 5ms, [&] {
      message.stamp = stamp_of(boot_time());
      datagram out;
      out.from = member_id("edge-2");
      out.incarnation = 1;
      out.payload = encode(peer_frame{0, encode(peer_message(message))});
      port.send(pack(out), to);
    });
    delay.schedule();
    // Makes the port ready in the delayed turn.
    port.send("-", to);
    while (!answer) fixture_.loop.turn(20ms);
    return *answer;
  }

 private:
  session_fixture& fixture_;
  std::optional<peer_service> service_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(late_turns, session_fixture)

// Guards against stale reads behind a prober: with an age from the beginning of
// the prober's turn, the requesting instance took the sample for newer than it
// was, by the time for which the turn had run before the request was sent.
BOOST_AUTO_TEST_CASE(a_shared_position_is_not_taken_for_newer) {
  late_exchange peer(*this);
  auto sampled_at = loop.now();
  group().apply_sample(sampled_at, {1, 120});
  position_request request;
  request.groups.items.push_back(group().hash());
  auto answer = decode<peer_message>(peer.exchange(request).body);
  const auto& reply = std::get<position_reply>(answer);
  BOOST_REQUIRE(reply.positions.items.size() == 1U);
  auto age = std::chrono::milliseconds(reply.positions.items[0].age_ms);
  BOOST_TEST((instant_of(reply.echo) - age <= sampled_at));
}

// Guards against keys and leases that are used beyond their time: the ages of
// confirmations in a report count back from the echoed stamp in the same way.
BOOST_AUTO_TEST_CASE(reported_confirmations_are_not_taken_for_newer) {
  late_exchange peer(*this);
  auto confirmed_at = loop.now();
  state.confirmation.confirm(confirmed_at);
  renew_leases();
  peer_report request;
  request.wants_reply = true;
  auto frame = peer.exchange(request);
  auto answer = decode<peer_message>(frame.body);
  const auto& report = std::get<peer_report>(answer);
  auto echoed = instant_of(frame.echo);
  using std::chrono::milliseconds;
  BOOST_TEST((echoed - milliseconds(report.config_age_ms) <= confirmed_at));
  BOOST_TEST((echoed - milliseconds(report.leader_age_ms) <= confirmed_at));
}

// Guards against stale reads after a late turn: the required position must
// cover commits that were acknowledged while the turn was running.
BOOST_AUTO_TEST_CASE(a_required_position_counts_from_the_current_time) {
  auto caller = connect("stock");
  group().apply_sample(loop.now() - 1250ms, {1, 50});
  group().apply_sample(loop.now(), {1, 90});
  caller->request("QUERY 1 FETCH 1a4");
  turn_delay delay(loop, 200ms, [] {});
  loop.at_turn_end(delay);
  caller->request("QUERY 2 FETCH 1a4");
  for (const auto* database : {&first, &second, &third}) {
    for (const auto& line : database->received_lines()) {
      BOOST_TEST(line.find("QUERY 2 AFTER 1.50") == std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
