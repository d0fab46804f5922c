#pragma once

#include <cstdint>

#include "toucanmux/core.h"

namespace toucanmux {

/// The newest generation of the store that this process has seen.
class store_generation {
 public:
  /// Records the generation that an answer shows. Returns true if it is newer
  /// than the known one, so that all that was read before may be undone.
  bool observe(instant now, std::uint64_t generation);
  /// Whether an answer may be used.
  /// @param sent_in the generation that was known when the request was sent.
  /// @param answered_in the generation that the answer shows.
  bool usable(std::uint64_t sent_in, std::uint64_t answered_in) const {
    bool first_request = sent_in == 0;
    return answered_in == current_ && (first_request || sent_in == current_);
  }
  /// 0 before the first answer.
  std::uint64_t current() const { return current_; }

 private:
  std::uint64_t current_ = 0;
};

}  // namespace toucanmux
