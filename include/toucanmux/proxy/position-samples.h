#pragma once

#include <deque>
#include <optional>

#include "toucanmux/core.h"

namespace toucanmux {

/// Positions that the leader of one group is known to have held, with the time
/// from which each is proven. They tell which position a read has to see.
class position_samples {
 public:
  /// Spacing of the samples that are kept.
  static constexpr duration spacing = std::chrono::milliseconds(50);
  /// For timers and messages that are late; taken off the allowed age.
  static constexpr duration margin = std::chrono::milliseconds(120);
  /// Longest age that any read may ask for.
  static constexpr duration retention = std::chrono::seconds(10);

  /// @param asked when the question was sent whose answer proved the lead.
  void add(instant sent_at, const log_position& position);
  /// The lowest position that a read of this age may be served at; nothing if
  /// no sample is recent enough.
  std::optional<log_position> required(instant now, duration max_age) const;
  /// The newest known position; nothing before the first sample.
  std::optional<log_position> newest() const;
  /// When the newest sample was asked for.
  instant newest_sent_at() const;

 private:
  struct sample {
    instant sent_at;
    log_position position;
  };

  std::deque<sample> samples_;
};

}  // namespace toucanmux
