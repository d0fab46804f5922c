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

std::ostream& operator<<(std::ostream& out, outcome_code value) {
  return out << to_string(value);
}
std::ostream& operator<<(std::ostream& out, reason_code value) {
  return out << to_string(value);
}

}  // namespace toucanmux

namespace {

constexpr std::string_view create_orders =
    "create table orders (id integer primary key, what text)";
constexpr std::string_view count_orders = "select count(*) from orders";
constexpr unsigned endless_ms = 3'600'000;

struct application {
  int count = 0;
  QCoreApplication core{count, nullptr};
};

/// A database group with the table `orders`, which the tests write to.
struct orders : database_fixture {
  explicit orders(const database_settings& settings = defaults())
      : database_fixture(settings), primary(connect("db1")) {
    BOOST_REQUIRE(run(*primary, write_of(create_orders)).outcome ==
                  outcome_code::done);
  }

  void reload_with(upstream_connection& connection, const std::string& sql) {
    BOOST_REQUIRE(query(connection, sql).ok);
    BOOST_REQUIRE(query(connection, upstream_sql::reload_config).ok);
  }

  /// Starts a statement and waits until the database is executing it.
  void start_slowly(const statement& request) {
    cluster.inject_fault(
        {{"database", "db1"}, {"fault", "service_time"}, {"ms", endless_ms}});
    start(request);
    wait_until([&] { return state("db1")["running"] == 1; });
  }

  /// Starts a write and waits until it is in the primary's log and its commit
  /// waits for a standby.
  void start_unacknowledged(const statement& request) {
    auto before = state("db1")["lsn"];
    start(request);
    wait_until([&] {
      auto now = state("db1");
      return now["lsn"] > before && now["waiting"] > 0;
    });
    BOOST_TEST(!last_answer.has_value());
  }

  void start(const statement& request) {
    last_answer.reset();
    primary->run(request, false, [this](answer result) {
      ++answer_count;
      last_answer = std::move(result);
    });
  }

  const answer& wait_for_answer() {
    wait_until([&] { return last_answer.has_value(); });
    return *last_answer;
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
  std::optional<answer> last_answer;
  int answer_count = 0;
};

const auto insert_one = write_of("insert into orders values (1, 'glass')");

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

BOOST_AUTO_TEST_SUITE(answers)

BOOST_FIXTURE_TEST_CASE(replica_at_write_position_shows_the_write, orders) {
  auto written = run(*primary, insert_one);
  BOOST_TEST(written.outcome == outcome_code::done);
  BOOST_TEST(written.id == 7U);
  BOOST_TEST(written.position.term == 1U);
  BOOST_TEST(written.result ==
             R"({"columns":[],"rows":[],"tag":"INSERT 0 1"})");
  auto replica = connect("db2");
  answer reply;
  wait_until([&] {
    reply =
        run(*replica, read_of("select * from orders", written.position), true);
    return reply.outcome != outcome_code::behind;
  });
  BOOST_TEST(reply.outcome == outcome_code::done);
  BOOST_TEST(reply.from_replica);
  BOOST_TEST(reply.position.covers(written.position));
  BOOST_TEST(reply.result == R"({"columns":["id","what"],"rows":[[1,"glass"]],)"
                             R"("tag":"SELECT 1"})");
}

BOOST_FIXTURE_TEST_CASE(read_on_lagging_replica_is_too_stale, orders) {
  auto replica = connect("db2");
  inject_fault("db2", "cut");
  auto written = run(*primary, insert_one);
  auto reply =
      run(*replica, read_of("select * from orders", written.position), true);
  BOOST_TEST(reply.outcome == outcome_code::behind);
  BOOST_TEST(reply.result.empty());
  BOOST_TEST(!reply.position.covers(written.position));
  // A statement may fail only because the replica lags, so its error must not
  // be reported.
  reply = run(*replica, read_of("select * from none", written.position), true);
  BOOST_TEST(reply.outcome == outcome_code::behind);
}

BOOST_FIXTURE_TEST_CASE(read_on_primary_of_earlier_term_is_too_stale, orders) {
  BOOST_TEST(run(*primary, read_of(count_orders, {1, 0})).outcome ==
             outcome_code::done);
  BOOST_TEST(run(*primary, read_of(count_orders, {2, 0})).outcome ==
             outcome_code::behind);
  auto begin = step_of(statement_step::begin);
  begin.required = {2, 0};
  BOOST_TEST(run(*primary, begin).outcome == outcome_code::behind);
  BOOST_TEST(run(*primary, read_of(count_orders)).outcome ==
             outcome_code::done);
}

BOOST_FIXTURE_TEST_CASE(primary_of_later_term_covers_any_position, orders) {
  auto read_past_log = read_of(count_orders, {0, ~std::uint64_t{0}});
  BOOST_TEST(run(*primary, read_past_log).outcome == outcome_code::done);
  auto replica = connect("db2");
  BOOST_TEST(run(*replica, read_past_log, true).outcome ==
             outcome_code::behind);
}

BOOST_FIXTURE_TEST_CASE(read_cannot_write, orders) {
  auto reply = run(*primary, read_of(insert_one.sql));
  BOOST_TEST(reply.outcome == outcome_code::failed);
  BOOST_TEST(reply.sql_state == "25006");
  reply = run(*primary, read_of(count_orders));
  BOOST_TEST(reply.result.find("[[0]]") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(write_on_replica_is_not_run, orders) {
  auto replica = connect("db2");
  auto refused = run(*replica, insert_one);
  BOOST_TEST(refused.outcome == outcome_code::not_run);
  BOOST_TEST(refused.reason == reason_code::no_primary);
  refused = run(*replica, write_of(insert_one.sql, "key"));
  BOOST_TEST(refused.outcome == outcome_code::not_run);
  refused = run(*replica, step_of(statement_step::begin));
  BOOST_TEST(refused.outcome == outcome_code::not_run);
  BOOST_TEST(refused.reason == reason_code::no_primary);
  BOOST_TEST(replica->usable());
}

BOOST_FIXTURE_TEST_CASE(failed_statement_has_no_effect, orders) {
  run(*primary, insert_one);
  for (auto key : {"", "key"}) {
    auto failed = run(*primary, write_of(insert_one.sql, key));
    BOOST_TEST(failed.outcome == outcome_code::failed);
    BOOST_TEST(failed.reason == reason_code::upstream_error);
    BOOST_TEST(failed.sql_state == "23505");
    BOOST_TEST(!failed.message.empty());
  }
  auto failed = run(*primary, read_of("select * from none"));
  BOOST_TEST(failed.sql_state == "42P01");
  BOOST_TEST(run(*primary, insert_one).sql_state == "23505");
  BOOST_TEST(single_value("db1", "select count(*) from toucanmux_outcomes") ==
             "0");
}

BOOST_FIXTURE_TEST_CASE(deferred_constraint_fails_the_commit, orders) {
  run(*primary, write_of("create table panels (id integer primary key, "
                         "in_order int references orders (id) "
                         "deferrable initially deferred)"));
  auto violating_write = write_of("insert into panels values (1, 9)");
  auto failed = run(*primary, violating_write);
  BOOST_TEST(failed.outcome == outcome_code::failed);
  BOOST_TEST(failed.sql_state == "23503");
  violating_write.idempotency_key = "key";
  failed = run(*primary, violating_write);
  BOOST_TEST(failed.outcome == outcome_code::failed);
  BOOST_TEST(failed.sql_state == "23503");
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, violating_write.sql));
  failed = run(*primary, step_of(statement_step::commit));
  BOOST_TEST(failed.outcome == outcome_code::failed);
  BOOST_TEST(failed.sql_state == "23503");
  BOOST_TEST(single_value("db1", "select count(*) from panels") == "0");
  BOOST_TEST(run(*primary, insert_one).outcome == outcome_code::done);
}

BOOST_FIXTURE_TEST_CASE(session_changes_are_refused, orders) {
  for (auto sql : {"begin", "/* a /* b */ c */ commit", "-- x\n ;rollback",
                   "set search_path = x", "copy orders from stdin"}) {
    auto refused = run(*primary, write_of(sql));
    BOOST_TEST(refused.outcome == outcome_code::not_run);
    BOOST_TEST(refused.reason == reason_code::bad_request);
  }
  auto with_zero_byte = insert_one;
  with_zero_byte.parameters.push_back({false, std::string("a\0b", 3)});
  BOOST_TEST(run(*primary, with_zero_byte).reason == reason_code::bad_request);
}

BOOST_FIXTURE_TEST_CASE(connection_limit_is_reported, database_fixture) {
  std::vector<std::unique_ptr<upstream_connection>> connections(50);
  for (auto& each : connections) each = connect("db1");
  upstream_connection extra;
  std::optional<open_result> opened;
  extra.open(target("db1"),
             [&](const open_result& result) { opened = result; });
  wait_until([&] { return opened.has_value(); });
  BOOST_TEST(!opened->ok);
  BOOST_TEST(opened->connection_limit_reached);
  BOOST_TEST(!extra.usable());
}

BOOST_FIXTURE_TEST_CASE(dead_database_reports_no_connection_limit,
                        database_fixture) {
  inject_fault("db1", "kill");
  upstream_connection extra;
  std::optional<open_result> opened;
  extra.open(target("db1"),
             [&](const open_result& result) { opened = result; });
  wait_until([&] { return opened.has_value(); });
  BOOST_TEST(!opened->ok);
  BOOST_TEST(!opened->connection_limit_reached);
  auto refused = run(extra, insert_one);
  BOOST_TEST(refused.outcome == outcome_code::not_run);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(lost_connections)

BOOST_FIXTURE_TEST_CASE(loss_before_write_is_not_run, orders) {
  auto before = state("db1")["statements"];
  inject_fault("db1", "drop");
  auto refused = run(*primary, insert_one);
  BOOST_TEST(refused.outcome == outcome_code::not_run);
  BOOST_TEST(refused.reason == reason_code::connection_lost);
  BOOST_TEST(!primary->usable());
  BOOST_TEST(run(*primary, insert_one).outcome == outcome_code::not_run);
  BOOST_TEST(state("db1")["statements"] == before);
}

BOOST_FIXTURE_TEST_CASE(loss_while_idle_is_reported_once, orders) {
  int loss_count = 0;
  primary->set_idle_loss_handler([&] { ++loss_count; });
  inject_fault("db1", "drop");
  wait_until([&] { return loss_count > 0; });
  BOOST_TEST(!primary->usable());
  run(*primary, insert_one);
  BOOST_TEST(loss_count == 1);
}

BOOST_FIXTURE_TEST_CASE(loss_during_write_is_unknown, orders) {
  start_slowly(insert_one);
  inject_fault("db1", "kill");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
  BOOST_TEST(last_answer->reason == reason_code::connection_lost);
  BOOST_TEST(!primary->usable());
}

BOOST_FIXTURE_TEST_CASE(termination_by_administrator_is_unknown, orders) {
  start_slowly(insert_one);
  inject_fault("db1", "terminate");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
  BOOST_TEST(last_answer->reason == reason_code::connection_lost);
}

BOOST_FIXTURE_TEST_CASE(loss_during_read_is_not_run, orders) {
  start_slowly(read_of(count_orders));
  inject_fault("db1", "kill");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::not_run);
  BOOST_TEST(last_answer->reason == reason_code::connection_lost);
}

BOOST_FIXTURE_TEST_CASE(loss_before_recorded_write_commits_is_not_run, orders) {
  run(*primary, write_of("delete from orders", "first"));
  start_slowly(write_of(insert_one.sql, "key"));
  inject_fault("db1", "kill");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::not_run);
  BOOST_TEST(single_value("db1", count_orders) == "0");
}

BOOST_FIXTURE_TEST_CASE(loss_inside_transaction_rolls_back, orders) {
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  start_slowly(step_of(statement_step::inside,
                       "insert into orders values (2, 'gutter')"));
  inject_fault("db1", "kill");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::not_run);
  BOOST_TEST(single_value("db1", count_orders) == "0");
  auto commit = run(*primary, step_of(statement_step::commit));
  BOOST_TEST(commit.outcome == outcome_code::not_run);
}

BOOST_FIXTURE_TEST_CASE(loss_during_commit_is_unknown, orders) {
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  cut_replicas();
  start_unacknowledged(step_of(statement_step::commit));
  inject_fault("db1", "kill");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
}

BOOST_FIXTURE_TEST_CASE(abandon_answers_like_a_loss, orders) {
  cut_replicas();
  start_unacknowledged(insert_one);
  primary->abandon();
  BOOST_TEST(!last_answer.has_value());
  BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
  BOOST_TEST(!primary->usable());
}

BOOST_FIXTURE_TEST_CASE(late_answer_is_discarded, orders) {
  inject_fault("db1", "freeze");
  start(insert_one);
  primary->abandon();
  BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
  inject_fault("db1", "thaw");
  auto second_connection = connect("db1");
  auto reply = run(*second_connection, read_of("select 'mine'"));
  BOOST_TEST(reply.result.find("mine") != std::string::npos);
  BOOST_TEST(answer_count == 1);
}

BOOST_FIXTURE_TEST_CASE(close_suppresses_the_answer, orders) {
  start(insert_one);
  primary->close();
  auto second_connection = connect("db1");
  run(*second_connection, read_of(count_orders));
  BOOST_TEST(answer_count == 0);
}

BOOST_FIXTURE_TEST_CASE(close_suppresses_a_posted_refusal, orders) {
  primary->abandon();
  start(insert_one);
  primary->close();
  QCoreApplication::processEvents();
  BOOST_TEST(answer_count == 0);
}

BOOST_FIXTURE_TEST_CASE(frozen_database_answers_after_thaw, orders) {
  inject_fault("db1", "freeze");
  start(insert_one);
  inject_fault("db1", "thaw");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::done);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(acknowledgements)

BOOST_FIXTURE_TEST_CASE(write_waits_for_one_replica, orders) {
  inject_fault("db2", "cut");
  BOOST_TEST(run(*primary, insert_one).outcome == outcome_code::done);
  inject_fault("db3", "cut");
  start_unacknowledged(write_of("insert into orders values (2, 'gutter')"));
  // An unacknowledged write may still be lost and must stay invisible.
  auto second_connection = connect("db1");
  auto reply = run(*second_connection, read_of(count_orders));
  BOOST_TEST(reply.result.find("[[1]]") != std::string::npos);
  BOOST_TEST(!last_answer.has_value());
  inject_fault("db3", "heal");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::done);
  reply = run(*second_connection, read_of(count_orders));
  BOOST_TEST(reply.result.find("[[2]]") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(cancelled_standby_wait_is_unknown, orders) {
  for (auto key : {"", "key"}) {
    run(*primary, write_of("delete from orders", "first"));
    cut_replicas();
    start_unacknowledged(write_of(insert_one.sql, key));
    inject_fault("db1", "cancel_waits");
    BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
    BOOST_TEST(last_answer->reason == reason_code::no_primary);
    BOOST_TEST(last_answer->result.empty());
    heal_replicas();
    run(*primary, write_of("delete from orders"));
  }
}

BOOST_FIXTURE_TEST_CASE(fenced_replicas_acknowledge_nothing, orders) {
  auto kept = run(*primary, insert_one);
  auto db2 = connect("db2");
  auto db3 = connect("db3");
  reload_with(*db2, upstream_sql::fence(2));
  reload_with(*db3, upstream_sql::fence(2));
  auto received = query(*db2, upstream_sql::receiver_state);
  BOOST_REQUIRE(received.rows.size() == 1);
  BOOST_TEST(upstream_sql::parse_lsn(received.rows[0][0]) >= kept.position.lsn);
  BOOST_TEST(upstream_sql::fence_term(received.rows[0][2]) == 2U);
  BOOST_TEST(received.rows[0][3] == "0");
  start_unacknowledged(write_of("insert into orders values (2, 'gutter')"));

  reload_with(*db2, std::string(upstream_sql::require_standby));
  auto promoted = query(*db2, upstream_sql::promote);
  BOOST_REQUIRE(promoted.ok);
  BOOST_TEST(promoted.rows[0][0] == "t");
  auto new_primary = target("db2");
  reload_with(
      *db3, upstream_sql::follow(new_primary.address, new_primary.port, "db3"));
  auto reply = run(*db2, read_of(count_orders, kept.position));
  BOOST_TEST(reply.outcome == outcome_code::done);
  BOOST_TEST(reply.position.term == 2U);
  BOOST_TEST(reply.result.find("[[1]]") != std::string::npos);
  auto next = run(*db2, write_of("insert into orders values (3, 'shade')"));
  BOOST_TEST(next.outcome == outcome_code::done);
  BOOST_TEST(next.position.term == 2U);
  BOOST_TEST(!last_answer.has_value());
  BOOST_TEST(single_value("db1", count_orders) == "1");

  auto db1 = connect("db1");
  reload_with(
      *db1, upstream_sql::follow(new_primary.address, new_primary.port, "db1"));
  BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
  wait_until([&] { return state("db1")["visible"] == state("db2")["lsn"]; });
  BOOST_TEST(single_value("db1", "select group_concat(id) from orders") ==
             "1,3");
  BOOST_TEST(run(*db1, insert_one).reason == reason_code::no_primary);
}

BOOST_FIXTURE_TEST_CASE(most_advanced_fenced_replica_has_all_writes, orders) {
  int acknowledged = 0;
  for (int i = 1; i <= 40; ++i) {
    if (i == 10) inject_fault("db2", "cut");
    if (i == 20) inject_fault("db2", "heal");
    if (i == 30) inject_fault("db3", "cut");
    auto sql = "insert into orders values (" + std::to_string(i) + ", 'x')";
    if (run(*primary, write_of(sql)).outcome == outcome_code::done)
      ++acknowledged;
  }
  inject_fault("db1", "kill");
  inject_fault("db3", "heal");
  std::string most_advanced;
  std::uint64_t lsn = 0;
  for (std::string id : {"db2", "db3"}) {
    auto connection = connect(id);
    reload_with(*connection, upstream_sql::fence(2));
    auto row = query(*connection, upstream_sql::receiver_state).rows.at(0);
    if (upstream_sql::parse_lsn(row[0]) <= lsn) continue;
    lsn = upstream_sql::parse_lsn(row[0]);
    most_advanced = id;
  }
  auto connection = connect(most_advanced);
  BOOST_REQUIRE(query(*connection, upstream_sql::promote).ok);
  BOOST_TEST(acknowledged == 40);
  BOOST_TEST(single_value(most_advanced, count_orders) == "40");
}

BOOST_FIXTURE_TEST_CASE(heartbeat_succeeds_only_on_primary, orders) {
  BOOST_TEST(query(*primary, upstream_sql::heartbeat).ok);
  auto rows = query(*primary, upstream_sql::replicas).rows;
  BOOST_TEST(rows.size() == 2U);
  auto replica = connect("db2");
  BOOST_TEST(!query(*replica, upstream_sql::heartbeat).ok);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(idempotency_keys)

BOOST_FIXTURE_TEST_CASE(write_runs_once, orders) {
  auto write = write_of("insert into orders values (1, $1)", "key");
  write.parameters = {{false, "glass"}};
  auto first = run(*primary, write);
  BOOST_TEST(first.outcome == outcome_code::done);
  BOOST_TEST(!first.replayed);
  auto again = run(*primary, write);
  BOOST_TEST(again.outcome == outcome_code::done);
  BOOST_TEST(again.replayed);
  BOOST_TEST(again.result == first.result);
  BOOST_TEST(again.position.covers(first.position));
  BOOST_TEST(single_value("db1", count_orders) == "1");
}

BOOST_FIXTURE_TEST_CASE(key_belongs_to_one_request_of_one_team, orders) {
  auto write = write_of("insert into orders values ($1, 'glass')", "key");
  write.parameters = {{false, "1"}};
  run(*primary, write);
  write.parameters = {{false, "2"}};
  auto different = run(*primary, write);
  BOOST_TEST(different.outcome == outcome_code::failed);
  BOOST_TEST(different.reason == reason_code::bad_request);
  BOOST_TEST(single_value("db1", count_orders) == "1");
  write.team = team_id("sur");
  BOOST_TEST(run(*primary, write).outcome == outcome_code::done);
}

BOOST_FIXTURE_TEST_CASE(retry_resolves_an_unknown_write, orders) {
  auto write = write_of(insert_one.sql, "key");
  run(*primary, write_of("delete from orders", "first"));
  cut_replicas();
  start_unacknowledged(write);
  inject_fault("db1", "kill");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
  // The restarted primary shows a write that no replica has.
  inject_fault("db1", "restart");
  BOOST_TEST(single_value("db1", count_orders) == "1");
  primary = connect("db1");
  start_unacknowledged(write);
  heal_replicas();
  BOOST_TEST(wait_for_answer().outcome == outcome_code::done);
  BOOST_TEST(last_answer->replayed);
  BOOST_TEST(single_value("db1", count_orders) == "1");
}

BOOST_FIXTURE_TEST_CASE(retry_of_recorded_write_is_never_not_run, orders) {
  auto write = write_of(insert_one.sql, "key");
  run(*primary, write);
  cut_replicas();
  start_unacknowledged(write);
  inject_fault("db1", "kill");
  BOOST_TEST(wait_for_answer().outcome == outcome_code::unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(transactions)

BOOST_FIXTURE_TEST_CASE(transaction_commits_as_a_whole, orders) {
  BOOST_TEST(run(*primary, step_of(statement_step::begin)).outcome ==
             outcome_code::done);
  auto inside = step_of(statement_step::inside, insert_one.sql);
  BOOST_TEST(run(*primary, inside).outcome == outcome_code::done);
  BOOST_TEST(single_value("db1", count_orders) == "0");
  auto commit = run(*primary, step_of(statement_step::commit));
  BOOST_TEST(commit.outcome == outcome_code::done);
  BOOST_TEST(commit.position.lsn == state("db1")["lsn"]);
  BOOST_TEST(single_value("db1", count_orders) == "1");
}

BOOST_FIXTURE_TEST_CASE(rollback_discards_changes, orders) {
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  BOOST_TEST(run(*primary, step_of(statement_step::rollback)).outcome ==
             outcome_code::done);
  BOOST_TEST(single_value("db1", count_orders) == "0");
  BOOST_TEST(run(*primary, insert_one).outcome == outcome_code::done);
}

BOOST_FIXTURE_TEST_CASE(failed_transaction_does_not_commit, orders) {
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  auto again = run(*primary, step_of(statement_step::inside, insert_one.sql));
  BOOST_TEST(again.outcome == outcome_code::failed);
  auto commit = run(*primary, step_of(statement_step::commit));
  BOOST_TEST(commit.outcome == outcome_code::failed);
  BOOST_TEST(commit.sql_state == "25P02");
  BOOST_TEST(single_value("db1", count_orders) == "0");
}

BOOST_FIXTURE_TEST_CASE(uncommitted_changes_are_isolated, orders) {
  auto second_connection = connect("db1");
  run(*primary, step_of(statement_step::begin));
  run(*primary, step_of(statement_step::inside, insert_one.sql));
  std::optional<answer> second;
  second_connection->run(
      write_of("update orders set what = 'lost' where id = 1"), false,
      [&](answer result) { second = std::move(result); });
  auto reply = run(*primary, step_of(statement_step::inside, count_orders));
  BOOST_TEST(reply.result.find("[[1]]") != std::string::npos);
  BOOST_TEST(!second.has_value());
  run(*primary, step_of(statement_step::rollback));
  wait_until([&] { return second.has_value(); });
  BOOST_TEST(second->result.find("UPDATE 0") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(step_must_match_transaction_state, orders) {
  for (auto step : {statement_step::inside, statement_step::commit,
                    statement_step::rollback}) {
    auto refused = run(*primary, step_of(step, insert_one.sql));
    BOOST_TEST(refused.outcome == outcome_code::not_run);
    BOOST_TEST(refused.reason == reason_code::transaction_gone);
  }
  BOOST_TEST(single_value("db1", count_orders) == "0");
  run(*primary, step_of(statement_step::begin));
  BOOST_TEST(run(*primary, insert_one).reason == reason_code::transaction_gone);
}

BOOST_AUTO_TEST_SUITE_END()
