#pragma once

#include <deque>
#include <map>
#include <string_view>
#include <variant>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// An event: a heartbeat of this pool was committed.
struct heartbeat_confirmed {
  static constexpr std::string_view name = "heartbeat_confirmed";
  instant sent_at{};      ///< When this pool sent it.
  log_position position;  ///< Of its commit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(sent_at), CEREAL_NVP(position));
  }
};

/// An event: another pool's heartbeat was committed, as its report tells. The
/// report answers a stamp of this pool.
struct heartbeat_reported {
  static constexpr std::string_view name = "heartbeat_reported";
  instant echo{};             ///< This pool's stamp that was answered.
  duration echo_age{0};       ///< How long the other had the stamp.
  duration heartbeat_age{0};  ///< How long before its report it was sent.
  log_position position;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(echo), CEREAL_NVP(echo_age), CEREAL_NVP(heartbeat_age),
            CEREAL_NVP(position));
  }
};

/// An event: where a database's readers stand.
struct replay_seen {
  static constexpr std::string_view name = "replay_seen";
  database_id database;
  log_position position;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(position));
  }
};

/// An event: how old is data at this position?
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
  duration age{-1};  ///< At most this old; negative is unknown.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(age));
  }
};

/// How old the data of a group's databases may be, by this pool's clock only.
///
/// A heartbeat that was committed proves that every write acknowledged before
/// it was sent has no later position. One that failed proves nothing, so that
/// an old primary that is cut off only grows older.
class position_watch {
 public:
  struct settings {
    duration history = std::chrono::seconds(60);
    duration spacing = std::chrono::milliseconds(50);
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

  /// The most that data at `position` can be old; negative if unknown.
  duration age_bound(instant now, const log_position& position) const;

  /// Where a database's readers probably stand now: its speed over its last
  /// two polls goes on, up to what is confirmed. A hint for routing only.
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
  std::deque<confirmed_heartbeat> heartbeats_;  ///< By sending time.
  std::map<database_id, replay_history> replay_histories_;
};

}  // namespace toucanmux
