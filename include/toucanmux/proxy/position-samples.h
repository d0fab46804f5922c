#pragma once

#include <deque>
#include <optional>

#include "toucanmux/core.h"

namespace toucanmux {

/// Recent log positions of one group's leader. They determine which position a
/// database must have replayed to serve a read of a given maximum age.
class position_samples {
 public:
  /// Minimum time between two samples that are kept.
  static constexpr duration spacing = std::chrono::milliseconds(50);
  /// Subtracted from the maximum age of a read, to allow for late timers and
  /// messages.
  static constexpr duration margin = std::chrono::milliseconds(120);
  /// How long samples are kept; reads can't have a larger maximum age.
  static constexpr duration retention = std::chrono::seconds(10);

  /// Adds a sample, unless it is older or lower than the newest one.
  /// @param sent_at when the probe was sent whose answer confirmed that the
  ///     database leads; commits acknowledged before then are in `position`.
  void add(instant sent_at, const log_position& position);
  /// The lowest position that shows every commit acknowledged longer than
  /// `max_age` ago; nothing if no sample is recent enough.
  std::optional<log_position> required(instant now, duration max_age) const;
  /// The newest known position; nothing before the first sample.
  std::optional<log_position> newest() const;
  /// When the probe of the newest sample was sent; `instant{}` before the first
  /// sample.
  instant newest_sent_at() const;

 private:
  struct sample {
    instant sent_at;
    log_position position;
  };

  std::deque<sample> samples_;
};

}  // namespace toucanmux
