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
    duration sighting_lasts = std::chrono::milliseconds(2000);
    /// Two looks at a heartbeat are so far apart: a heartbeat interval and its
    /// delay on the way.
    duration between_looks = std::chrono::milliseconds(1350);
    /// Lapsed entries are back so long after the store returned.
    duration entries_return = std::chrono::milliseconds(2500);
    /// A leader that lives but that most instances can't reach is replaced
    /// after so long.
    duration cut_off_after = std::chrono::seconds(6);
  };

  enum class verdict : std::uint8_t {
    fine,
    look,   ///< Read the leader's entry in the store now.
    failed  ///< Replace it.
  };

  explicit leader_watch(const settings& values) : settings_(values) {}

  /// The group is led by another database from now on.
  void set_leader(const database_id& leader);
  void leader_answered(instant now);
  /// The leader refused, reset or left something without an answer.
  void leader_failed(instant now);
  void take_sighting(instant now, const member_id& peer,
                     const group_sighting& what);
  /// The leader's entry in the store as read just now; nothing if it is gone.
  void take_entry(instant now, std::optional<std::uint64_t> sequence);
  /// The store was found away; what it holds proves nothing for a while.
  void store_away(instant now) { store_away_ = now; }

  /// @param members how many instances there are, this one included.
  verdict check(instant now, std::size_t members);
  /// It fails here and at a peer, and no peer has reached it since.
  bool unreached(instant now, std::size_t members) const;
  /// The peers that find the leader failing as well.
  std::vector<member_id> failing_with(instant now) const;
  group_sighting sighting(instant now, const group_id& group) const;
  bool failing() const { return failing_since_.has_value(); }
  /// This instance or a peer finds the leader failing.
  bool disputed(instant now) const;

 private:
  struct seen {
    instant at;
    group_sighting what;
  };
  struct entry_look {
    instant at;
    std::optional<std::uint64_t> sequence;
  };

  bool counts(instant now, const seen& what) const;
  /// What peers have found since the leader failed here.
  struct findings {
    std::size_t failing = 0;
    std::size_t reached = 0;
  };
  findings of_peers(instant now) const;
  bool peers_agree(instant now, std::size_t members) const;
  bool most_are_cut_off(instant now, std::size_t members) const;

  settings settings_;
  database_id leader_;
  std::optional<instant> answered_;
  std::optional<instant> failing_since_;
  std::map<member_id, seen> peers_;
  std::optional<entry_look> first_look_;
  std::optional<instant> asked_;
  instant store_away_;
  bool stopped_ = false;  ///< Its heartbeats have stopped.
};

}  // namespace toucanmux
