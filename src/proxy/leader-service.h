#pragma once

#include <map>
#include <optional>

#include "proxy/http-caller.h"
#include "proxy/peer-service.h"
#include "proxy/proxy-state.h"
#include "proxy/store-sync.h"
#include "toucanmux/proxy/takeover.h"

namespace toucanmux {

/// Detects groups whose leader has failed, drains or is missing, and runs the
/// takeovers that replace it.
class leader_service {
 public:
  leader_service(proxy_state& state, peer_service& peers, store_sync& store);

  /// Checks all groups; called several times a second.
  void tick();

 private:
  struct group_state {
    group_state(const takeover::settings& values, const member_id& self)
        : replacement(values, self) {}

    takeover replacement;
    std::optional<instant> due_since;         ///< When a takeover became due.
    std::optional<instant> leaderless_since;  ///< When the leader was lost.
    std::optional<database_id> last_leader;   ///< The last known leader.
    instant next_attempt_at;                  ///< Earliest start of a takeover.
    /// All instances that the store listed after the leases were revoked; empty
    /// until the list is read.
    std::optional<std::vector<store_api::member_record>> lease_holders;
  };

  /// Why a takeover is due.
  enum class cause : std::uint8_t {
    none,
    suspected,  ///< Leases expire while the failure is confirmed.
    failed,
    leaves,
    leaderless
  };

  void end_takeovers_of_older_generation();
  void tick_group(upstream_group& group, group_state& state);
  void tick_takeover(upstream_group& group, const group_state& state);
  void note_leader(const upstream_group& group, group_state& state);
  cause takeover_cause(upstream_group& group, const group_state& state);
  cause assess_leader(upstream_group& group, const database_id& leader);
  bool peer_takeover_active(const upstream_group& group) const;
  duration own_turn_delay(upstream_group& group, cause reason) const;
  /// Whether databases of drained failure domains may be left out of a
  /// takeover.
  bool avoids_drained_domains(const upstream_group& group,
                              const takeover_start& start) const;
  void start_takeover(upstream_group& group, group_state& state, cause reason);
  void step_takeover(const group_id& id, const takeover_event& event);
  void execute(const group_id& id, const takeover_action& action);
  void query_database(const group_id& group, const database_id& id,
                      link_purpose kind, std::uint64_t term);
  void handle_duty_read(const group_id& id, const http_result& result);
  void write_duty_object(const write_duty& request);
  void verify_write(const write_duty& request);
  void handle_duty_written(const write_duty& request,
                           const duty_written& result);
  void list_lease_holders(const group_id& id);
  void handle_lease_holders(const group_id& id, const http_result& result);
  void send_promotion(const request_promotion& request);
  void handle_ended(const group_id& id, takeover_outcome outcome);

  proxy_state& state_;
  peer_service& peers_;
  store_sync& store_;
  http_caller failover_client_;
  std::map<group_id, group_state> groups_;
  std::uint64_t generation_ = 0;  ///< Of the store, at the last tick.
};

}  // namespace toucanmux
