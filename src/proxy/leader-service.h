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
    explicit watched(const member_id& self)
        : change(takeover::settings{}, self) {}

    takeover change;
    std::optional<instant> wanted;      ///< Since when a change is due.
    std::optional<instant> leaderless;  ///< Since when nobody leads.
    std::optional<database_id> last;    ///< The last leader that was seen.
    instant rest_until;                 ///< A change has just been tried.
  };

  void tick_group(upstream_group& group, watched& what);
  void note_leader(const upstream_group& group, watched& what);
  bool change_is_due(upstream_group& group, watched& what, bool& planned);
  duration turn_of_self(upstream_group& group, bool planned) const;
  void start(upstream_group& group, watched& what, bool planned);
  void step(const group_id& id, const takeover_event& event);
  void carry_out(const group_id& id, const takeover_action& action);
  void ask(const group_id& group, const database_id& id, link_step kind,
           std::uint64_t term);
  void write(const write_duty& what);
  void read_back(const write_duty& what);
  void name(const name_leader& what);
  void ended(const group_id& id, takeover_end how);

  proxy_state& state_;
  peer_service& peers_;
  store_sync& store_;
  http_caller failover_;
  std::map<group_id, watched> groups_;
};

}  // namespace toucanmux
