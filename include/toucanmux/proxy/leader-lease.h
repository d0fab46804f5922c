#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/leader-record.h"

namespace toucanmux {

/// The lease under which this instance sends statements to the groups' leaders.
///
/// The leader records are valid for `length` after the moment for which the
/// store, or a peer that read the store, last confirmed them. An instance that
/// replaces a leader first revokes it in the store and then waits for
/// `expiry_wait`, so no two leaders of a group are in use at the same time. All
/// times are of the local monotonic clock.
///
///     leader_lease leases;
///     leases.mark_registered(now);
///     leases.apply_records(now, read_sent_at, records_of_the_store);
///     if (leases.valid(now)) { /* send to the group's leader */ }
class leader_lease {
 public:
  /// Longer than a confirmation takes over two hubs to a member when reports
  /// are lost. A leader is replaced no sooner while some instances can't be
  /// informed of the revocation.
  static constexpr duration length = std::chrono::milliseconds(2500);
  /// How long a replacement waits after the revocation. Exceeds `length`
  /// because clocks may run at different rates.
  static constexpr duration expiry_wait = length + length / 50;

  /// Notes that the store lists this instance, so that an instance that
  /// replaces a leader finds it. Reads sent before this moment confirm nothing.
  void mark_registered(instant now) {
    if (!registered_at_) registered_at_ = now;
  }
  /// The store was restored: the list of instances may have lost this one, so
  /// the lease is not extended before the next `mark_registered`.
  void mark_restored() { registered_at_.reset(); }
  /// Starts to follow the records of a generation of the store. Forgets those
  /// of older generations.
  void begin_generation(std::uint64_t generation);
  /// Takes over the records of a peer that follows a newer generation, without
  /// extending the lease.
  /// @param records the records in the peer's report.
  /// @param digest the digest of all records that the peer knows.
  /// @return false, without effect, unless the report has all of them.
  bool adopt_from_peer(instant now, std::uint64_t generation,
                       std::uint64_t digest,
                       std::span<const leader_record> records);
  /// Whether the records are of this generation.
  bool follows(std::uint64_t generation) const {
    return generation_ == generation;
  }
  /// The generation of the records; 0 if there is none yet.
  std::uint64_t generation() const { return generation_.value_or(0); }
  /// Applies a record from a peer or from this instance's own read or write.
  /// Ignored unless newer than the known one and of the same generation. Does
  /// not extend the lease.
  void apply_record(instant now, const leader_record& record);
  /// Applies all records of the store and extends the lease.
  /// @param read_sent_at when the read of the store's newest state was sent.
  void apply_records(instant now, instant read_sent_at,
                     std::span<const leader_record> records);
  /// Extends the lease by a peer's confirmation.
  /// @param moment the time for which the peer's records are confirmed.
  /// @param peer_digest the digest of the peer's records.
  /// @return false, without effect, if the peer knows other records.
  bool confirm_from_peer(instant moment, std::uint64_t peer_digest);

  /// Whether the records were ever confirmed.
  bool confirmed() const { return confirmed_; }
  /// Whether this instance may act on the records at `now`.
  bool valid(instant now) const {
    return confirmed_ && now - confirmed_at_ < length;
  }
  /// Time since `confirmed_at()`; meaningless before `confirmed()`.
  duration age(instant now) const { return now - confirmed_at_; }
  /// The latest moment for which the records are confirmed.
  instant confirmed_at() const { return confirmed_at_; }

  /// The group's record; null if its leader was never replaced.
  const leader_record* find(std::uint32_t group) const;
  /// When this instance learned the content of the group's present record, in
  /// this or the previous generation; the epoch of the clock if there is none.
  instant known_since(std::uint32_t group) const;
  /// A digest of all records; equal on instances that know the same ones.
  std::uint64_t digest() const;
  /// The records that this instance learned less than `age` ago.
  std::vector<leader_record> recent(instant now, duration age) const;

 private:
  struct known_record {
    leader_record record;
    instant known_at;    ///< When its content was first known.
    instant applied_at;  ///< When its version was.
  };

  void advance_confirmation(instant moment);

  std::map<std::uint32_t, known_record> records_;
  std::map<std::uint32_t, known_record> older_records_;
  std::uint64_t digest_ = 0;
  std::optional<std::uint64_t> generation_;
  std::optional<instant> registered_at_;
  bool confirmed_ = false;
  instant confirmed_at_;
};

}  // namespace toucanmux
