#pragma once

#include <functional>

#include "connection/control-session.h"
#include "toucanmux/process/promoter.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// Executes a promoter's requests to one database and reports each result as
/// an event. Polls and commands use one connection; heartbeats, which may wait
/// for a standby, use another.
class database_control {
 public:
  using event_handler = std::function<void(promoter::event)>;

  database_control(const database& target, event_handler on_event);

  void heartbeat();
  void poll();
  void fence(std::uint64_t term);
  void promote(std::uint64_t term);
  void follow(std::uint64_t term, const database& primary);

  const database& target() const { return target_; }

 private:
  using status_handler = std::function<void(const database_status&)>;
  using condition = std::function<bool(const database_status&)>;
  using statements = std::vector<std::string>;
  /// Returns the SQL for a database that meets the condition.
  using script = std::function<statements(const database_status&)>;

  void read_status(upstream_connection& connection, const status_handler& done);
  void run_command(control_command command, std::uint64_t term,
                   const condition& applicable, const script& change_sql);
  void run_statements(upstream_connection& connection,
                      const command_ended& result, statements remaining);
  void end_heartbeat(heartbeat_result result, const log_position& position);

  database target_;
  event_handler on_event_;
  control_session commands_;
  control_session heartbeats_;
};

}  // namespace toucanmux
