#pragma once

#include <deque>
#include <map>
#include <string_view>
#include <variant>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// An event: the primary has committed a heartbeat of this pool.
struct heartbeat_confirmed {
  static constexpr std::string_view name = "heartbeat_confirmed";
  instant sent_at{};      ///< When this pool sent the heartbeat.
  log_position position;  ///< Log position of the commit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(sent_at), CEREAL_NVP(position));
  }
};

/// An event: a peer's report says that the primary has committed a heartbeat
/// of that peer.
struct heartbeat_reported {
  static constexpr std::string_view name = "heartbeat_reported";
  instant echo{};             ///< Stamp of this pool that the report echoes.
  duration echo_age{0};       ///< Time from the stamp's arrival to the report.
  duration heartbeat_age{0};  ///< Time from the heartbeat to the report.
  log_position position;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(echo), CEREAL_NVP(echo_age), CEREAL_NVP(heartbeat_age),
            CEREAL_NVP(position));
  }
};

/// An event: the position up to which a database has replayed the log.
struct replay_seen {
  static constexpr std::string_view name = "replay_seen";
  database_id database;
  log_position position;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(position));
  }
};

/// An event: a request for the age of data at a position.
struct age_wanted {
  static constexpr std::string_view name = "age_wanted";
  log_position position;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(position));
  }
};

/// An action: the answer to `age_wanted`.
struct age_found {
  static constexpr std::string_view name = "age_found";
  duration age{-1};  ///< Upper bound; negative if unknown.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(age));
  }
};

/// Bounds the age of the data of a group's databases. Only this pool's clock is
/// used.
///
/// The position of a committed heartbeat covers every write that was
/// acknowledged before the heartbeat was sent. A failed heartbeat gives no
/// information, so the age bound of an isolated former primary only grows.
class position_watch {
 public:
  struct settings {
    /// How long confirmed heartbeats are kept.
    duration history = std::chrono::seconds(60);
    /// Minimum time between two confirmed heartbeats that are kept.
    duration spacing = std::chrono::milliseconds(50);
    /// How far `estimate` extrapolates past the last poll.
    duration estimate_limit = std::chrono::milliseconds(1000);

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(history), CEREAL_NVP(spacing),
              CEREAL_NVP(estimate_limit));
    }
  };
  using event = std::variant<heartbeat_confirmed, heartbeat_reported,
                             replay_seen, age_wanted>;
  using action = std::variant<age_found>;

  explicit position_watch(const settings& values) : settings_(values) {}
  std::vector<action> step(instant now, const event& new_event);

  /// Upper bound of the age of data at `position`; negative if unknown.
  duration age_bound(instant now, const log_position& position) const;

  /// Estimates the replay position of a database at `now`. Extrapolates the
  /// replay rate between its last two polls, up to the last confirmed
  /// heartbeat. For routing hints only: the estimate may be too high.
  log_position estimate(instant now, const database_id& database) const;

 private:
  struct confirmed_heartbeat {
    instant sent_at;
    log_position position;
  };
  struct replay_history {
    instant previous_at{};
    log_position previous;
    instant latest_at{};
    log_position latest;
  };

  void handle(instant now, const heartbeat_confirmed& heartbeat);
  void handle(instant now, const heartbeat_reported& report);
  void handle(instant now, const replay_seen& replay);
  void handle(instant, const age_wanted&) {}

  settings settings_;
  std::deque<confirmed_heartbeat> heartbeats_;  ///< Ordered by `sent_at`.
  std::map<database_id, replay_history> replay_histories_;
};

}  // namespace toucanmux
