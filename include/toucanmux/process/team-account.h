#pragma once

#include <map>
#include <vector>

#include "toucanmux/process/limits-message.h"
#include "toucanmux/process/limits-timing.h"

namespace toucanmux {

/// A failure domain's bucket of one team, with all that is out counted
/// against its cap: capacity that instances hold, tokens on their way, loans.
class team_account {
 public:
  team_account(instant now, const limits_timing& timing);

  /// Sets the domain's slice. Capacity that is out stays counted.
  void configure(instant now, double rate, double burst);
  /// Starts a term: an empty bucket and nothing out.
  void reset(instant now);

  double tokens(instant now);
  /// Until the bucket has `wanted` tokens if nobody takes any.
  duration time_until(instant now, double wanted);

  /// Takes tokens out that count against the cap until `until`.
  void take(instant now, double amount, instant counted_until);
  /// Puts in lent tokens; they may stand above the cap until `until`.
  void add_borrowed(instant now, double amount, instant usable_until);

  /// Notes what an ask says about its sender.
  /// @return false if the ask was heard before, or is too old to tell.
  bool record_request(instant now, const member_id& from,
                      std::uint64_t incarnation,
                      const team_grant_request& request);
  /// Renews the capacity of an instance that was heard.
  /// @param fill the tokens to send along, taken out.
  rate_allocation renew_allocation(instant now, const member_id& from,
                                   double& extra_tokens);
  /// Takes back the capacity of instances that were silent for long.
  void reclaim_silent(instant now);

 private:
  struct outstanding {
    instant until;
    double cap_change;  ///< Of the cap while it lasts.
  };
  struct instance_state {
    std::uint64_t incarnation = 0;
    std::uint64_t last_sequence = 0;
    std::uint64_t seen_sequences = 0;     ///< A bit for each of the last 64.
    std::uint64_t answered_sequence = 0;  ///< The ask that was last answered.
    instant heard_at;
    double demand = 0;
    rate_allocation sent_allocation;  ///< The newest.
    rate_allocation counted;          ///< The greatest of what may be in force.
  };

  void advance(instant now);
  void refill(instant now);
  double cap() const;
  static bool record_sequence(instance_state& instance, std::uint64_t ask);
  void set_counted(instance_state& instance, const rate_allocation& value);
  rate_allocation allocation_for(const instance_state& instance) const;

  limits_timing timing_;
  double rate_ = 0;
  double burst_ = 0;
  double tokens_ = 0;
  instant advanced_at_;
  std::vector<outstanding> outstanding_;
  std::map<member_id, instance_state> instances_;
  rate_allocation counted_;  ///< Over all holdings.
  double demand_ = 0;
  std::uint64_t last_number_ = 0;  ///< Of capacities; never used twice.
};

}  // namespace toucanmux
