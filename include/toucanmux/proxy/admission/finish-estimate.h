#pragma once

#include "toucanmux/core.h"

namespace toucanmux {

/// What a statement that waits for a connection finds before it.
struct serving_state {
  /// Expected time of the statements that are served before it.
  duration work_ahead{0};
  /// Statements that run at the same time: connections, but no more than the
  /// slots of the databases that may serve the statement.
  unsigned lanes = 0;
  unsigned running = 0;  ///< Statements that this instance runs there.
  /// Time to open a connection; 0 if the team has one.
  duration open_time{0};
  duration response_time{0};  ///< Usual time of a statement, as measured.
};

/// Estimates when a waiting statement will have finished.
class finish_estimate {
 public:
  explicit finish_estimate(const serving_state& state);

  /// Expected time until the statement gets a connection.
  duration wait() const { return wait_; }
  /// Expected time until the statement is answered.
  duration finish() const { return finish_; }
  /// A statement that starts later is not expected to finish before its
  /// deadline.
  instant latest_start(instant deadline) const {
    return deadline - (finish_ - wait_);
  }
  /// Whether the statement is expected to finish before its deadline.
  bool meets(instant now, instant deadline) const {
    return now + finish_ <= deadline;
  }

 private:
  duration wait_{0};
  duration finish_{0};
};

}  // namespace toucanmux
