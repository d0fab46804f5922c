#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "standin/database-server.h"
#include "standin/database-settings.h"

namespace toucanmux::standin {

/// The databases of one group, and the faults injected into them.
class database_cluster {
 public:
  /// Starts the databases, which serve until the cluster is destroyed.
  explicit database_cluster(const database_settings& settings);
  ~database_cluster();
  Q_DISABLE_COPY_MOVE(database_cluster)

  /// @throws error if no database has this id.
  database_server& at(std::string_view id);
  /// Injects a fault, given as `{"database": "db1", "fault": "kill", "ms": 0,
  /// "callers": false}`.
  /// @throws error if the database or the fault is unknown.
  void inject_fault(const nlohmann::json& request);
  nlohmann::json state();
  /// Runs a read on the committed state that a database shows its callers.
  nlohmann::json dump(std::string_view id, std::string_view sql);

 private:
  void reattach_all();

  std::vector<std::unique_ptr<database_server>> databases_;
};

}  // namespace toucanmux::standin
