#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/group-sighting.h"

namespace toucanmux {

/// Failure detector for the leader of one group. The leader has failed when it
/// does not answer this instance, enough peers see it failing as well, and its
/// heartbeats in the store have stopped. A leader with heartbeats is
/// replaced as well if at least two thirds of the instances can't reach it for
/// `cut_off_timeout`. All times are of the local monotonic clock.
class leader_watch {
 public:
  struct settings {
    /// How long the leader must fail here before it is suspected.
    duration suspect_after = std::chrono::milliseconds(300);
    /// How long a peer's sighting counts after its arrival.
    duration sighting_lifetime = std::chrono::milliseconds(2000);
    /// Least time between the two reads that compare a leader's heartbeats: a
    /// heartbeat interval and the transmission delay.
    duration heartbeat_check_interval = std::chrono::milliseconds(1350);
    /// How long leaders take to renew entries that expired while the store was
    /// unreachable.
    duration entry_recovery_time = std::chrono::milliseconds(2500);
    /// How long at least two thirds of the instances must fail to reach the
    /// leader before it is replaced in spite of its heartbeats.
    duration cut_off_timeout = std::chrono::seconds(6);
  };

  enum class verdict : std::uint8_t {
    keep,        ///< Not known to have failed.
    read_entry,  ///< Read the leader's entry and call `apply_entry`.
    failed       ///< Replace the leader.
  };

  explicit leader_watch(const settings& values) : settings_(values) {}

  /// Starts to watch another leader; no effect if `leader` is watched already.
  void set_leader(const database_id& leader);
  void leader_answered(instant now);
  /// The leader refused or reset a connection, or a request timed out.
  void leader_failed(instant now);
  void apply_sighting(instant now, const member_id& peer,
                      const group_sighting& report);
  /// Applies a read of the leader's entry in the store.
  /// @param sequence the heartbeat counter; empty if the entry is missing.
  void apply_entry(instant now, std::optional<std::uint64_t> sequence);
  /// A call to the store failed. For `entry_recovery_time` a missing entry does
  /// not show that the leader has stopped.
  void note_store_unreachable(instant now) { store_unreachable_at_ = now; }

  /// Decides what to do now; called every tick.
  /// @param member_count the number of instances, including this one.
  verdict check(instant now, std::size_t member_count);
  /// Whether the leader fails here and at a peer, and no peer has had an answer
  /// since it began to fail here. A lone instance needs no peer.
  bool is_unreachable(instant now, std::size_t member_count) const;
  /// The peers whose current sightings show the leader failing.
  std::vector<member_id> peers_seeing_failure(instant now) const;
  /// This instance's own view, as sent to peers.
  group_sighting sighting(instant now, const group_id& group) const;
  /// Whether the leader has failed here without an answer since.
  bool failing() const { return failing_since_.has_value(); }
  /// Whether this instance or a peer sees the leader failing.
  bool is_suspected(instant now) const;

 private:
  struct peer_sighting {
    instant received_at;
    group_sighting report;
  };
  struct heartbeat_read {
    instant read_at;
    std::optional<std::uint64_t> sequence;
  };

  bool is_current(instant now, const peer_sighting& sighting) const;
  /// Peers by their current sightings.
  struct peer_findings {
    std::size_t failing = 0;  ///< See the leader failing.
    std::size_t reached = 0;  ///< Had an answer since it began to fail here.
  };
  peer_findings count_peer_findings(instant now) const;
  bool peers_agree(instant now, std::size_t member_count) const;
  bool most_instances_cut_off(instant now, std::size_t member_count) const;

  settings settings_;
  database_id leader_;
  std::optional<instant> last_answer_at_;
  std::optional<instant> failing_since_;
  std::map<member_id, peer_sighting> peers_;
  std::optional<heartbeat_read> first_read_;
  std::optional<instant> read_requested_at_;
  instant store_unreachable_at_;
  bool heartbeats_stopped_ = false;
};

}  // namespace toucanmux
