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

/// Runs the promoters and position watches of the groups of which this pool
/// owns a database. Lives on the control thread.
class group_service {
 public:
  using publish_handler = std::function<void(const group_state&)>;

  group_service(const member& self, platform_client& platform, control_bus& bus,
                publish_handler publish);
  ~group_service();
  Q_DISABLE_COPY_MOVE(group_service)

  /// Takes a newer view of the fleet.
  void update(fleet_view_ptr view);
  /// True if this pool's promoter tells of the group.
  bool serves(const group_id& id) const { return groups_.contains(id); }

 private:
  struct served_group;

  void handle_event(const group_id& id, const promoter::event& what);
  void update_positions(served_group& group, const promoter::event& what);
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
