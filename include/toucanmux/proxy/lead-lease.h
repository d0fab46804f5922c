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
class lead_lease {
 public:
  /// Longer than a proof takes over two hubs to a member when reports are
  /// lost; a leader that some can't be told to leave is replaced no sooner.
  static constexpr duration length = std::chrono::milliseconds(2500);
  /// What a replacement waits for: clocks may differ in pace.
  static constexpr duration outlasted = length + length / 50;

  /// This instance is recorded in the store, where whoever replaces a leader
  /// finds it. What was asked for before proves nothing.
  void admit(instant now) {
    if (!admitted_) admitted_ = now;
  }
  /// One record, from a peer or from this instance's own write.
  void take(instant now, const lead_record& record);
  /// All records of the store.
  /// @param asked when the read was sent; it saw the newest state.
  void take_list(instant now, instant asked,
                 std::span<const lead_record> records);
  /// A peer's proof. It counts if the peer knows the same records.
  bool prove(instant asked, std::uint64_t peer_digest);

  bool proven() const { return proven_; }
  bool holds(instant now) const { return proven_ && now - asked_ < length; }
  /// Since the moment for which the records are proven.
  duration age(instant now) const { return now - asked_; }
  instant proven_at() const { return asked_; }

  /// Nothing for a group whose leader was never replaced.
  const lead_record* find(std::uint32_t group) const;
  /// When the present record of the group was first known here.
  instant known_since(std::uint32_t group) const;
  /// Equal where the same records are known.
  std::uint64_t digest() const { return digest_; }
  /// Records that became known within `age`.
  std::vector<lead_record> recent(instant now, duration age) const;

 private:
  struct known {
    lead_record record;
    instant since;
  };

  void note_proof(instant asked);

  std::map<std::uint32_t, known> records_;
  std::uint64_t digest_ = 0;
  std::optional<instant> admitted_;
  bool proven_ = false;
  instant asked_;
};

}  // namespace toucanmux
