#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "toucanmux/core.h"

namespace toucanmux {

/// Decides when an instance writes the base of a new generation of the store:
/// the leaders that the instances knew before the restore, all in one object.
/// Only the first write succeeds, so all instances continue from the same
/// leaders.
class store_recovery {
 public:
  /// Which leader records an instance knows.
  struct knowledge {
    std::uint64_t generation = 0;  ///< Of the records; 0 if it knows none.
    std::uint64_t digest = 0;
  };
  struct peer_knowledge {
    knowledge known;
    /// A report has arrived since the base was found missing.
    bool reported = false;
  };
  struct situation {
    duration generation_age{0};  ///< Since this instance saw the generation.
    knowledge own;
    std::span<const peer_knowledge> peers;  ///< Those considered alive.
    std::size_t turn = 0;  ///< This instance's place among the writers.
  };

  /// A read has found no base.
  void note_base_missing(instant now) {
    if (!missing_since_) missing_since_ = now;
  }
  /// The base exists, or the generation has ended.
  void reset() { missing_since_.reset(); }
  std::optional<instant> missing_since() const { return missing_since_; }
  /// Whether to write the base now.
  bool base_due(instant now, const situation& current) const;
  /// Whether to note in the store that the generation is settled.
  bool settled_note_due(duration generation_age, std::size_t turn) const;

 private:
  std::optional<instant> missing_since_;
};

}  // namespace toucanmux
