#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/group-sighting.h"

namespace toucanmux {

/// Decides whether the leader of one group has failed. What this instance sees
/// is not enough: its peers must find the leader failing as well, and the
/// leader's heartbeats in the store must have stopped.
class leader_watch {
 public:
  struct settings {
    /// How long the leader has to fail before anyone is asked.
    duration suspect_after = std::chrono::milliseconds(300);
    /// A peer's sighting counts for so long.
    duration sighting_lifetime = std::chrono::milliseconds(2000);
    /// Two looks at a heartbeat are so far apart: a heartbeat interval and its
    /// delay on the way.
    duration heartbeat_check_interval = std::chrono::milliseconds(1350);
    /// Lapsed entries are back so long after the store returned.
    duration entry_recovery_time = std::chrono::milliseconds(2500);
    /// A leader that lives but that most instances can't reach is replaced
    /// after so long.
    duration cut_off_timeout = std::chrono::seconds(6);
  };

  enum class verdict : std::uint8_t {
    keep,
    read_entry,  ///< Read the leader's entry in the store now.
    failed       ///< Replace it.
  };

  explicit leader_watch(const settings& values) : settings_(values) {}

  /// The group is led by another database from now on.
  void set_leader(const database_id& leader);
  void leader_answered(instant now);
  /// The leader refused, reset or left something without an answer.
  void leader_failed(instant now);
  void apply_sighting(instant now, const member_id& peer,
                      const group_sighting& report);
  /// The leader's entry in the store as read just now; nothing if it is gone.
  void apply_entry(instant now, std::optional<std::uint64_t> sequence);
  /// The store was found away; what it holds proves nothing for a while.
  void note_store_unreachable(instant now) { store_unreachable_at_ = now; }

  /// @param members how many instances there are, this one included.
  verdict check(instant now, std::size_t member_count);
  /// It fails here and at a peer, and no peer has reached it since.
  bool is_unreachable(instant now, std::size_t member_count) const;
  /// The peers that find the leader failing as well.
  std::vector<member_id> peers_seeing_failure(instant now) const;
  group_sighting sighting(instant now, const group_id& group) const;
  bool failing() const { return failing_since_.has_value(); }
  /// This instance or a peer finds the leader failing.
  bool is_disputed(instant now) const;

 private:
  struct peer_sighting {
    instant received_at;
    group_sighting report;
  };
  struct heartbeat_read {
    instant received_at;
    std::optional<std::uint64_t> sequence;
  };

  bool is_current(instant now, const peer_sighting& report) const;
  /// What peers have found since the leader failed here.
  struct peer_findings {
    std::size_t failing = 0;
    std::size_t reached = 0;
  };
  peer_findings count_peer_findings(instant now) const;
  bool peers_agree(instant now, std::size_t member_count) const;
  bool most_instances_cut_off(instant now, std::size_t member_count) const;

  settings settings_;
  database_id leader_;
  std::optional<instant> answered_;
  std::optional<instant> failing_since_;
  std::map<member_id, peer_sighting> peers_;
  std::optional<heartbeat_read> first_read_;
  std::optional<instant> read_requested_at_;
  instant store_unreachable_at_;
  bool heartbeats_stopped_ = false;  ///< Its heartbeats have stopped.
};

}  // namespace toucanmux
