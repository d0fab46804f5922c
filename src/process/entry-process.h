#pragma once

#include <QTimer>
#include <memory>
#include <vector>

#include "process/admin-server.h"
#include "process/control-bus.h"
#include "process/drain-service.h"
#include "process/entry-thread.h"
#include "process/limiter.h"
#include "process/listener.h"
#include "process/member-service.h"
#include "process/platform-client.h"
#include "process/process-metrics.h"
#include "process/traffic-thread.h"
#include "version/config-service.h"

namespace toucanmux {

/// An entry process: the control state, which lives on the creating thread, and
/// the traffic threads.
class entry_process {
 public:
  explicit entry_process(const entry_settings& settings);
  ~entry_process();
  Q_DISABLE_COPY_MOVE(entry_process)

  /// Starts to listen, to join the fleet and to follow the platform.
  void start();
  /// Drains: reports not ready, then refuses new callers, answers the requests
  /// in flight and calls `done`.
  void drain(std::function<void()> done);

 private:
  struct traffic;

  void adopt(qintptr descriptor);
  void publish(fleet_view_ptr view);
  void admit(traffic& requester, const team_id& team,
             const std::function<void(admission)>& done);
  void update_limiter_members();
  void stop_new_work();
  void end_transactions();
  bool idle();
  bool ready();
  void add_pages();

  entry_settings settings_;
  std::shared_ptr<prometheus::Registry> metrics_;
  control_metrics control_metrics_;
  statement_metrics statement_metrics_;
  platform_client platform_;
  control_bus bus_;
  limiter limiter_;
  std::vector<std::unique_ptr<traffic>> threads_;
  std::size_t next_thread_ = 0;
  listener caller_listener_;
  admin_server admin_;
  fleet_view_ptr view_;
  instant first_view_at_;
  member_service members_;
  config_service config_;
  drain_service drain_;
  QTimer transaction_timer_;
};

}  // namespace toucanmux
