#pragma once

#include <map>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "toucanmux/process/limits-message.h"
#include "toucanmux/process/limits-timing.h"
#include "toucanmux/process/platform-object.h"
#include "toucanmux/process/seat-lease.h"
#include "toucanmux/process/seat.h"
#include "toucanmux/process/team-bucket.h"

namespace toucanmux {

/// A request of a team has arrived at this instance.
struct team_arrival {
  team_id team;
  std::uint64_t request = 0;
};

/// The limits of the whole fleet. Requests of teams that are not listed are
/// refused.
struct limits_configured {
  std::vector<team_limit> teams;
};

struct limits_received {
  member_id from;
  std::uint64_t incarnation = 0;
  limits_message message;
};

struct send_limits {
  member_id to;
  limits_message message;
};

/// All rate limits on one instance: the buckets of its teams, and the seats
/// that it holds or follows. It passes events and messages between these
/// decision classes; its only decision of its own is each seat's
/// `seat_contact`.
class instance_limits {
 public:
  struct settings {
    member_id self;
    std::uint64_t incarnation = 0;
    domain_id domain;
    /// All failure domains, this one included.
    std::vector<domain_id> domains;
    /// Fraction of each limit for this domain; 0 for an equal share.
    double domain_share = 0;
    /// Seats in each failure domain.
    std::uint32_t seats = 4;
    limits_timing timing;
  };
  using event = std::variant<limits_configured, members_known, team_arrival,
                             limits_received, peer_heard, object_read,
                             object_written, tick>;
  using action =
      std::variant<admitted, refused, send_limits, read_object, write_object>;

  explicit instance_limits(const settings& values);
  std::vector<action> step(instant now, const event& input);

  /// True if requests wait for tokens, here or at a seat. The caller should
  /// then send a `tick` about every millisecond.
  bool has_waiting_requests() const;
  /// True if every seat has a reachable holder that grants, or a fallback rate
  /// applies.
  bool ready() const;
  /// The number of seats from which this instance grants.
  std::size_t open_seat_count() const;

 private:
  struct seat_slot {
    seat_slot(const seat::settings& seat_values,
              const seat_lease::settings& lease_values)
        : granter(seat_values), lease(lease_values) {}

    // State as a follower; the holder's own instance follows itself too.
    member_id holder;
    seat_term term;
    seat_contact contact = seat_contact::none;
    instant holder_heard_at;
    instant renewed_at;
    std::vector<team_id> teams;
    // State as the holder.
    seat granter;
    seat_lease lease;
    bool lease_held = false;
    bool open = false;
    seat_term own_term;
    std::map<domain_id, member_id> lenders;
    instant lenders_read_at;
  };
  struct batch_key {
    member_id to;
    std::uint32_t seat = 0;
    bool operator<(const batch_key& other) const {
      return std::tie(to, seat) < std::tie(other.to, other.seat);
    }
  };
  struct batch {
    std::vector<team_grant_request> grant_requests;
    std::vector<team_grant> grants;
    std::vector<team_loan_request> loan_requests;
    std::vector<team_loan> loans;
  };

  void on(instant now, const limits_configured& input);
  void on(instant now, const members_known& input);
  void on(instant now, const team_arrival& input);
  void on(instant now, const limits_received& received);
  void on(instant now, const peer_heard& input);
  void on(instant now, const object_read& input);
  void on(instant now, const object_written& input);
  void on(instant now, const tick& input);

  void handle(instant now, const limits_received& received,
              const grant_request& message);
  void handle(instant now, const limits_received& received,
              const grant_reply& message);
  void handle(instant now, const limits_received& received,
              const seats_held& message);
  void handle(instant now, const limits_received& received,
              const seats_released& message);
  void handle(instant now, const limits_received& received,
              const loan_request& message);
  void handle(instant now, const limits_received& received,
              const loan_reply& message);

  void step_bucket(instant now, const team_id& team,
                   const team_bucket::event& input);
  void step_seat(instant now, std::uint32_t seat, const seat::event& input);
  void step_lease(instant now, std::uint32_t seat,
                  const seat_lease::event& input);
  void step_leases(instant now, const seat_lease::event& input);
  void apply_hold(instant now, std::uint32_t seat, const hold_seat& state);
  void close_seat(instant now, std::uint32_t seat);
  void apply_notice(instant now, const member_id& from,
                    const seat_notice& notice);
  void handle_pause(instant now);
  void record_contact(instant now, const member_id& from);
  void set_contact(instant now, std::uint32_t seat, seat_contact contact);
  void revoke_allocations(instant now, std::uint32_t seat);
  void check_contact(instant now, std::uint32_t seat);
  void renew_seat(instant now, std::uint32_t seat);
  void announce(instant now);
  void read_lenders(instant now, std::uint32_t seat);
  void record_lender(instant now, std::uint32_t seat, const domain_id& domain,
                     const member_id& holder);
  void send(const member_id& to, limits_message message);
  void send_batches(instant now);
  std::uint32_t seat_of(const team_id& team) const;
  bool is_valid_seat(std::uint32_t seat) const { return seat < slots_.size(); }

  settings settings_;
  std::vector<seat_slot> slots_;
  /// Peers in the failure domain, sorted, without this instance.
  std::vector<member_id> peers_;
  std::unordered_map<team_id, team_bucket> buckets_;
  std::unordered_set<team_id> waiting_teams_;
  instant last_step_at_;
  bool running_ = false;
  instant peer_heard_at_;
  instant announced_at_;
  std::map<batch_key, batch> batches_;
  std::vector<send_limits> outbox_;
  std::vector<action> actions_;
};

}  // namespace toucanmux
