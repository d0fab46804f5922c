#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/process/group-messages.h"

namespace toucanmux {

/// How a heartbeat to a primary ended.
enum class heartbeat_result : std::uint8_t {
  ok,
  refused,     ///< No process listens, or it closed the connection.
  silent,      ///< No answer in time.
  not_primary  ///< It answered that it is in recovery.
};

/// An action: write a heartbeat to a database that should be primary.
struct send_heartbeat {
  static constexpr std::string_view name = "send_heartbeat";
  database_id database;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database));
  }
};

/// An event: the one end of a `send_heartbeat`.
struct heartbeat_ended {
  static constexpr std::string_view name = "heartbeat_ended";
  database_id database;
  heartbeat_result result = heartbeat_result::ok;
  log_position position;  ///< Of the heartbeat's commit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(result), CEREAL_NVP(position));
  }
};

/// An event: another primary or term is in force.
struct primary_changed {
  static constexpr std::string_view name = "primary_changed";
  std::uint64_t term = 0;
  database_id primary;
  bool owned = false;  ///< This pool owns the primary.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(term), CEREAL_NVP(primary), CEREAL_NVP(owned));
  }
};

/// An event: what an owned replica said.
struct replica_seen {
  static constexpr std::string_view name = "replica_seen";
  database_status status;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(status));
  }
};

/// An event: another owner suspects the primary, so look now.
struct peer_suspects {
  static constexpr std::string_view name = "peer_suspects";
  template <class Archive>
  void serialize(Archive&) {}
};

/// An event: the primary was promoted just now.
struct primary_promoted {
  static constexpr std::string_view name = "primary_promoted";
  template <class Archive>
  void serialize(Archive&) {}
};

/// An event: time has passed.
struct group_tick {
  static constexpr std::string_view name = "tick";
  template <class Archive>
  void serialize(Archive&) {}
};

/// An action: the view of the primary has changed.
struct health_changed {
  static constexpr std::string_view name = "health_changed";
  primary_health health = primary_health::unsure;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(health));
  }
};

/// One pool's own view of a group's primary. The primary's owner sends it
/// heartbeats; a replica's owner does so once its replica stands still.
class failure_detector {
 public:
  struct settings {
    duration heartbeat_interval = std::chrono::milliseconds(100);
    duration refused_interval = std::chrono::milliseconds(40);
    duration refused_after = std::chrono::milliseconds(120);
    duration silent_after = std::chrono::milliseconds(3200);
    duration promotion_timeout = std::chrono::milliseconds(2000);
    duration stall_after = std::chrono::milliseconds(300);
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

  primary_health health(instant now) const;

  /// True if the owned replica receives log, so that it may not be fenced
  /// on suspicion.
  bool replica_advances(instant now) const {
    return replica_streaming_ &&
           now - replica_advanced_at_ < settings_.stall_after;
  }

  /// The last successful heartbeat of this term; term 0 if there was none.
  const log_position& confirmed_position() const { return confirmed_position_; }
  instant confirmed_sent_at() const { return confirmed_sent_at_; }

  /// How long nothing has shown that the primary is well.
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
  int failures_ = 0;  ///< In a row.
  log_position confirmed_position_;
  instant confirmed_sent_at_{};
  primary_health reported_health_ = primary_health::unsure;
};

}  // namespace toucanmux
