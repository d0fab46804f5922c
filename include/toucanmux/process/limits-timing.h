#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// The times that the limits' parts agree on; every member has the same.
///
/// The bound over the fleet rests on their order:
/// - `ask_wait` < `lifetime` < `silence`: what an instance holds ends before
///   its seat counts it as back;
/// - `contact` < `holder_silence`: a holder without peers stops before its
///   peers stand in for it;
/// - `pause` < `contact` and `peer_silence` < `silence`: whoever was paused or
///   alone lets go before a later holder stops waiting.
struct limits_timing {
  using ms = std::chrono::milliseconds;

  duration grant_timeout = ms(20);      ///< A request waits no longer.
  duration loan_timeout = ms(8);        ///< An ask waits for loans no longer.
  duration max_backoff = ms(10);        ///< After an empty answer, at most.
  duration renewal_interval = ms(500);  ///< Between an instance's renewals.
  duration allocation_lifetime =
      ms(2000);                          ///< Of a rate, since it was asked for.
  duration announce_interval = ms(250);  ///< Between a holder's notices.
  duration pause_threshold = ms(500);    ///< A longer gap is a pause.
  duration holder_contact_timeout =
      ms(600);  ///< A holder without a peer stops.
  duration peer_contact_timeout =
      ms(1000);                         ///< An instance without a peer lets go.
  duration holder_timeout = ms(1200);   ///< Then the fallback rate is used.
  duration reclaim_timeout = ms(3000);  ///< Who is silent for it holds nothing.
  duration candidate_stagger =
      ms(300);  ///< Between challengers of different rank.

  /// How long granted tokens count against the seat's cap. The quarter is for
  /// clocks that run apart.
  duration grant_hold_time() const { return grant_timeout * 5 / 4; }
  /// How long a borrower may hold lent tokens above its own cap.
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
