#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/lead-lease.h"
#include "toucanmux/proxy/takeover-messages.h"

namespace toucanmux {

struct takeover_inspector;

/// One change of a group's leader, from the fencing token to the order that
/// names the new leader.
///
/// The first write of the duty's object takes a token and revokes the leases
/// on the old leader, the second one names the new leader. Between them the
/// leases run out, unless all instances have given them up or the old leader
/// has stepped down. Each write is conditional, so of two instances only one
/// goes on.
class takeover {
 public:
  struct settings {
    /// Another instance that is at work is left alone for so long.
    duration active_holder_timeout = std::chrono::milliseconds(6000);
    /// A holder that is not heard any more is left alone for so long.
    duration silent_holder_timeout = std::chrono::milliseconds(1200);
    /// A suspicion that nothing confirms ends after so long.
    duration confirmation_timeout = std::chrono::milliseconds(4000);
    /// Databases are asked for their position for so long.
    duration position_query_timeout = std::chrono::milliseconds(350);
    /// A replica gets so long to receive what the old leader has.
    duration catch_up_timeout = std::chrono::milliseconds(800);
    duration position_query_interval = std::chrono::milliseconds(60);
    /// A step without an answer ends the round after so long.
    duration step_timeout = std::chrono::milliseconds(2000);
    /// The order is sent so soon after its record was written, or never.
    duration promotion_send_timeout = std::chrono::milliseconds(1000);
    /// An order without an answer may be carried out for so long.
    duration promotion_lifetime = std::chrono::milliseconds(8000);
    /// The order's receiver refuses tokens that are lower than the last.
    bool tokens_checked = true;
  };

  takeover(const settings& values, const member_id& self)
      : settings_(values), self_(self) {}

  std::vector<takeover_action> step(instant now, const takeover_event& event);
  bool running() const { return phase_ != phase::idle; }
  /// Waits for the leases' end, whether the failure is confirmed or not.
  bool awaiting_lease_expiry() const {
    return phase_ == phase::awaiting_leases;
  }

 private:
  friend struct takeover_inspector;

  enum class phase : std::uint8_t {
    idle,
    reading_duty,
    revoking,
    awaiting_leases,  ///< For the failure's confirmation and the leases' end.
    querying_positions,
    recording_choice,
    promoting,
    settling,
    restoring_leader
  };

  void on(instant now, const takeover_start& start);
  void on(instant now, const failure_confirmed& event);
  void on(instant now, const suspicion_withdrawn& event);
  void on(instant now, const leases_released& event);
  void on(instant now, const duty_read& duty);
  void on(instant now, const duty_written& result);
  void on(instant now, const position_reply& reply);
  void on(instant now, const promotion_ended& result);
  void on(instant now, const takeover_tick& event);

  void enter_phase(instant now, phase next);
  void write_record(instant now, phase next, leadership_phase record_phase,
                    const database_id& leader);
  void handle_step_down_reply(instant now, const position_reply& reply);
  void handle_written(instant now);
  void request_step_down();
  void demote(const position_reply& reply);
  void check_wait(instant now);
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

  settings settings_;
  member_id self_;
  phase phase_ = phase::idle;
  instant phase_entered_at_;
  instant positions_queried_at_;
  takeover_start request_;
  std::uint64_t token_ = 0;
  std::uint64_t duty_revision_ = 0;  ///< Of the duty's object.
  std::uint64_t fence_term_ = 0;
  instant revoked_at_;
  bool revoked_before_ = false;  ///< Before this round, since `revoked_at_`.
  bool failure_confirmed_ = false;
  bool suspicion_withdrawn_ = false;
  bool leases_released_ = false;  ///< All leases, by their holders.
  std::optional<log_position> old_leader_position_;  ///< Where it stepped down.
  std::map<database_id, log_position>
      replica_positions_;  ///< What they received.
  database_id new_leader_;
  database_id
      pending_promotion_;  ///< Of which an order may be open; may be empty.
  bool promotion_inherited_ = false;    ///< That order is an earlier one.
  std::uint64_t refused_revision_ = 0;  ///< Whose order was refused.
  // The last object that was read, and since when it has been the same.
  std::uint64_t last_read_revision_ = 0;
  instant last_read_since_;
  std::vector<takeover_action> actions_;
};

}  // namespace toucanmux
