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

/// Executes the actions of `membership` and passes datagrams, ticks
/// and the platform's list of instances to it. Lives on the control thread.
class member_service {
 public:
  struct handlers {
    std::function<void()> members_changed;  ///< A member's state changed.
    std::function<void(const member_id& from, const std::string& digest)>
        digest_received;
    std::function<void()> drain_requested;
  };

  member_service(const process_settings& settings, control_bus& bus,
                 platform_client& platform);

  void on(handlers callbacks) { handlers_ = std::move(callbacks); }
  void start();
  /// Sets the configuration digest that every heartbeat carries from now on.
  void set_digest(const std::string& digest, bool urgent);
  /// Announces that this member will soon accept no new work.
  void leave();
  /// Tells a few peers that this member has stopped; sends nothing afterwards.
  void stop();

  /// The pools that may own databases. Leaving pools are included only in a
  /// failure domain that has no other; this member is included until it stops.
  std::vector<member> pools() const;
  /// The live members of the own failure domain that are not leaving.
  std::vector<member_id> domain_members() const;
  /// @return the member, or null if it is not known.
  const member* find(const member_id& id) const;
  const member& self() const { return self_; }

 private:
  void step(const membership::event& event);
  void handle_message(const member_id& from, std::span<const char> payload);
  void tick();
  void read_instances();
  void record_change(const member& changed);
  void note_skipped(std::size_t count);
  void add_pools(const member_table::domain_view& view, bool leaving,
                 std::vector<member>& out) const;

  member self_;
  control_bus& bus_;
  platform_client& platform_;
  membership members_;
  handlers handlers_;
  instant next_instances_read_;
  std::size_t skipped_instances_ = 0;  ///< As last logged.
  bool changed_ = true;  ///< `members_changed` is still to be called.
  QTimer timer_;
};

}  // namespace toucanmux
