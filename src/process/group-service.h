#pragma once

#include <QTimer>
#include <functional>
#include <map>
#include <memory>

#include "process/control-bus.h"
#include "process/database-control.h"
#include "process/group-state.h"
#include "process/platform-client.h"
#include "toucanmux/process/position-watch.h"
#include "toucanmux/process/promoter.h"
#include "version/fleet-view.h"

namespace toucanmux {

/// Runs the promoter and the position watch of each group of which this pool
/// owns a database. Lives on the control thread.
class group_service {
 public:
  using publish_handler = std::function<void(const group_state&)>;

  group_service(const member& self, platform_client& platform, control_bus& bus,
                publish_handler publish);
  ~group_service();
  Q_DISABLE_COPY_MOVE(group_service)

  /// Applies a newer view of the fleet: starts a promoter for each group of
  /// which this pool now owns a database, and passes the owners to all
  /// promoters.
  void update(fleet_view_ptr view);
  /// True if this pool runs a promoter for the group, which then publishes the
  /// group's state.
  bool serves(const group_id& id) const { return groups_.contains(id); }

 private:
  struct served_group;

  void handle_event(const group_id& id, const promoter::event& event);
  void update_positions(served_group& group, const promoter::event& event);
  void receive(const member_id& from, std::span<const char> payload);
  void send(const member_id& to, const group_message& message);
  void read_group_record(const group_id& id);
  database_control* control_for(const group_id& id,
                                const database_id& database);
  void publish(served_group& group);
  void tick();

  member self_;
  platform_client& platform_;
  control_bus& bus_;
  publish_handler publish_;
  fleet_view_ptr view_;
  std::map<group_id, std::unique_ptr<served_group>> groups_;
  QTimer timer_;
};

}  // namespace toucanmux
