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

/// The reserved team id under which an open route's own limits are kept.
team_id open_route_team(const service_id& service, access_class access);

/// The limits of every team and open route in the lists.
std::vector<team_limit> limits_of(const team_index& lists);

/// Rate limits of one entry. Traffic threads call admit(); the control thread,
/// which created the object, exchanges messages with other entries and the
/// platform.
class limiter {
 public:
  using handler = std::function<void(admission)>;

  limiter(const instance_limits::settings& values, control_bus& bus,
          platform_client& platform);

  /// Sets the known entries of the fleet; called on the control thread.
  void set_members(const std::vector<member>& entries);
  /// Applies a newer version of the lists; called on the control thread.
  void update(const team_index& lists);
  /// Records that a message of a member arrived; called on the control thread.
  void handle_peer_message(const member_id& from);

  /// True once every team's seat is known. Stays true from then on, because an
  /// instance that refuses statements is better than none. Called on the
  /// control thread.
  bool ready();

  /// Decides on one statement of a team; may be called on any thread.
  /// @return the decision, or nothing if `on_decision` will be called with it
  /// on any thread, at the latest when the request's wait for its seat times
  /// out.
  std::optional<admission> admit(const team_id& team, handler on_decision);

 private:
  struct finished_request {
    handler on_decision;
    admission result;
  };
  struct effects {
    std::vector<finished_request> finished_requests;
    /// Run by the control thread.
    std::vector<instance_limits::action> control_actions;
    bool requests_waiting = false;
  };

  effects step(const instance_limits::event& event);
  void sort_actions(std::vector<instance_limits::action>&& actions,
                    effects& out);
  void control_step(const instance_limits::event& event);
  void apply_effects(effects&& results);
  void receive(const member_id& from, std::uint64_t incarnation,
               std::span<const char> payload);
  void send(const send_limits& outgoing);
  void send_heartbeats();

  control_bus& bus_;
  platform_client& platform_;
  instance_limits::settings settings_;
  std::unordered_map<member_id, endpoint> addresses_;
  std::vector<member_id> peers_;  ///< Entries of the same failure domain.
  std::size_t next_heartbeat_peer_ = 0;
  QTimer tick_timer_;
  QTimer quick_tick_timer_;
  QTimer heartbeat_timer_;
  bool ready_ = false;

  std::mutex mutex_;  ///< Guards the members below.
  instance_limits limits_;
  std::unordered_map<std::uint64_t, handler> waiting_;
  std::uint64_t last_request_ = 0;
};

}  // namespace toucanmux
