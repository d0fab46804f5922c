#pragma once

#include <cstdint>

#include "toucanmux/core.h"
#include "toucanmux/proxy/placement/database-load.h"
#include "toucanmux/proxy/placement/decaying-sum.h"

namespace toucanmux {

/// Measures what one instance does at one database.
class load_meter {
 public:
  enum class outcome : std::uint8_t { served, refused, failed };

  /// Records that a statement or an opening connection kept the database busy
  /// for `time`.
  void add_work(instant now, duration time);
  /// Records how a read ended that a replica could run. Statements that only
  /// the leader can run are not evidence about reads.
  void record_read(instant now, outcome result, duration latency);

  /// Whether there was work within the last second.
  bool used(instant now) const;
  /// @param reference by `database_reference`.
  /// @param outstanding the time that statements without an answer have taken.
  database_load load(instant now, std::uint32_t reference,
                     duration outstanding) const;

 private:
  /// A compromise: with a longer window the load is known later, with a shorter
  /// one the few statements of a second make it uncertain.
  static constexpr duration work_window = std::chrono::milliseconds(500);
  static constexpr duration outcome_window = std::chrono::seconds(3);

  decaying_sum busy_seconds_{work_window};
  decaying_sum reads_{outcome_window};
  decaying_sum refused_{outcome_window};
  decaying_sum failed_{outcome_window};
  decaying_sum latency_seconds_{outcome_window};
  decaying_sum timed_{outcome_window};
  instant used_at_;
  bool ever_used_ = false;
};

}  // namespace toucanmux
