#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/leader-lease.h"
#include "toucanmux/proxy/store-version.h"
#include "toucanmux/proxy/takeover-messages.h"

namespace toucanmux {

struct takeover_inspector;

/// The replacement of one group's leader, as a state machine without I/O: from
/// taking the fencing token to the promotion of the new leader.
///
/// The first write of the duty object takes a token and revokes the leases on
/// the old leader; the second records the new leader. Between the two the
/// leases expire, unless all instances have released them or the old leader has
/// stepped down. Each write is conditional on the object's revision, so if two
/// instances replace the same leader, only one succeeds.
class takeover {
 public:
  struct settings {
    /// How long to wait for another instance that replaces the leader and still
    /// sends reports. Counted from when this instance learned of its record.
    duration active_holder_timeout = std::chrono::milliseconds(6000);
    /// The same timeout for a holder that sends no reports.
    duration silent_holder_timeout = std::chrono::milliseconds(1200);
    /// How long a suspicion may remain unconfirmed after the revocation.
    duration confirmation_timeout = std::chrono::milliseconds(4000);
    /// How long to wait for the replicas' positions.
    duration position_query_timeout = std::chrono::milliseconds(350);
    /// How long a replica may take to receive the whole log of a leader that
    /// stepped down.
    duration catch_up_timeout = std::chrono::milliseconds(800);
    /// How often positions are queried while replicas catch up.
    duration position_query_interval = std::chrono::milliseconds(60);
    /// How long a call to the store or failover service may take.
    duration step_timeout = std::chrono::milliseconds(2000);
    /// How long the write that records the new leader may take; after that no
    /// promotion is requested.
    duration promotion_send_timeout = std::chrono::milliseconds(1000);
    /// How long a promotion request without an answer may still take effect.
    duration promotion_lifetime = std::chrono::milliseconds(8000);
    /// Whether the failover service refuses a token lower than the last one.
    bool tokens_checked = true;
  };

  takeover(const settings& values, const member_id& self)
      : settings_(values), self_(self) {}

  /// Handles one event and returns the actions that the caller must execute.
  std::vector<takeover_action> step(instant now, const takeover_event& event);
  bool running() const { return phase_ != phase::idle; }
  /// Whether the leases are revoked and have to expire or be released first.
  bool awaiting_lease_expiry() const {
    return phase_ == phase::awaiting_leases;
  }

 private:
  friend struct takeover_inspector;

  enum class phase : std::uint8_t {
    idle,
    reading_duty,
    revoking,
    awaiting_leases,  ///< Lease expiry, and confirmation of the failure.
    querying_positions,
    recording_choice,
    promoting,
    settling,
    restoring_leader
  };

  void on(instant now, const takeover_start& start);
  void on(instant now, const store_restored& event);
  void on(instant now, const failure_confirmed& event);
  void on(instant now, const suspicion_withdrawn& event);
  void on(instant now, const leases_released& event);
  void on(instant now, const duty_read& duty);
  void on(instant now, const duty_written& result);
  void on(instant now, const position_received& reply);
  void on(instant now, const promotion_ended& result);
  void on(instant now, const takeover_tick& event);

  void enter_phase(instant now, phase next);
  void write_record(instant now, phase next, leadership_phase record_phase,
                    const database_id& leader);
  void handle_step_down_reply(instant now, const position_received& reply);
  void advance_after_write(instant now);
  void request_step_down();
  void demote(const position_received& reply);
  void end_wait_if_due(instant now);
  void tick_position_query(instant now);
  void query_all_positions(instant now);
  void choose_leader(instant now);
  void record_choice(instant now, const database_id& database);
  bool has_enough_positions() const;
  const database_id* most_advanced_replica() const;
  void restore_leader(instant now);
  void finish(takeover_outcome outcome);
  bool must_yield(instant now, const duty_read& duty);
  void note_pending_promotion(instant now, const duty_read& duty);
  instant revision_seen_since(instant now, std::uint64_t revision);
  store_version version_of(std::uint64_t revision) const {
    return {request_.generation, revision};
  }

  settings settings_;
  member_id self_;
  phase phase_ = phase::idle;
  instant phase_entered_at_;
  instant positions_queried_at_;
  takeover_start request_;
  std::uint64_t token_ = 0;
  std::uint64_t duty_revision_ = 0;
  std::uint64_t fence_term_ = 0;
  /// When the leases were revoked, as far as known here: set after the first
  /// write, or to the time at which an earlier revocation became known.
  instant revoked_at_;
  bool revoked_before_ = false;  ///< The leases, by an earlier takeover.
  bool failure_confirmed_ = false;
  bool suspicion_withdrawn_ = false;
  bool leases_released_ = false;  ///< By all instances.
  /// The log's end of an old leader that has stepped down.
  std::optional<log_position> old_leader_position_;
  std::map<database_id, log_position> replica_positions_;
  database_id new_leader_;
  /// The database whose promotion may still take effect; empty for none.
  database_id pending_promotion_;
  /// An earlier takeover requested the pending promotion.
  bool promotion_inherited_ = false;
  /// The duty's version that records a refused promotion.
  store_version refused_version_;
  // The version of the last duty object read, and when it was first read.
  store_version last_read_version_;
  instant last_read_since_;
  std::vector<takeover_action> actions_;
};

}  // namespace toucanmux
