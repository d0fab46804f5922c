#pragma once

#include <deque>
#include <optional>

#include "toucanmux/core.h"
#include "toucanmux/proxy/upstream-entry.h"

namespace toucanmux {

/// The slow start of one database at this instance: while the database is cold,
/// a limited number of statements may be sent to it in any second.
class warm_up {
 public:
  /// Statements are counted for this long. Beyond one second, since two
  /// statements can arrive closer together than they were sent.
  static constexpr duration window = std::chrono::milliseconds(1100);

  /// The database's entry was added or updated.
  void update(instant now, const upstream_entry& entry);
  bool active(instant now) const { return cold_until_ && now < *cold_until_; }
  /// Until when the database is cold. Only for an active one.
  duration remaining(instant now) const { return *cold_until_ - now; }
  /// Sets this instance's share; nothing removes the limit.
  void set_limit(std::optional<unsigned> statements) { limit_ = statements; }
  /// Whether this instance may use the database while it is cold.
  bool usable(instant now) const {
    return !active(now) || !limit_ || *limit_ > 0;
  }
  /// How many statements may be sent now; nothing if there is no limit.
  std::optional<unsigned> left(instant now) const;
  /// Counts a statement that is about to be sent. False if it must not be sent.
  bool take(instant now);

 private:
  std::optional<instant> cold_until_;
  std::uint64_t born_ms_ = 0;  ///< Of the process that is or was cold.
  std::optional<unsigned> limit_ = 0;
  std::deque<instant> sent_;
};

}  // namespace toucanmux
