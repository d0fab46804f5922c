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
    duration yield_for = std::chrono::milliseconds(6000);
    /// A holder that is not heard any more is left alone for so long.
    duration yield_to_silent = std::chrono::milliseconds(1200);
    /// A suspicion that nothing confirms ends after so long.
    duration confirm_within = std::chrono::milliseconds(4000);
    /// Databases are asked for their position for so long.
    duration ask_for = std::chrono::milliseconds(350);
    /// A replica gets so long to receive what the old leader has.
    duration catch_up = std::chrono::milliseconds(800);
    duration ask_again = std::chrono::milliseconds(60);
    /// A step without an answer ends the round after so long.
    duration step_limit = std::chrono::milliseconds(2000);
    /// The order is sent so soon after its record was written, or never.
    duration order_within = std::chrono::milliseconds(1000);
    /// An order without an answer may be carried out for so long.
    duration order_open = std::chrono::milliseconds(8000);
    /// The order's receiver refuses tokens that are lower than the last.
    bool tokens_checked = true;
  };

  takeover(const settings& values, const member_id& self)
      : settings_(values), self_(self) {}

  std::vector<takeover_action> step(instant now, const takeover_event& what);
  bool running() const { return phase_ != phase::idle; }
  /// Waits for the leases' end, whether the failure is confirmed or not.
  bool waits() const { return phase_ == phase::waiting; }

 private:
  friend struct takeover_inspector;

  enum class phase : std::uint8_t {
    idle,
    reading_duty,
    revoking,
    waiting,  ///< For the failure's confirmation and the leases' end.
    asking,
    recording,
    naming,
    settling,
    giving_back
  };

  void on(instant now, const takeover_start& what);
  void on(instant now, const takeover_confirmed& what);
  void on(instant now, const takeover_withdrawn& what);
  void on(instant now, const leases_given_up& what);
  void on(instant now, const duty_read& what);
  void on(instant now, const duty_written& what);
  void on(instant now, const position_seen& what);
  void on(instant now, const leader_named& what);
  void on(instant now, const takeover_tick& what);

  void enter(instant now, phase next);
  void write(instant now, phase next, lead_phase what,
             const database_id& leader);
  void take_step_down(instant now, const position_seen& what);
  void take_written(instant now);
  void ask_to_step_down();
  void demote(const position_seen& what);
  void go_on(instant now);
  void tick_asking(instant now);
  void ask_all(instant now);
  void choose(instant now);
  void name(instant now, const database_id& which);
  bool enough_answers() const;
  const database_id* furthest() const;
  void give_back(instant now);
  void end(takeover_end how);
  bool must_yield(instant now, const duty_read& what);
  void note_open_order(instant now, const duty_read& what);
  instant seen_since(instant now, std::uint64_t revision);

  settings settings_;
  member_id self_;
  phase phase_ = phase::idle;
  instant entered_;
  instant asked_;
  takeover_start goal_;
  std::uint64_t token_ = 0;
  std::uint64_t revision_ = 0;  ///< Of the duty's object.
  std::uint64_t fence_term_ = 0;
  instant revoked_at_;
  bool was_revoked_ = false;  ///< Before this round, since `revoked_at_`.
  bool confirmed_ = false;
  bool withdrawn_ = false;
  bool given_up_ = false;                     ///< All leases, by their holders.
  std::optional<log_position> old_position_;  ///< Where it stepped down.
  std::map<database_id, log_position> answers_;  ///< What they received.
  database_id chosen_;
  database_id open_order_;  ///< Of which an order may be open; may be empty.
  bool repeats_ = false;    ///< That order is an earlier one.
  std::uint64_t refused_revision_ = 0;  ///< Whose order was refused.
  // The last object that was read, and since when it has been the same.
  std::uint64_t seen_revision_ = 0;
  instant seen_since_;
  std::vector<takeover_action> actions_;
};

}  // namespace toucanmux
