#pragma once

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "connection/frame-link.h"
#include "process/listener.h"
#include "process/member-service.h"
#include "process/platform-client.h"
#include "toucanmux/process/config-follower.h"
#include "version/fleet-view.h"

namespace toucanmux {

/// Executes the actions of `config_follower` and publishes fleet views built
/// from the configuration and the member list. Peers fetch objects over TCP, on
/// the port with the number of the control port. Runs on the control thread.
class config_service {
 public:
  using view_handler = std::function<void(fleet_view_ptr)>;

  /// Calls `publish` on the control thread with each new view.
  config_service(const process_settings& settings, platform_client& platform,
                 member_service& members, view_handler publish);
  ~config_service();
  Q_DISABLE_COPY_MOVE(config_service)

  /// Listens for peers and starts to follow the configuration.
  /// @throws settings_error if the port is in use.
  void start();
  /// Reads the member list again; call it after each change.
  void members_changed();
  /// Handles the configuration digest from the heartbeat of `sender`.
  void handle_peer_digest(const member_id& sender, const std::string& digest);

  /// True once both lists are active and no known peer has newer versions.
  bool ready() const { return follower_.ready(); }
  /// Time since the platform last confirmed the active configuration.
  duration age() const;

 private:
  struct fetch;

  void step(const config_follower::event& event);
  void execute(config_follower::watch_kind&& request);
  void execute(config_follower::fetch_from_peer&& request);
  void execute(config_follower::send_objects&& answer);
  void execute(config_follower::activate_object&& update);
  void execute(config_follower::refuse_object&& rejection);
  void execute(config_follower::set_digest&& update);
  void execute(config_follower::become_ready&&);

  void handle_fetch_reply(std::uint64_t id, link_message&& message);
  void finish_fetch(std::uint64_t id, bool reached);
  void accept_link(qintptr descriptor);
  void publish_view();

  platform_client& platform_;
  member_service& members_;
  view_handler publish_;
  config_follower follower_;
  listener peer_listener_;
  std::map<std::uint64_t, fetch> fetches_;
  std::map<std::uint64_t, std::unique_ptr<frame_link>> peer_links_;
  std::uint64_t last_link_id_ = 0;
  std::map<group_id, database_group> groups_;
  team_index_ptr teams_;
  bool lists_changed_ = false;
  bool view_outdated_ = false;
  QTimer timer_;
};

}  // namespace toucanmux
