#pragma once

#include <optional>

#include "toucanmux/core.h"

namespace toucanmux {

/// Which work an instance still accepts between the stop signal and the moment
/// when the platform kills the process. Operations end first, so that open
/// transactions and running statements have time to finish.
class stop_schedule {
 public:
  /// Starts the stop; a later call has no effect.
  /// @param signalled_at when the stop signal was raised.
  /// @param timeout from the signal until the process is killed.
  void begin(instant signalled_at, duration timeout);
  bool begun() const { return begun_at_.has_value(); }
  /// The time since the stop began; 0 before.
  duration elapsed(instant now) const {
    return begun_at_ ? now - *begun_at_ : duration{0};
  }

  /// From the signal until no new operations are accepted: callers are routed
  /// to other instances meanwhile.
  duration notice() const { return notice_; }
  /// New sessions, transactions and single statements are accepted.
  bool accepts_operations(instant now) const;
  /// A statement may be sent to a database: in the first half of the timeout,
  /// whose second half is for the answers, and later if it ends in time.
  /// @param deadline when the statement ends without an answer.
  bool accepts_statement(instant now, instant deadline) const;
  /// Answers that are still missing have to be given up.
  bool over(instant now) const;
  /// The process has to end, also if answers are still being sent.
  bool expired(instant now) const;

 private:
  instant ends_at() const;

  std::optional<instant> begun_at_;
  duration timeout_{0};
  duration notice_{0};
};

}  // namespace toucanmux
