#pragma once

#include <QTimer>
#include <functional>
#include <string>
#include <vector>

#include "process/control-bus.h"
#include "process/platform-client.h"
#include "process/process-settings.h"
#include "toucanmux/process/membership.h"

namespace toucanmux {

/// Carries out what `membership` decides. Lives on the control thread.
class member_service {
 public:
  struct handlers {
    std::function<void()>
        members_changed;  ///< Somebody came, went or is leaving.
    std::function<void(const member_id& from, const std::string& digest)>
        digest_received;
    std::function<void()> told_to_leave;
  };

  member_service(const process_settings& settings, control_bus& bus,
                 platform_client& platform);

  void on(handlers handle) { handlers_ = std::move(handle); }
  void start();
  /// What every heartbeat carries from now on.
  void set_digest(const std::string& digest, bool urgent);
  /// Tells the others that this member takes no new work soon.
  void leave();
  /// Tells a few that this member has gone. Nothing is sent after that.
  void stop();

  /// The pools that may own databases. Leaving ones count only in a domain
  /// that has no other; this member counts until it stops.
  std::vector<member> pools() const;
  /// The live members of the own failure domain that are not leaving.
  std::vector<member_id> domain_members() const;
  /// Null if the member is not known.
  const member* find(const member_id& id) const;
  const member& self() const { return self_; }

 private:
  void run_step(const membership::event& what);
  void handle_message(const member_id& from, std::span<const char> payload);
  void tick();
  void read_instances();
  void record_change(const member& changed);
  void add_pools(const member_table::domain_view& view, bool leaving,
                 std::vector<member>& out) const;

  member self_;
  control_bus& bus_;
  platform_client& platform_;
  membership members_;
  handlers handlers_;
  instant next_read_;
  bool changed_ = true;
  QTimer timer_;
};

}  // namespace toucanmux
