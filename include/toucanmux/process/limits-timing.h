#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// Timeouts and intervals of the rate limits. All members must use the same
/// values.
///
/// The fleet-wide limit holds only with this order of the timeouts:
/// - `grant_timeout` < `allocation_lifetime` < `reclaim_timeout`: an instance's
///   tokens and allocations expire before its seat counts them as returned;
/// - `holder_contact_timeout` < `holder_timeout`: an isolated holder stops
///   granting before its peers use the fallback rate;
/// - `pause_threshold` < `holder_contact_timeout` and `peer_contact_timeout` <
///   `reclaim_timeout`: an instance that was paused or isolated discards its
///   allocations before a new holder stops waiting for it.
struct limits_timing {
  using ms = std::chrono::milliseconds;

  /// Maximum time that a request waits for a grant.
  duration grant_timeout = ms(20);
  /// Maximum time that a grant request waits for loans.
  duration loan_timeout = ms(8);
  /// Maximum backoff after a grant without enough tokens.
  duration max_backoff = ms(10);
  /// Interval of an instance's renewals.
  duration renewal_interval = ms(500);
  /// How long an allocation is valid, counted from the send time of its
  /// request.
  duration allocation_lifetime = ms(2000);
  /// Interval of a holder's announcements.
  duration announce_interval = ms(250);
  /// A longer gap between two steps counts as a pause.
  duration pause_threshold = ms(500);
  /// A holder that hears no peer for this long stops granting.
  duration holder_contact_timeout = ms(600);
  /// An instance that hears no peer for this long discards its allocations.
  duration peer_contact_timeout = ms(1000);
  /// An instance that hears peers but not the holder for this long uses the
  /// fallback rate.
  duration holder_timeout = ms(1200);
  /// An instance that is silent for this long has no allocation in force.
  duration reclaim_timeout = ms(3000);
  /// Added to a candidate's wait for each candidate of higher priority.
  duration candidate_stagger = ms(300);

  /// How long granted tokens count against the seat's cap. The extra quarter
  /// covers clocks that run at different rates.
  duration grant_hold_time() const { return grant_timeout * 5 / 4; }
  /// How long borrowed tokens may exceed the borrower's own cap.
  duration loan_lifetime() const { return grant_timeout * 2; }
  /// How long lent tokens count against the lender's cap.
  duration loan_hold_time() const { return loan_lifetime() * 5 / 4; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cereal::make_nvp("ask_wait", grant_timeout),
            cereal::make_nvp("loan_wait", loan_timeout),
            cereal::make_nvp("backoff", max_backoff),
            cereal::make_nvp("renewal", renewal_interval),
            cereal::make_nvp("lifetime", allocation_lifetime),
            cereal::make_nvp("beat", announce_interval),
            cereal::make_nvp("pause", pause_threshold),
            cereal::make_nvp("contact", holder_contact_timeout),
            cereal::make_nvp("peer_silence", peer_contact_timeout),
            cereal::make_nvp("holder_silence", holder_timeout),
            cereal::make_nvp("silence", reclaim_timeout),
            cereal::make_nvp("stagger", candidate_stagger));
  }
};

}  // namespace toucanmux
