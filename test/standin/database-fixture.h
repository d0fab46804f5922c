#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "connection/upstream-connection.h"
#include "standin/database-cluster.h"

namespace toucanmux::standin {

class slow_peer;

/// A group of three databases with db1 as primary, on loopback addresses of
/// this process alone, and calls for tests that wait for each answer. The
/// process needs a QCoreApplication.
class database_fixture {
 public:
  explicit database_fixture(const database_settings& settings = defaults());

  static database_settings defaults();

  upstream_target target(std::string_view id) const;
  std::unique_ptr<upstream_connection> connect(std::string_view id);
  void inject_fault(std::string_view id, std::string_view kind);
  nlohmann::json state(std::string_view id);
  /// Runs a read that gives one value, on the data that the database shows.
  std::string single_value(std::string_view id, std::string_view sql);

  database_cluster cluster;

 private:
  database_settings settings_;
};

statement read_of(std::string_view sql, log_position required = {});
statement write_of(std::string_view sql, std::string_view key = {});
statement step_of(statement_step step, std::string_view sql = {});

/// Processes events until `done` returns true.
void wait_until(const std::function<bool()>& done);
/// Reads until the other end has closed the connection.
void read_to_end(slow_peer& peer);
answer run(upstream_connection& connection, const statement& request,
           bool on_replica = false);
query_result query(upstream_connection& connection, std::string_view sql);

}  // namespace toucanmux::standin
