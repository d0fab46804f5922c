#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "standin/database-server.h"
#include "standin/database-settings.h"

namespace toucanmux::standin {

/// The databases of one group, and the faults that befall them.
class database_cluster {
 public:
  /// Serves until it is destroyed.
  explicit database_cluster(const database_settings& settings);
  ~database_cluster();
  Q_DISABLE_COPY_MOVE(database_cluster)

  /// @throws error if there is no such database.
  database_server& at(std::string_view id);
  /// `{"database": "db1", "fault": "kill", "ms": 0, "callers": false}`
  /// @throws error if the fault can't be read.
  void inject_fault(const nlohmann::json& what);
  nlohmann::json state();
  /// Runs a read on what a database shows.
  nlohmann::json dump(std::string_view id, std::string_view sql);

 private:
  void reattach_all();

  std::vector<std::unique_ptr<database_server>> databases_;
};

}  // namespace toucanmux::standin
