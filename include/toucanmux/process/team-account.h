#pragma once

#include <map>
#include <vector>

#include "toucanmux/process/limits-message.h"
#include "toucanmux/process/limits-timing.h"

namespace toucanmux {

/// One team's token bucket in a failure domain. Allocations of instances,
/// tokens in transit and loans count against its cap.
class team_account {
 public:
  team_account(instant now, const limits_timing& timing);

  /// Sets the domain's slice. Allocations in force stay counted.
  void configure(instant now, double rate, double burst);
  /// Starts a term with an empty bucket and no allocations, tokens in transit
  /// or loans.
  void reset(instant now);

  double tokens(instant now);
  /// Time until the bucket has `wanted` tokens, if none are taken before.
  duration time_until(instant now, double wanted);

  /// Takes tokens that count against the cap until `counted_until`.
  void take(instant now, double amount, instant counted_until);
  /// Adds borrowed tokens, which may exceed the cap until `usable_until`.
  void add(instant now, double amount, instant usable_until);

  /// Records the demand and the allocation of a request's sender.
  /// @return false if the request must not be answered: it is a duplicate, or
  /// too old to exclude that, or from an earlier incarnation.
  bool record_request(instant now, const member_id& from,
                      std::uint64_t incarnation,
                      const team_grant_request& request);
  /// Renews the allocation of an instance from which a request was recorded.
  /// @param extra_tokens receives the tokens that no longer fit the bucket and
  /// go to the instance.
  rate_allocation renew_allocation(instant now, const member_id& from,
                                   double& extra_tokens);
  /// Reclaims the allocations of instances silent for `reclaim_timeout`.
  void reclaim_silent(instant now);

 private:
  struct outstanding {
    instant until;
    double cap_change;  ///< Change of the cap until then.
  };
  struct instance_state {
    std::uint64_t incarnation = 0;
    std::uint64_t last_sequence = 0;
    /// Bitmap of the last 64 sequence numbers; bit 0 is `last_sequence`.
    std::uint64_t seen_sequences = 0;
    /// Newest sequence number at the last answer with an allocation.
    std::uint64_t answered_sequence = 0;
    instant heard_at;
    double demand = 0;
    /// The newest allocation sent to the instance.
    rate_allocation sent_allocation;
    /// Upper bound of the allocations that may be in force.
    rate_allocation counted;
  };

  void advance(instant now);
  void refill(instant now);
  double cap() const;
  static bool record_sequence(instance_state& instance, std::uint64_t sequence);
  void set_counted(instance_state& instance, const rate_allocation& value);
  rate_allocation allocation_for(const instance_state& instance) const;

  limits_timing timing_;
  double rate_ = 0;
  double burst_ = 0;
  double tokens_ = 0;
  instant advanced_at_;
  std::vector<outstanding> outstanding_;
  std::map<member_id, instance_state> instances_;
  /// Sum of `counted` over all instances.
  rate_allocation counted_;
  double demand_ = 0;
  /// Number of the last allocation; no number is used twice.
  std::uint64_t last_number_ = 0;
};

}  // namespace toucanmux
