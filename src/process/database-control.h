#pragma once

#include <functional>

#include "connection/control-session.h"
#include "toucanmux/process/promoter.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// Carries out what a promoter asks of one database: polls and commands on
/// one connection, heartbeats, which may wait for a standby, on another.
class database_control {
 public:
  using event_handler = std::function<void(promoter::event)>;

  database_control(const database& target, event_handler hear);

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
  /// Gives the SQL for a database that meets the condition.
  using script = std::function<statements(const database_status&)>;

  void read_status(upstream_connection& on, const status_handler& done);
  void run_command(control_command what, std::uint64_t term,
                   const condition& fits, const script& change_sql);
  void run_statements(upstream_connection& on, const command_ended& end,
                      statements left);
  void end_heartbeat(heartbeat_result result, const log_position& position);

  database target_;
  event_handler on_event_;
  control_session commands_;
  control_session heartbeats_;
};

}  // namespace toucanmux
