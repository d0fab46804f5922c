#define BOOST_TEST_MODULE pool_thread
#include "process/pool-thread.h"

#include <QCoreApplication>
#include <QThread>
#include <QtEndian>
#include <boost/test/unit_test.hpp>

#include "connection/delivery-watch.h"
#include "process/clock.h"
#include "standin/database-fixture.h"
#include "standin/slow-peer.h"
#include "toucanmux/codec.h"

using namespace toucanmux;
using namespace toucanmux::standin;

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = 13;
constexpr std::size_t hint_bytes = 1U << 20U;

struct application {
  int count = 0;
  QCoreApplication core{count, nullptr};
};

std::string make_frame(const link_message& message) {
  std::string frame(header_bytes, '\0');
  encode_to(frame, message);
  qToBigEndian(static_cast<quint32>(frame.size() - length_bytes), frame.data());
  frame[length_bytes] = static_cast<char>(link_version);
  return frame;
}

/// @return the ids of the answers whose frames have arrived whole.
std::vector<std::uint64_t> answered_ids(std::string_view bytes) {
  std::vector<std::uint64_t> out;
  while (bytes.size() >= header_bytes) {
    auto size = qFromBigEndian<quint32>(bytes.data()) + length_bytes;
    if (bytes.size() < size) break;
    auto message = decode<link_message>(
        std::span(bytes).subspan(header_bytes, size - header_bytes));
    if (const auto* one = std::get_if<answer>(&message)) out.push_back(one->id);
    bytes.remove_prefix(size);
  }
  return out;
}

/// A pool without databases, which refuses all statements, and an entry that is
/// slow to take the pool's messages.
struct pool_fixture {
  pool_fixture() {
    pool->adopt(entry.other_end());
    group_state state;
    state.hint.group = group_id(std::string(hint_bytes, 'g'));
    pool->update(state);
    entry.send(make_frame(read_of("select 1")));
    pool->drain();
  }

  slow_peer entry;
  pool_settings settings;
  std::unique_ptr<pool_thread> pool =
      std::make_unique<pool_thread>(0, 1, settings, [](std::size_t, auto) {});
};

// A view in which the pool owns one database, which nobody listens for.
fleet_view_ptr view_with_unreachable_database(const member& pool) {
  database target;
  target.id = database_id("db1");
  target.domain = pool.domain;
  target.address = "127.0.0.1";
  target.port = 1;
  database_group group;
  group.id = group_id("ledger");
  group.primary = target.id;
  group.databases.push_back(target);
  boost::intrusive_ptr<fleet_view> out(new fleet_view);
  out->groups.emplace(group.id, group);
  out->pools.push_back(pool);
  out->choose_owners();
  return out;
}

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

// Guards against a pool that dies when a caller gives up a statement that still
// waits: the refusal arrives while the cancellation is handled.
BOOST_AUTO_TEST_CASE(waiting_statements_can_be_cancelled) {
  pool_settings settings;
  settings.process.self.id = member_id("pool-1");
  settings.process.self.domain = domain_id("norte");
  settings.process.self.role = member_role::pool;
  pool_thread pool(0, 1, settings, [](std::size_t, auto) {});
  pool.update(view_with_unreachable_database(settings.process.self));
  slow_peer entry;
  pool.adopt(entry.other_end());
  constexpr std::uint64_t statements = 20;
  std::string frames;
  for (std::uint64_t id = 1; id <= statements; ++id) {
    auto request = read_of("select 1");
    request.id = id;
    request.group = group_id("ledger");
    request.database = database_id("db1");
    request.time_left = std::chrono::seconds(5);
    frames += make_frame(request) + make_frame(cancel{id});
  }
  entry.send(frames);
  wait_until([&] {
    entry.read();
    return answered_ids(entry.received()).size() == statements;
  });
  BOOST_TEST(pool.idle(now()));
}

// Guards against a pool that ends while answers wait for a slow entry.
BOOST_FIXTURE_TEST_CASE(a_pool_is_idle_once_its_answers_are_sent,
                        pool_fixture) {
  wait_until([&] {
    bool idle = pool->idle(now());
    entry.read();
    return idle;
  });
  pool.reset();
  read_to_end(entry);
  auto ids = answered_ids(entry.received());
  BOOST_TEST_REQUIRE(ids.size() == 1U);
  BOOST_TEST(ids.front() == read_of("").id);
}

// Guards against a time limit for each of several slow entries in turn, which
// together outlast the stop of the pool.
BOOST_FIXTURE_TEST_CASE(entries_that_take_nothing_are_given_up_together,
                        pool_fixture) {
  slow_peer other;
  pool->adopt(other.other_end());
  other.send(make_frame(read_of("select 1")));
  auto time = now();
  for (int i = 0; i < 100; ++i) {
    QCoreApplication::processEvents();
    pool->idle(time);
    QThread::msleep(1);
  }
  BOOST_TEST(!pool->idle(time));
  BOOST_TEST(pool->idle(time + default_send_timeout));
}

// Guards against entries that keep a stopping pool running by taking no bytes.
BOOST_FIXTURE_TEST_CASE(an_entry_that_takes_nothing_does_not_keep_a_pool,
                        pool_fixture) {
  constexpr int max_checks = 100;
  auto time = now();
  int checks = 0;
  while (checks < max_checks && !pool->idle(time)) {
    QCoreApplication::processEvents();
    time += default_send_timeout;
    ++checks;
  }
  BOOST_TEST(checks > 0);
  BOOST_TEST(checks < max_checks);
}
