#pragma once

#include <map>
#include <utility>

#include "toucanmux/core.h"

namespace toucanmux {

/// Tracks the peers that get no relayed statements for a while, for all
/// databases since they did not respond, or for one that they refused to use.
class avoided_peers {
 public:
  /// Avoids the peer from now on, longer with each failure that follows another
  /// without a success in between.
  /// @param database empty for all databases.
  /// @return false if the peer is avoided already, which changes nothing.
  bool record_failure(instant now, const member_id& peer,
                      const database_id& database = {});
  /// The peer has answered for the database; its next failure counts as the
  /// first.
  void record_success(instant now, const member_id& peer,
                      const database_id& database);
  bool avoided(instant now, const member_id& peer,
               const database_id& database) const;
  /// How many peers are avoided for all databases or for one.
  std::size_t count(instant now) const;

 private:
  using key = std::pair<member_id, database_id>;
  struct entry {
    instant until;
    duration backoff{0};
  };

  bool is_current(instant now, const key& avoided_key) const;

  std::map<key, entry> entries_;
};

}  // namespace toucanmux
