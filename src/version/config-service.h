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

/// Carries out what `config_follower` decides and makes fleet views of the
/// configuration and the members. Peers fetch over TCP at the control port's
/// number. Lives on the control thread.
class config_service {
 public:
  using view_handler = std::function<void(fleet_view_ptr)>;

  config_service(const process_settings& settings, platform_client& platform,
                 member_service& members, view_handler publish);
  ~config_service();
  Q_DISABLE_COPY_MOVE(config_service)

  /// @throws settings_error if the port is taken.
  void start();
  /// Takes the members anew.
  void members_changed();
  void handle_peer_digest(const member_id& from, const std::string& digest);

  bool ready() const { return follower_.ready(); }
  /// Time since the platform confirmed the lists in force.
  duration age() const;

 private:
  struct fetch;

  void step(const config_follower::event& what);
  void execute(config_follower::watch_kind&& asked);
  void execute(config_follower::fetch_from_peer&& asked);
  void execute(config_follower::give_objects&& given);
  void execute(config_follower::take_object&& taken);
  void execute(config_follower::refuse_object&& refused);
  void execute(config_follower::set_digest&& digest);
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
