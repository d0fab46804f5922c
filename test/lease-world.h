#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "toucanmux/proxy/lead-lease.h"
#include "toucanmux/proxy/takeover.h"

namespace toucanmux::standin {

/// Three instances, two of which may replace the leader of one group of three
/// databases, a store, and an order's receiver. Every message may be late or
/// lost, every instance may pause or start anew. A replaced leader goes on
/// until it is told to step down.
class lease_world {
 public:
  static constexpr std::size_t instances = 3;
  static constexpr std::size_t takers = 2;
  static constexpr std::size_t databases = 3;
  /// Time passes in steps of a quarter of a lease.
  static constexpr duration step = lead_lease::length / 4;

  /// What is taken out, to see that it is missed. All false is the product.
  struct flaws {
    bool names_without_waiting = false;
    bool proves_with_other_records = false;
    bool proves_from_arrival = false;  ///< Not from when it was asked for.
    bool holds_twice_as_long = false;
    bool orders_late = false;
    bool names_another_while_open = false;
    bool writes_without_condition = false;
    bool serves_while_revoked = false;
  };

  /// One thing that may happen next.
  struct event {
    std::string name;
    std::function<void(lease_world&)> apply;
  };

  lease_world(const flaws& without, bool tokens_checked, unsigned changes,
              unsigned crashes);

  std::vector<event> events() const;
  /// What is broken now; empty if nothing is.
  std::string broken() const;
  /// Equal for states that go on alike.
  std::uint64_t fingerprint() const;

 private:
  struct duty {
    std::uint64_t revision = 0;  ///< 0 if there is none.
    write_duty what;
  };
  struct report {
    std::uint64_t digest = 0;
    bool proven = false;
    duration age{0};
    std::optional<lead_record> record;
    instant echo;
    instant stamp;
  };
  struct read {
    instant asked;
    std::optional<lead_record> record;
  };
  /// A write or an order of a takeover; `done` ones have taken effect.
  template <class What>
  struct call {
    What what;
    bool done = false;
    bool good = false;
    std::uint64_t revision = 0;
    instant sent;
  };
  struct instance {
    lead_lease leases;
    std::optional<takeover> change;
    std::optional<read> reading;
    std::optional<call<write_duty>> writing;
    std::optional<call<name_leader>> ordering;
    std::optional<std::size_t> told_to_step_down;  ///< Which database was.
    std::array<std::uint64_t, instances> digests{};
    std::array<instant, instances> stamps{};
  };

  static database_id name_of(std::size_t database);
  static member_id member(std::size_t index);
  static std::size_t index_of(std::uint32_t database);

  bool holds(const instance& what) const;
  std::optional<std::size_t> served(const instance& what) const;
  std::optional<lead_record> stored() const;
  std::uint64_t execute(const write_duty& what);
  bool execute(const call<name_leader>& order);
  takeover::settings settings() const;
  void begin(std::size_t who, bool planned, bool leaderless = false);
  void feed(std::size_t who, const takeover_event& what);
  void carry_out(std::size_t who, const takeover_action& action);
  void send_report(std::size_t from, std::size_t to, bool bare);
  void take_report(std::size_t from, std::size_t to);
  bool all_know(std::size_t who) const;
  void crash(std::size_t who);

  void add_reads(std::vector<event>& out) const;
  void add_reports(std::vector<event>& out) const;
  void add_changes(std::vector<event>& out) const;
  void add_late(std::vector<event>& out) const;

  flaws without_;
  bool tokens_checked_;
  unsigned changes_left_;
  unsigned crashes_left_;
  instant now_{std::chrono::hours(1)};
  duty store_;
  std::array<instance, instances> instances_;
  std::array<std::array<std::optional<report>, instances>, instances> reports_;
  std::vector<call<write_duty>> late_writes_;
  std::vector<call<name_leader>> late_orders_;
  std::array<bool, databases> leads_{true, false, false};
  std::size_t promoted_ = 0;
  std::uint64_t highest_token_ = 0;
  instant highest_since_;
  bool lower_token_ = false;
};

}  // namespace toucanmux::standin
