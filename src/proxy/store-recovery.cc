#include "toucanmux/proxy/store-recovery.h"

#include <algorithm>

#include "toucanmux/proxy/store-generation.h"

namespace toucanmux {

namespace {

// A write takes several milliseconds, and an instance that waits its turn reads
// the base before it.
constexpr duration turn_spacing = std::chrono::milliseconds(400);
// An instance that knows less than others leaves the base to them for longer.
constexpr duration no_records_delay = std::chrono::milliseconds(1000);
constexpr duration peer_knows_more_delay = std::chrono::milliseconds(2000);

}  // namespace

// Leaders that were replaced shortly before the restore may be known to some
// instances only, and nowhere in the store.
bool store_recovery::base_due(instant now, const situation& current) const {
  if (!missing_since_) return false;
  auto turn_delay = turn_spacing * static_cast<std::int64_t>(current.turn);
  bool has_records = current.own.generation != 0;
  bool peer_knows_more = std::any_of(
      current.peers.begin(), current.peers.end(), [&](const auto& peer) {
        return peer.known.generation > current.own.generation;
      });
  bool all_agree = std::all_of(
      current.peers.begin(), current.peers.end(), [&](const auto& peer) {
        bool same = peer.known.generation == current.own.generation &&
                    peer.known.digest == current.own.digest;
        return peer.reported &&
               (same || peer.known.generation < current.own.generation);
      });
  if (has_records && all_agree) return now - *missing_since_ >= turn_delay;
  auto wait = store_generation::rewrite_time + turn_delay;
  if (!has_records) wait += no_records_delay;
  if (peer_knows_more) wait += peer_knows_more_delay;
  return current.generation_age >= wait;
}

bool store_recovery::settled_note_due(duration generation_age,
                                      std::size_t turn) const {
  return generation_age >= store_generation::rewrite_time +
                               turn_spacing * static_cast<std::int64_t>(turn);
}

}  // namespace toucanmux
