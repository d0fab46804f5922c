#pragma once

#include <memory>
#include <vector>

#include "process/admin-server.h"
#include "process/control-bus.h"
#include "process/drain-service.h"
#include "process/group-service.h"
#include "process/listener.h"
#include "process/member-service.h"
#include "process/platform-client.h"
#include "process/pool-thread.h"
#include "process/process-metrics.h"
#include "process/traffic-thread.h"
#include "version/config-service.h"

namespace toucanmux {

/// A pool process: the control state, which lives on the creating thread, and
/// the traffic threads.
class pool_process {
 public:
  explicit pool_process(const pool_settings& settings);
  ~pool_process();
  Q_DISABLE_COPY_MOVE(pool_process)

  /// Starts to listen, to join the fleet and to follow the platform.
  void start();
  /// Drains: reports not ready, then refuses new work, answers the statements
  /// in flight and calls `done`.
  void drain(std::function<void()> done);

 private:
  struct traffic;

  void adopt(qintptr descriptor);
  void publish(fleet_view_ptr view);
  void publish(const group_state& state);
  void stop_new_work();
  bool idle();
  void add_pages();
  bool ready() const;

  pool_settings settings_;
  std::shared_ptr<prometheus::Registry> metrics_;
  control_metrics control_metrics_;
  platform_client platform_;
  control_bus bus_;
  std::vector<std::unique_ptr<traffic>> threads_;
  std::size_t next_thread_ = 0;
  listener entry_listener_;
  admin_server admin_;
  fleet_view_ptr view_;
  std::map<group_id, group_hint> hints_;
  group_service groups_;
  member_service members_;
  config_service config_;
  drain_service drain_;
};

}  // namespace toucanmux
