#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/process/group-messages.h"

namespace toucanmux {

/// The outcome of a heartbeat to a primary.
enum class heartbeat_result : std::uint8_t {
  ok,
  refused,     ///< The connection was refused or closed by the database.
  silent,      ///< The heartbeat timed out.
  not_primary  ///< The database answered that it is in recovery.
};

/// An action: commit a heartbeat at the database recorded as primary.
struct send_heartbeat {
  static constexpr std::string_view name = "send_heartbeat";
  database_id database;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database));
  }
};

/// An event: a `send_heartbeat` has ended. Exactly one follows each action.
struct heartbeat_ended {
  static constexpr std::string_view name = "heartbeat_ended";
  database_id database;
  heartbeat_result result = heartbeat_result::ok;
  log_position position;  ///< Log position of the commit, if `ok`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(result), CEREAL_NVP(position));
  }
};

/// An event: the recorded primary, its term or its owner has changed.
struct primary_changed {
  static constexpr std::string_view name = "primary_changed";
  std::uint64_t term = 0;
  database_id primary;
  bool owned = false;  ///< True if this pool owns the primary.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(term), CEREAL_NVP(primary), CEREAL_NVP(owned));
  }
};

/// An event: the furthest status among this pool's streaming replicas of the
/// group. `streaming` is false if there is none.
struct replica_seen {
  static constexpr std::string_view name = "replica_seen";
  database_status status;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(status));
  }
};

/// An event: a peer suspects the primary. Makes a heartbeat due at once.
struct peer_suspects {
  static constexpr std::string_view name = "peer_suspects";
  template <class Archive>
  void serialize(Archive&) {}
};

/// An event: the promotion of this term's primary has succeeded.
struct primary_promoted {
  static constexpr std::string_view name = "primary_promoted";
  template <class Archive>
  void serialize(Archive&) {}
};

/// An event: the periodic timer has fired.
struct group_tick {
  static constexpr std::string_view name = "tick";
  template <class Archive>
  void serialize(Archive&) {}
};

/// An action: this pool's assessment of the primary has changed.
struct health_changed {
  static constexpr std::string_view name = "health_changed";
  primary_health health = primary_health::unsure;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(health));
  }
};

/// Assesses the health of a group's primary, using only this pool's
/// observations. The owner of the primary sends heartbeats continuously; the
/// owner of a replica sends them only while its replica receives no log.
class failure_detector {
 public:
  struct settings {
    /// Time between heartbeats.
    duration heartbeat_interval = std::chrono::milliseconds(100);
    /// Delay of the next heartbeat after a refused one.
    duration refused_interval = std::chrono::milliseconds(40);
    /// Time without a sign of health after which a primary that refuses
    /// connections is suspected.
    duration refused_after = std::chrono::milliseconds(120);
    /// Time without a sign of health after which a primary that does not answer
    /// is suspected.
    duration silent_after = std::chrono::milliseconds(3200);
    /// How long a chosen primary may stay in recovery before it is suspected.
    duration promotion_timeout = std::chrono::milliseconds(2000);
    /// A replica that receives no log for this long counts as stalled, and a
    /// heartbeat in flight for this long as unanswered.
    duration stall_after = std::chrono::milliseconds(300);
    /// A longer gap between two steps means that this process was paused.
    duration pause_after = std::chrono::milliseconds(300);

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(heartbeat_interval), CEREAL_NVP(refused_interval),
              CEREAL_NVP(refused_after), CEREAL_NVP(silent_after),
              cereal::make_nvp("promotion_patience", promotion_timeout),
              CEREAL_NVP(stall_after), CEREAL_NVP(pause_after));
    }
  };
  using event = std::variant<group_tick, primary_changed, heartbeat_ended,
                             replica_seen, peer_suspects, primary_promoted>;
  using action = std::variant<send_heartbeat, health_changed>;

  explicit failure_detector(const settings& values) : settings_(values) {}
  std::vector<action> step(instant now, const event& new_event);

  /// The assessment at `now`; `unsure` before the first term.
  primary_health health(instant now) const;

  /// True if an owned replica still receives log. Such a replica must not be
  /// fenced because of a suspicion.
  bool replica_advances(instant now) const {
    return replica_streaming_ &&
           now - replica_advanced_at_ < settings_.stall_after;
  }

  /// Position of the last successful heartbeat in this term; its own term is 0
  /// if there was none.
  const log_position& confirmed_position() const { return confirmed_position_; }
  /// When that heartbeat was sent.
  instant confirmed_sent_at() const { return confirmed_sent_at_; }

  /// Time since the last evidence that the primary is healthy.
  duration time_since_healthy(instant now) const {
    return now - last_healthy_at_;
  }

 private:
  void handle(instant now, const group_tick&);
  void handle(instant now, const primary_changed& change);
  void handle(instant now, const heartbeat_ended& end);
  void handle(instant now, const replica_seen& replica);
  void handle(instant now, const peer_suspects&);
  void handle(instant now, const primary_promoted&);

  void reset_after_pause(instant now);
  bool heartbeat_due(instant now) const;

  settings settings_;
  std::uint64_t term_ = 0;
  database_id primary_;
  bool owns_primary_ = false;
  bool in_flight_ = false;
  bool check_requested_ = false;
  instant heartbeat_sent_at_{};
  instant next_at_{};
  instant last_healthy_at_{};
  instant replica_advanced_at_{};
  instant last_step_at_{};
  log_position replica_received_;
  bool replica_streaming_ = false;
  heartbeat_result last_result_ = heartbeat_result::ok;
  int failures_ = 0;  ///< Consecutive failed heartbeats.
  log_position confirmed_position_;
  instant confirmed_sent_at_{};
  primary_health reported_health_ = primary_health::unsure;
};

}  // namespace toucanmux
