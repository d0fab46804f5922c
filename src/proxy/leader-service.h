#pragma once

#include <map>
#include <optional>

#include "proxy/http-caller.h"
#include "proxy/peer-service.h"
#include "proxy/proxy-state.h"
#include "proxy/store-sync.h"
#include "toucanmux/proxy/takeover.h"

namespace toucanmux {

/// Replaces leaders that have failed or that leave.
class leader_service {
 public:
  leader_service(proxy_state& state, peer_service& peers, store_sync& store);

  /// Called a few times a second.
  void tick();

 private:
  struct watched {
    watched(const takeover::settings& values, const member_id& self)
        : change(values, self) {}

    takeover change;
    std::optional<instant> wanted;      ///< Since when a change is due.
    std::optional<instant> leaderless;  ///< Since when nobody leads.
    std::optional<database_id> last;    ///< The last leader that was seen.
    instant rest_until;                 ///< A change has just been tried.
    /// All instances, as the store knew them once the leases were revoked.
    std::optional<std::vector<store_api::member_record>> holders;
  };

  /// Why a change of leader is due.
  enum class cause : std::uint8_t {
    none,
    suspected,  ///< The leases may run out while the failure is confirmed.
    failed,
    leaves,
    leaderless
  };

  void tick_group(upstream_group& group, watched& what);
  void tick_change(upstream_group& group, const watched& what);
  void note_leader(const upstream_group& group, watched& what);
  cause due(upstream_group& group, const watched& what);
  cause judge(upstream_group& group, const database_id& leader);
  bool another_is_at_it(const upstream_group& group) const;
  duration turn_of_self(upstream_group& group, cause why) const;
  void start(upstream_group& group, watched& what, cause why);
  void step(const group_id& id, const takeover_event& event);
  void carry_out(const group_id& id, const takeover_action& action);
  void ask(const group_id& group, const database_id& id, link_purpose kind,
           std::uint64_t term);
  void take_duty(const group_id& id, const duty_read& found);
  void write(const write_duty& what);
  void read_back(const write_duty& what);
  void take_written(const write_duty& what, const duty_written& outcome);
  void list_holders(const group_id& id);
  void take_holders(const group_id& id, const http_result& result);
  void name(const name_leader& what);
  void ended(const group_id& id, takeover_end how);

  proxy_state& state_;
  peer_service& peers_;
  store_sync& store_;
  http_caller failover_;
  std::map<group_id, watched> groups_;
};

}  // namespace toucanmux
