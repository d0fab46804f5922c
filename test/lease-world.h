#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "toucanmux/proxy/leader-lease.h"
#include "toucanmux/proxy/takeover.h"

namespace toucanmux::standin {

/// A model of one group of three databases, three instances of which two may
/// replace the leader, the store and the failover service. Each message may be
/// late or lost; each instance may pause or restart. A former leader accepts
/// writes until it is told to step down.
class lease_world {
 public:
  static constexpr std::size_t instances = 3;
  static constexpr std::size_t replacers = 2;
  static constexpr std::size_t databases = 3;
  /// One event "time" advances the clock by a quarter of a lease.
  static constexpr duration step = leader_lease::length / 4;

  /// Faults put into the model, each of which disables one safeguard. With all
  /// false, the model matches the product.
  struct flaws {
    bool promotes_without_waiting = false;
    bool confirms_with_other_records = false;
    bool confirms_at_arrival = false;  ///< Instead of when the read was sent.
    bool doubles_lease = false;
    bool promotes_late = false;
    bool overrides_pending_promotion = false;
    bool writes_without_condition = false;
    bool serves_while_revoked = false;
  };

  /// A possible next event.
  struct event {
    std::string name;
    std::function<void(lease_world&)> apply;
  };

  lease_world(const flaws& enabled, bool tokens_checked, unsigned takeovers,
              unsigned crashes);

  /// All events that are possible in this state.
  std::vector<event> events() const;
  /// The rule that this state violates; empty if none.
  std::string violation() const;
  /// Equal for states with the same future events.
  std::uint64_t fingerprint() const;

 private:
  struct stored_duty {
    std::uint64_t revision = 0;  ///< 0 if there is none.
    write_duty record;
  };
  struct report {
    std::uint64_t digest = 0;
    bool confirmed = false;
    duration age{0};
    std::optional<leader_record> record;
    instant echo;   ///< The last stamp received from the receiver.
    instant stamp;  ///< When this report was sent.
  };
  struct pending_read {
    instant sent_at;
    std::optional<leader_record> record;
  };
  /// A takeover's write or promotion request without an answer so far;
  /// `executed` ones have taken effect.
  template <class Request>
  struct call {
    Request request;
    bool executed = false;
    bool accepted = false;
    std::uint64_t revision = 0;
    instant sent_at;
  };
  struct instance {
    leader_lease leases;
    std::optional<takeover> takeover_state;
    std::optional<pending_read> reading;
    std::optional<call<write_duty>> writing;
    std::optional<call<request_promotion>> promoting;
    std::optional<std::size_t> told_to_step_down;    ///< A database.
    std::array<std::uint64_t, instances> digests{};  ///< From their reports.
    std::array<instant, instances> stamps{};         ///< Of their last reports.
  };

  static database_id name_of(std::size_t database);
  static member_id member(std::size_t index);
  static std::size_t index_of(std::uint32_t database);

  bool lease_valid(const instance& holder) const;
  std::optional<std::size_t> served_leader(const instance& holder) const;
  std::optional<leader_record> stored() const;
  std::uint64_t execute(const write_duty& request);
  bool execute(const call<request_promotion>& promotion);
  takeover::settings settings() const;
  void start_takeover(std::size_t replacer, bool planned,
                      bool leaderless = false);
  void step_takeover(std::size_t replacer, const takeover_event& input);
  void carry_out(std::size_t replacer, const takeover_action& action);
  void send_report(std::size_t from, std::size_t to, bool bare);
  void deliver_report(std::size_t from, std::size_t to);
  bool all_know_records(std::size_t index) const;
  void crash(std::size_t index);

  void add_reads(std::vector<event>& out) const;
  void add_reports(std::vector<event>& out) const;
  void add_takeovers(std::vector<event>& out) const;
  void add_late_calls(std::vector<event>& out) const;

  flaws flaws_;
  bool tokens_checked_;
  unsigned takeovers_left_;
  unsigned crashes_left_;
  instant now_{std::chrono::hours(1)};
  stored_duty store_;
  std::array<instance, instances> instances_;
  std::array<std::array<std::optional<report>, instances>, instances> reports_;
  std::vector<call<write_duty>> late_writes_;
  std::vector<call<request_promotion>> late_promotions_;
  std::array<bool, databases> leads_{true, false, false};
  std::size_t current_leader_ = 0;
  std::uint64_t highest_token_ = 0;
  instant highest_token_at_;  ///< When it was first used.
  bool lower_token_accepted_ = false;
};

}  // namespace toucanmux::standin
