#define BOOST_TEST_MODULE upstream_connection
#include "connection/upstream-connection.h"

#include <QCoreApplication>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "standin/database-fixture.h"
#include "toucanmux/connection/upstream-sql.h"

using namespace toucanmux;
using namespace toucanmux::standin;

namespace toucanmux {

std::ostream& operator<<(std::ostream& out, outcome how) {
  return out << to_string(how);
}
std::ostream& operator<<(std::ostream& out, reason why) {
  return out << to_string(why);
}

}  // namespace toucanmux

namespace {

constexpr std::string_view create_orders =
    "create table orders (id integer primary key, what text)";
constexpr std::string_view count_orders = "select count(*) from orders";
constexpr unsigned for_ever_ms = 3'600'000;

struct application {
  int count = 0;
  QCoreApplication core{count, nullptr};
};

/// A group with the table that the tests write to.
struct orders : database_fixture {
  explicit orders(const database_settings& settings = defaults())
      : database_fixture(settings), primary(connect("db1")) {
    BOOST_REQUIRE(run(*primary, write_of(create_orders)).how == outcome::done);
  }

  void reload_with(upstream_connection& on, const std::string& sql) {
    BOOST_REQUIRE(query(on, sql).ok);
    BOOST_REQUIRE(query(on, upstream_sql::reload).ok);
  }

  /// Starts a statement and waits until its service time runs.
  void start_slowly(const statement& what) {
    cluster.inject_fault(
        {{"database", "db1"}, {"fault", "service_time"}, {"ms", for_ever_ms}});
    start(what);
    wait_until([&] { return state("db1")["running"] == 1; });
  }

  /// Starts a write and waits until it is in the primary's log.
  void start_unacknowledged(const statement& what) {
    auto before = state("db1")["lsn"];
    start(what);
    wait_until([&] {
      auto now = state("db1");
      return now["lsn"] > before && now["waiting"] > 0;
    });
    BOOST_TEST(!got.has_value());
  }

  void start(const statement& what) {
    got.reset();
    primary->run(what, false, [this](answer result) {
      ++answers;
      got = std::move(result);
    });
  }

  const answer& ended() {
    wait_until([&] { return got.has_value(); });
    return *got;
  }

  void cut_replicas() {
    inject_fault("db2", "cut");
    inject_fault("db3", "cut");
  }

  void heal_replicas() {
    inject_fault("db2", "heal");
    inject_fault("db3", "heal");
  }

  std::unique_ptr<upstream_connection> primary;
  std::optional<answer> got;
  int answers = 0;
};

const auto insert_one = write_of("insert into orders values (1, 'glass')");

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

BOOST_AUTO_TEST_SUITE(answers)

BOOST_FIXTURE_TEST_CASE(a_write_is_on_a_replica_that_covers_it, orders) {
  auto written = run(*primary, insert_one);
  BOOST_TEST(written.how == outcome::done);
  BOOST_TEST(written.id == 7U);
  BOOST_TEST(written.position.term == 1U);
  BOOST_TEST(written.result ==
             R"({"columns":[],"rows":[],"tag":"INSERT 0 1"})");
  auto replica = connect("db2");
  answer seen;
  wait_until([&] {
    seen =
        run(*replica, read_of("select * from orders", written.position), true);
    return seen.how != outcome::behind;
  });
  BOOST_TEST(seen.how == outcome::done);
  BOOST_TEST(seen.from_replica);
  BOOST_TEST(seen.position.covers(written.position));
  BOOST_TEST(seen.result == R"({"columns":["id","what"],"rows":[[1,"glass"]],)"
                            R"("tag":"SELECT 1"})");
}

BOOST_FIXTURE_TEST_CASE(a_replica_that_is_short_is_behind, orders) {
  auto replica = connect("db2");
  inject_fault("db2", "cut");
  auto written = run(*primary, insert_one);
  auto seen =
      run(*replica, read_of("select * from orders", written.position), true);
  BOOST_TEST(seen.how == outcome::behind);
  BOOST_TEST(seen.result.empty());
  BOOST_TEST(!seen.position.covers(written.position));
  // What it lacks may make the statement fail, which says nothing.
  seen = run(*replica, read_of("select * from none", written.position), true);
  BOOST_TEST(seen.how == outcome::behind);
}

BOOST_FIXTURE_TEST_CASE(a_primary_of_an_earlier_term_is_behind, orders) {
  BOOST_TEST(run(*primary, read_of(count_orders, {1, 0})).how == outcome::done);
  BOOST_TEST(run(*primary, read_of(count_orders, {2, 0})).how ==
             outcome::behind);
  auto begin = step_of(statement_step::begin);
  begin.required = {2, 0};
  BOOST_TEST(run(*primary, begin).how == outcome::behind);
  BOOST_TEST(run(*primary, read_of(count_orders)).how == outcome::done);
}

BOOST_FIXTURE_TEST_CASE(a_primary_of_a_later_term_has_all, orders) {
  auto far = read_of(count_orders, {0, ~std::uint64_t{0}});
  BOOST_TEST(run(*primary, far).how == outcome::done);
  auto replica = connect("db2");
  BOOST_TEST(run(*replica, far, true).how == outcome::behind);
}

BOOST_FIXTURE_TEST_CASE(a_read_writes_nothing, orders) {
  auto seen = run(*primary, read_of(insert_one.sql));
  BOOST_TEST(seen.how == outcome::failed);
  BOOST_TEST(seen.sql_state == "25006");
  seen = run(*primary, read_of(count_orders));
  BOOST_TEST(seen.result.find("[[0]]") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_write_on_a_replica_is_not_run, orders) {
  auto replica = connect("db2");
  auto refused = run(*replica, insert_one);
  BOOST_TEST(refused.how == outcome::not_run);
  BOOST_TEST(refused.why == reason::no_primary);
  refused = run(*replica, write_of(insert_one.sql, "key"));
  BOOST_TEST(refused.how == outcome::not_run);
  refused = run(*replica, step_of(statement_step::begin));
  BOOST_TEST(refused.how == outcome::not_run);
  BOOST_TEST(refused.why == reason::no_primary);
  BOOST_TEST(replica->usable());
}

BOOST_FIXTURE_TEST_CASE(a_failed_statement_keeps_nothing, orders) {
  run(*primary, insert_one);
  for (auto key : {"", "key"}) {
    auto failed = run(*primary, write_of(insert_one.sql, key));
    BOOST_TEST(failed.how == outcome::failed);
    BOOST_TEST(failed.why == reason::upstream_error);
    BOOST_TEST(failed.sql_state == "23505");
    BOOST_TEST(!failed.message.empty());
  }
  auto failed = run(*primary, read_of("select * from none"));
  BOOST_TEST(failed.sql_state == "42P01");
  BOOST_TEST(run(*primary, insert_one).sql_state == "23505");
  BOOST_TEST(single_value("db1", "select count(*) from toucanmux_outcomes") ==
             "0");
}

BOOST_FIXTURE_TEST_CASE(a_commit_may_fail_at_its_end, orders) {
  run(*primary, write_of("create table panels (id integer primary key, "
                         "in_order int references orders (id) "
                         "deferrable initially deferred)"));
  auto bad = write_of("insert into panels values (1, 9)");
  auto failed = run(*primary, bad);
  BOOST_TEST(failed.how == outcome::failed);
  BOOST_TEST(failed.sql_state == "23503");
  bad.idempotency_key = "key";
  failed = run(*primary, bad);
  BOOST_TEST(failed.how == outcome::failed);
  BOOST_TEST(failed.sql_state == "23503");
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, bad.sql));
  failed = run(*primary, step_of(statement_step::commit));
  BOOST_TEST(failed.how == outcome::failed);
  BOOST_TEST(failed.sql_state == "23503");
  BOOST_TEST(single_value("db1", "select count(*) from panels") == "0");
  BOOST_TEST(run(*primary, insert_one).how == outcome::done);
}

BOOST_FIXTURE_TEST_CASE(what_would_change_the_session_is_refused, orders) {
  for (auto sql : {"begin", "/* a /* b */ c */ commit", "-- x\n ;rollback",
                   "set search_path = x", "copy orders from stdin"}) {
    auto refused = run(*primary, write_of(sql));
    BOOST_TEST(refused.how == outcome::not_run);
    BOOST_TEST(refused.why == reason::bad_request);
  }
  auto zero = insert_one;
  zero.parameters.push_back({false, std::string("a\0b", 3)});
  BOOST_TEST(run(*primary, zero).why == reason::bad_request);
}

BOOST_FIXTURE_TEST_CASE(a_full_database_says_so, database_fixture) {
  std::vector<std::unique_ptr<upstream_connection>> connections(50);
  for (auto& each : connections) each = connect("db1");
  upstream_connection extra;
  std::optional<open_result> opened;
  extra.open(target("db1"),
             [&](const open_result& result) { opened = result; });
  wait_until([&] { return opened.has_value(); });
  BOOST_TEST(!opened->ok);
  BOOST_TEST(opened->refused_as_full);
  BOOST_TEST(!extra.usable());
}

BOOST_FIXTURE_TEST_CASE(a_dead_database_is_not_full, database_fixture) {
  inject_fault("db1", "kill");
  upstream_connection extra;
  std::optional<open_result> opened;
  extra.open(target("db1"),
             [&](const open_result& result) { opened = result; });
  wait_until([&] { return opened.has_value(); });
  BOOST_TEST(!opened->ok);
  BOOST_TEST(!opened->refused_as_full);
  auto refused = run(extra, insert_one);
  BOOST_TEST(refused.how == outcome::not_run);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(lost_connections)

BOOST_FIXTURE_TEST_CASE(before_a_write_it_is_not_run, orders) {
  auto before = state("db1")["statements"];
  inject_fault("db1", "drop");
  auto refused = run(*primary, insert_one);
  BOOST_TEST(refused.how == outcome::not_run);
  BOOST_TEST(refused.why == reason::connection_lost);
  BOOST_TEST(!primary->usable());
  BOOST_TEST(run(*primary, insert_one).how == outcome::not_run);
  BOOST_TEST(state("db1")["statements"] == before);
}

BOOST_FIXTURE_TEST_CASE(while_idle_is_told_once, orders) {
  int told = 0;
  primary->when_lost([&] { ++told; });
  inject_fault("db1", "drop");
  wait_until([&] { return told > 0; });
  BOOST_TEST(!primary->usable());
  run(*primary, insert_one);
  BOOST_TEST(told == 1);
}

BOOST_FIXTURE_TEST_CASE(during_a_write_it_is_unknown, orders) {
  start_slowly(insert_one);
  inject_fault("db1", "kill");
  BOOST_TEST(ended().how == outcome::unknown);
  BOOST_TEST(got->why == reason::connection_lost);
  BOOST_TEST(!primary->usable());
}

BOOST_FIXTURE_TEST_CASE(by_an_administrator_it_is_unknown, orders) {
  start_slowly(insert_one);
  inject_fault("db1", "terminate");
  BOOST_TEST(ended().how == outcome::unknown);
  BOOST_TEST(got->why == reason::connection_lost);
}

BOOST_FIXTURE_TEST_CASE(during_a_read_it_is_not_run, orders) {
  start_slowly(read_of(count_orders));
  inject_fault("db1", "kill");
  BOOST_TEST(ended().how == outcome::not_run);
  BOOST_TEST(got->why == reason::connection_lost);
}

BOOST_FIXTURE_TEST_CASE(before_a_recorded_write_commits_it_is_not_run, orders) {
  run(*primary, write_of("delete from orders", "first"));
  start_slowly(write_of(insert_one.sql, "key"));
  inject_fault("db1", "kill");
  BOOST_TEST(ended().how == outcome::not_run);
  BOOST_TEST(single_value("db1", count_orders) == "0");
}

BOOST_FIXTURE_TEST_CASE(inside_a_transaction_nothing_is_kept, orders) {
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  start_slowly(step_of(statement_step::inside,
                       "insert into orders values (2, 'gutter')"));
  inject_fault("db1", "kill");
  BOOST_TEST(ended().how == outcome::not_run);
  BOOST_TEST(single_value("db1", count_orders) == "0");
  auto commit = run(*primary, step_of(statement_step::commit));
  BOOST_TEST(commit.how == outcome::not_run);
}

BOOST_FIXTURE_TEST_CASE(during_a_commit_it_is_unknown, orders) {
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  cut_replicas();
  start_unacknowledged(step_of(statement_step::commit));
  inject_fault("db1", "kill");
  BOOST_TEST(ended().how == outcome::unknown);
}

BOOST_FIXTURE_TEST_CASE(abandoning_answers_as_a_loss, orders) {
  cut_replicas();
  start_unacknowledged(insert_one);
  primary->abandon();
  BOOST_TEST(!got.has_value());
  BOOST_TEST(ended().how == outcome::unknown);
  BOOST_TEST(!primary->usable());
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_reaches_nobody, orders) {
  inject_fault("db1", "freeze");
  start(insert_one);
  primary->abandon();
  BOOST_TEST(ended().how == outcome::unknown);
  inject_fault("db1", "thaw");
  auto other = connect("db1");
  auto seen = run(*other, read_of("select 'mine'"));
  BOOST_TEST(seen.result.find("mine") != std::string::npos);
  BOOST_TEST(answers == 1);
}

BOOST_FIXTURE_TEST_CASE(closing_answers_nothing, orders) {
  start(insert_one);
  primary->close();
  auto other = connect("db1");
  run(*other, read_of(count_orders));
  BOOST_TEST(answers == 0);
}

BOOST_FIXTURE_TEST_CASE(closing_answers_no_refusal_either, orders) {
  primary->abandon();
  start(insert_one);
  primary->close();
  QCoreApplication::processEvents();
  BOOST_TEST(answers == 0);
}

BOOST_FIXTURE_TEST_CASE(a_frozen_database_answers_after_the_thaw, orders) {
  inject_fault("db1", "freeze");
  start(insert_one);
  inject_fault("db1", "thaw");
  BOOST_TEST(ended().how == outcome::done);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(acknowledgements)

BOOST_FIXTURE_TEST_CASE(wait_for_one_replica, orders) {
  inject_fault("db2", "cut");
  BOOST_TEST(run(*primary, insert_one).how == outcome::done);
  inject_fault("db3", "cut");
  start_unacknowledged(write_of("insert into orders values (2, 'gutter')"));
  // Nobody sees a write that may yet be lost.
  auto other = connect("db1");
  auto seen = run(*other, read_of(count_orders));
  BOOST_TEST(seen.result.find("[[1]]") != std::string::npos);
  BOOST_TEST(!got.has_value());
  inject_fault("db3", "heal");
  BOOST_TEST(ended().how == outcome::done);
  seen = run(*other, read_of(count_orders));
  BOOST_TEST(seen.result.find("[[2]]") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(that_are_cancelled_are_unknown, orders) {
  for (auto key : {"", "key"}) {
    run(*primary, write_of("delete from orders", "first"));
    cut_replicas();
    start_unacknowledged(write_of(insert_one.sql, key));
    inject_fault("db1", "cancel_waits");
    BOOST_TEST(ended().how == outcome::unknown);
    BOOST_TEST(got->why == reason::no_primary);
    BOOST_TEST(got->result.empty());
    heal_replicas();
    run(*primary, write_of("delete from orders"));
  }
}

BOOST_FIXTURE_TEST_CASE(end_with_the_fence, orders) {
  auto kept = run(*primary, insert_one);
  auto db2 = connect("db2");
  auto db3 = connect("db3");
  reload_with(*db2, upstream_sql::fence(2));
  reload_with(*db3, upstream_sql::fence(2));
  auto received = query(*db2, upstream_sql::received);
  BOOST_REQUIRE(received.rows.size() == 1);
  BOOST_TEST(upstream_sql::parse_lsn(received.rows[0][0]) >= kept.position.lsn);
  BOOST_TEST(upstream_sql::fence_of(received.rows[0][2]) == 2U);
  BOOST_TEST(received.rows[0][3] == "0");
  start_unacknowledged(write_of("insert into orders values (2, 'gutter')"));

  reload_with(*db2, std::string(upstream_sql::require_standby));
  auto promoted = query(*db2, upstream_sql::promote);
  BOOST_REQUIRE(promoted.ok);
  BOOST_TEST(promoted.rows[0][0] == "t");
  auto at = target("db2");
  reload_with(*db3, upstream_sql::follow(at.address, at.port, "db3"));
  auto seen = run(*db2, read_of(count_orders, kept.position));
  BOOST_TEST(seen.how == outcome::done);
  BOOST_TEST(seen.position.term == 2U);
  BOOST_TEST(seen.result.find("[[1]]") != std::string::npos);
  auto next = run(*db2, write_of("insert into orders values (3, 'shade')"));
  BOOST_TEST(next.how == outcome::done);
  BOOST_TEST(next.position.term == 2U);
  BOOST_TEST(!got.has_value());
  BOOST_TEST(single_value("db1", count_orders) == "1");

  auto db1 = connect("db1");
  reload_with(*db1, upstream_sql::follow(at.address, at.port, "db1"));
  BOOST_TEST(ended().how == outcome::unknown);
  wait_until([&] { return state("db1")["visible"] == state("db2")["lsn"]; });
  BOOST_TEST(single_value("db1", "select group_concat(id) from orders") ==
             "1,3");
  BOOST_TEST(run(*db1, insert_one).why == reason::no_primary);
}

BOOST_FIXTURE_TEST_CASE(are_kept_by_the_furthest_of_a_fenced_majority, orders) {
  int acknowledged = 0;
  for (int i = 1; i <= 40; ++i) {
    if (i == 10) inject_fault("db2", "cut");
    if (i == 20) inject_fault("db2", "heal");
    if (i == 30) inject_fault("db3", "cut");
    auto sql = "insert into orders values (" + std::to_string(i) + ", 'x')";
    if (run(*primary, write_of(sql)).how == outcome::done) ++acknowledged;
  }
  inject_fault("db1", "kill");
  inject_fault("db3", "heal");
  std::string furthest;
  std::uint64_t lsn = 0;
  for (std::string id : {"db2", "db3"}) {
    auto connection = connect(id);
    reload_with(*connection, upstream_sql::fence(2));
    auto row = query(*connection, upstream_sql::received).rows.at(0);
    if (upstream_sql::parse_lsn(row[0]) <= lsn) continue;
    lsn = upstream_sql::parse_lsn(row[0]);
    furthest = id;
  }
  auto connection = connect(furthest);
  BOOST_REQUIRE(query(*connection, upstream_sql::promote).ok);
  BOOST_TEST(acknowledged == 40);
  BOOST_TEST(single_value(furthest, count_orders) == "40");
}

BOOST_FIXTURE_TEST_CASE(show_as_a_heartbeat, orders) {
  BOOST_TEST(query(*primary, upstream_sql::heartbeat).ok);
  auto rows = query(*primary, upstream_sql::replicas).rows;
  BOOST_TEST(rows.size() == 2U);
  auto replica = connect("db2");
  BOOST_TEST(!query(*replica, upstream_sql::heartbeat).ok);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(idempotency_keys)

BOOST_FIXTURE_TEST_CASE(run_a_write_once, orders) {
  auto write = write_of("insert into orders values (1, $1)", "key");
  write.parameters = {{false, "glass"}};
  auto first = run(*primary, write);
  BOOST_TEST(first.how == outcome::done);
  BOOST_TEST(!first.replayed);
  auto again = run(*primary, write);
  BOOST_TEST(again.how == outcome::done);
  BOOST_TEST(again.replayed);
  BOOST_TEST(again.result == first.result);
  BOOST_TEST(again.position.covers(first.position));
  BOOST_TEST(single_value("db1", count_orders) == "1");
}

BOOST_FIXTURE_TEST_CASE(belong_to_one_request_of_one_team, orders) {
  auto write = write_of("insert into orders values ($1, 'glass')", "key");
  write.parameters = {{false, "1"}};
  run(*primary, write);
  write.parameters = {{false, "2"}};
  auto other = run(*primary, write);
  BOOST_TEST(other.how == outcome::failed);
  BOOST_TEST(other.why == reason::bad_request);
  BOOST_TEST(single_value("db1", count_orders) == "1");
  write.team = team_id("sur");
  BOOST_TEST(run(*primary, write).how == outcome::done);
}

BOOST_FIXTURE_TEST_CASE(tell_how_an_unknown_write_ended, orders) {
  auto write = write_of(insert_one.sql, "key");
  run(*primary, write_of("delete from orders", "first"));
  cut_replicas();
  start_unacknowledged(write);
  inject_fault("db1", "kill");
  BOOST_TEST(ended().how == outcome::unknown);
  // Back again, it shows a write that no replica has.
  inject_fault("db1", "restart");
  BOOST_TEST(single_value("db1", count_orders) == "1");
  primary = connect("db1");
  start_unacknowledged(write);
  heal_replicas();
  BOOST_TEST(ended().how == outcome::done);
  BOOST_TEST(got->replayed);
  BOOST_TEST(single_value("db1", count_orders) == "1");
}

BOOST_FIXTURE_TEST_CASE(are_never_called_not_run_once_used, orders) {
  auto write = write_of(insert_one.sql, "key");
  run(*primary, write);
  cut_replicas();
  start_unacknowledged(write);
  inject_fault("db1", "kill");
  BOOST_TEST(ended().how == outcome::unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(transactions)

BOOST_FIXTURE_TEST_CASE(are_kept_whole, orders) {
  BOOST_TEST(run(*primary, step_of(statement_step::begin)).how ==
             outcome::done);
  auto inside = step_of(statement_step::inside, insert_one.sql);
  BOOST_TEST(run(*primary, inside).how == outcome::done);
  BOOST_TEST(single_value("db1", count_orders) == "0");
  auto commit = run(*primary, step_of(statement_step::commit));
  BOOST_TEST(commit.how == outcome::done);
  BOOST_TEST(commit.position.lsn == state("db1")["lsn"]);
  BOOST_TEST(single_value("db1", count_orders) == "1");
}

BOOST_FIXTURE_TEST_CASE(roll_back, orders) {
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  BOOST_TEST(run(*primary, step_of(statement_step::rollback)).how ==
             outcome::done);
  BOOST_TEST(single_value("db1", count_orders) == "0");
  BOOST_TEST(run(*primary, insert_one).how == outcome::done);
}

BOOST_FIXTURE_TEST_CASE(that_failed_do_not_commit, orders) {
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  auto again = run(*primary, step_of(statement_step::inside, insert_one.sql));
  BOOST_TEST(again.how == outcome::failed);
  auto commit = run(*primary, step_of(statement_step::commit));
  BOOST_TEST(commit.how == outcome::failed);
  BOOST_TEST(commit.sql_state == "25P02");
  BOOST_TEST(single_value("db1", count_orders) == "0");
}

BOOST_FIXTURE_TEST_CASE(do_not_mix, orders) {
  auto other = connect("db1");
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  std::optional<answer> second;
  other->run(write_of("update orders set what = 'lost' where id = 1"), false,
             [&](answer result) { second = std::move(result); });
  auto seen = run(*primary, step_of(statement_step::inside, count_orders));
  BOOST_TEST(seen.result.find("[[1]]") != std::string::npos);
  BOOST_TEST(!second.has_value());
  run(*primary, step_of(statement_step::rollback));
  wait_until([&] { return second.has_value(); });
  BOOST_TEST(second->result.find("UPDATE 0") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(fit_their_steps, orders) {
  for (auto step : {statement_step::inside, statement_step::commit,
                    statement_step::rollback}) {
    auto refused = run(*primary, step_of(step, insert_one.sql));
    BOOST_TEST(refused.how == outcome::not_run);
    BOOST_TEST(refused.why == reason::transaction_gone);
  }
  BOOST_TEST(single_value("db1", count_orders) == "0");
  run(*primary, step_of(statement_step::begin));
  BOOST_TEST(run(*primary, insert_one).why == reason::transaction_gone);
}

BOOST_AUTO_TEST_SUITE_END()
