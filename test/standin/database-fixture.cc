#include "standin/database-fixture.h"

#include <QCoreApplication>
#include <QThread>
#include <optional>

#include "standin/process-address.h"
#include "standin/slow-peer.h"

namespace toucanmux::standin {

namespace {

constexpr std::uint16_t first_port = 15501;

std::string own_ip() {
  auto address = to_text({process_ip(), first_port});
  return address.substr(0, address.find(':'));
}

}  // namespace

database_settings database_fixture::defaults() {
  database_settings out;
  out.group.id = group_id("g1");
  out.group.term = 1;
  out.group.primary = database_id("db1");
  for (std::uint16_t i = 0; i < 3; ++i) {
    database each;
    each.id = database_id("db" + std::to_string(i + 1));
    each.domain = domain_id("domain" + std::to_string(i + 1));
    each.address = own_ip();
    each.port = first_port + i;
    each.slots = 3;
    each.connection_limit = 50;
    out.group.databases.push_back(each);
  }
  return out;
}

database_fixture::database_fixture(const database_settings& settings)
    : cluster(settings), settings_(settings) {
  wait_until([&] { return state("db1")["attached"] == 2; });
}

upstream_target database_fixture::target(std::string_view id) const {
  for (const auto& one : settings_.group.databases) {
    if (one.id.value == id) return {one.address, one.port, "test"};
  }
  return {};
}

std::unique_ptr<upstream_connection> database_fixture::connect(
    std::string_view id) {
  auto out = std::make_unique<upstream_connection>();
  std::optional<open_result> opened;
  out->open(target(id), [&](const open_result& result) { opened = result; });
  wait_until([&] { return opened.has_value(); });
  if (!opened->ok) throw error(opened->message);
  return out;
}

void database_fixture::inject_fault(std::string_view id,
                                    std::string_view kind) {
  cluster.inject_fault({{"database", id}, {"fault", kind}});
}

nlohmann::json database_fixture::state(std::string_view id) {
  nlohmann::json out;
  auto& server = cluster.at(id);
  server.run_on_thread([&] { out = server.state(); });
  return out;
}

std::string database_fixture::single_value(std::string_view id,
                                           std::string_view sql) {
  return cluster.dump(id, sql).at(0).at(0).get<std::string>();
}

statement read_of(std::string_view sql, log_position required) {
  statement out;
  out.id = 7;
  out.sql = sql;
  out.required = required;
  return out;
}

statement write_of(std::string_view sql, std::string_view key) {
  auto out = read_of(sql);
  out.access = access_class::write;
  out.team = team_id("norte");
  out.idempotency_key = key;
  return out;
}

statement step_of(statement_step step, std::string_view sql) {
  auto out = read_of(sql);
  out.access = access_class::transaction;
  out.step = step;
  return out;
}

void wait_until(const std::function<bool()>& done) {
  while (!done()) {
    QCoreApplication::processEvents();
    QThread::usleep(100);
  }
}

void read_to_end(slow_peer& peer) {
  wait_until([&] {
    peer.read();
    return peer.ended();
  });
}

answer run(upstream_connection& connection, const statement& request,
           bool on_replica) {
  std::optional<answer> received;
  connection.run(request, on_replica,
                 [&](answer result) { received = std::move(result); });
  wait_until([&] { return received.has_value(); });
  return *received;
}

query_result query(upstream_connection& connection, std::string_view sql) {
  std::optional<query_result> received;
  connection.query(sql,
                   [&](query_result result) { received = std::move(result); });
  wait_until([&] { return received.has_value(); });
  return *received;
}

}  // namespace toucanmux::standin
