#pragma once

#include <cstdint>
#include <optional>

#include "toucanmux/core.h"

namespace toucanmux {

/// The newest generation of the store that this process has seen, and whether
/// the writes that the last restore undid are written again.
class store_generation {
 public:
  /// How long the operator and the databases take at most, after the store is
  /// back, to write again what it has lost.
  static constexpr duration rewrite_time = std::chrono::seconds(2);

  /// Records the generation that an answer shows. Returns true if it is newer
  /// than the known one, so that all that was read before may be undone.
  bool observe(instant now, std::uint64_t generation);
  /// Notes that the store's objects say that this generation is settled.
  void mark_settled(instant now);
  /// Whether an answer may be used.
  /// @param sent_in the generation that was known when the request was sent.
  /// @param answered_in the generation that the answer shows.
  bool usable(std::uint64_t sent_in, std::uint64_t answered_in) const {
    bool first_request = sent_in == 0;
    return answered_in == current_ && (first_request || sent_in == current_);
  }
  /// 0 before the first answer.
  std::uint64_t current() const { return current_; }
  /// Time since this process first saw the generation.
  duration age(instant now) const {
    return seen_since_ ? now - *seen_since_ : duration{0};
  }
  /// For how long reads have found all that the operator had written before the
  /// restore; negative until then.
  duration settled_for(instant now) const;
  /// Whether a read that was sent at `sent_at` finds all of that.
  bool settled(instant sent_at) const {
    return settled_for(sent_at) >= duration{0};
  }
  /// Whether all leader leases of older generations have ended.
  bool older_leases_ended(instant now) const;

 private:
  std::uint64_t current_ = 0;
  std::optional<instant> seen_since_;
  std::optional<instant> marked_settled_at_;
};

}  // namespace toucanmux
