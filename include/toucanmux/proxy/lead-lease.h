#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/lead-record.h"

namespace toucanmux {

/// Decides until when this instance may act on what it believes of the groups'
/// leaders. What the store said at one moment holds for the lease's length
/// after it; whoever replaces a leader writes that down first and then waits
/// for longer than that, so no two leaders are served by at the same time.
///
///     lead_lease leases;
///     leases.take_list(asked, records);  // read from the store
///     if (leases.holds(now)) { /* send to the group's leader */ }
class leader_lease {
 public:
  /// Longer than a proof takes over two hubs to a member when reports are
  /// lost; a leader that some can't be told to leave is replaced no sooner.
  static constexpr duration length = std::chrono::milliseconds(2500);
  /// What a replacement waits for: clocks may differ in pace.
  static constexpr duration expiry_wait = length + length / 50;

  /// This instance is recorded in the store, where whoever replaces a leader
  /// finds it. What was asked for before proves nothing.
  void mark_registered(instant now) {
    if (!registered_at_) registered_at_ = now;
  }
  /// One record, from a peer or from this instance's own write.
  void apply_record(instant now, const leader_record& record);
  /// All records of the store.
  /// @param asked when the read was sent; it saw the newest state.
  void apply_records(instant now, instant asked,
                     std::span<const leader_record> records);
  /// A peer's proof. It counts if the peer knows the same records.
  bool confirm_from_peer(instant asked, std::uint64_t peer_digest);

  bool confirmed() const { return confirmed_; }
  bool valid(instant now) const {
    return confirmed_ && now - confirmed_at_ < length;
  }
  /// Since the moment for which the records are proven.
  duration age(instant now) const { return now - confirmed_at_; }
  instant confirmed_at() const { return confirmed_at_; }

  /// Nothing for a group whose leader was never replaced.
  const leader_record* find(std::uint32_t group) const;
  /// When the present record of the group was first known here.
  instant known_since(std::uint32_t group) const;
  /// Equal where the same records are known.
  std::uint64_t digest() const { return digest_; }
  /// Records that became known within `age`.
  std::vector<leader_record> recent(instant now, duration age) const;

 private:
  struct known_record {
    leader_record record;
    instant known_at;
  };

  void advance_confirmation(instant asked);

  std::map<std::uint32_t, known_record> records_;
  std::uint64_t digest_ = 0;
  std::optional<instant> registered_at_;
  bool confirmed_ = false;
  instant confirmed_at_;
};

}  // namespace toucanmux
