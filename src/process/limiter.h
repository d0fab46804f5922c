#pragma once

#include <QTimer>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "process/admission.h"
#include "process/control-bus.h"
#include "process/platform-client.h"
#include "toucanmux/process/instance-limits.h"
#include "toucanmux/version/team-index.h"

namespace toucanmux {

/// The reserved team of an open route, whose bound is the route's own.
team_id open_route_team(const service_id& service, access_class access);

/// The limits of every team and open route of the lists.
std::vector<team_limit> limits_of(const team_index& lists);

/// The limits on one entry: traffic threads ask it, the control thread that
/// made it exchanges messages with other members and the platform.
class limiter {
 public:
  using handler = std::function<void(admission)>;

  limiter(const instance_limits::settings& values, control_bus& bus,
          platform_client& platform);

  /// The entry members of the fleet; from the control thread.
  void set_members(const std::vector<member>& entries);
  /// Takes a newer version of the lists; from the control thread.
  void update(const team_index& lists);
  /// A message of a member was heard; from the control thread.
  void handle_peer_message(const member_id& from);

  /// True once every team's seat has been heard of; it stays so, as refusals
  /// are better than no instance. From the control thread.
  bool ready();

  /// Decides on one statement of a team; from any thread.
  /// @return the decision, or nothing if `later` will be called with it, on
  /// any thread, within the time a request waits for its seat.
  std::optional<admission> admit(const team_id& team, handler later);

 private:
  struct finished_request {
    handler handler_of_request;
    admission result;
  };
  struct effects {
    std::vector<finished_request> finished_requests;
    std::vector<instance_limits::action>
        control_actions;  ///< For the control thread.
    bool requests_waiting = false;
  };

  effects step(const instance_limits::event& what);
  void sort_actions(std::vector<instance_limits::action>&& actions,
                    effects& out);
  void control_step(const instance_limits::event& what);
  void carry_out(effects&& what);
  void receive(const member_id& from, std::uint64_t incarnation,
               std::span<const char> payload);
  void send(const send_limits& what);
  void send_heartbeats();

  control_bus& bus_;
  platform_client& platform_;
  instance_limits::settings settings_;
  std::unordered_map<member_id, endpoint> addresses_;
  std::vector<member_id> peers_;  ///< Of the failure domain.
  std::size_t next_heartbeat_peer_ = 0;
  QTimer tick_timer_;
  QTimer quick_tick_timer_;
  QTimer heartbeat_timer_;
  bool ready_ = false;

  std::mutex mutex_;  ///< Guards what follows.
  instance_limits limits_;
  std::unordered_map<std::uint64_t, handler> waiting_;
  std::uint64_t last_request_ = 0;
};

}  // namespace toucanmux
