#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <string>
#include <variant>

#include "toucanmux/core.h"

/// Messages between the pools that own a group's databases. Each is sent as a
/// `group_message` in a datagram of `control_part::promotion`.
namespace toucanmux {

/// The state of a database, as read on a control connection.
struct database_status {
  bool in_recovery = true;         ///< False for a running primary.
  bool fenced = false;             ///< Its receiver was stopped by a fence.
  bool streaming = false;          ///< Its receiver is connected.
  std::uint64_t control_term = 0;  ///< Term of the last command applied.
  std::uint64_t primary_term = 0;  ///< Term of its last promotion.
  log_position received;           ///< End of its log, with the timeline.
  log_position replayed;           ///< Position that its readers see.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(in_recovery), CEREAL_NVP(fenced), CEREAL_NVP(streaming),
            CEREAL_NVP(control_term), CEREAL_NVP(primary_term),
            CEREAL_NVP(received), CEREAL_NVP(replayed));
  }
};

/// A pool's assessment of the group's primary.
enum class primary_health : std::uint8_t { unsure, healthy, suspect };

/// A pool's view of a group. `stamp` is read from the sender's clock. `echo`
/// returns the last stamp received from the report's receiver, which thereby
/// knows that the report was sent after that stamp.
struct group_report {
  static constexpr std::string_view name = "group_report";
  group_id group;
  database_id database;    ///< A database that the sender owns.
  std::uint64_t term = 0;  ///< Latest term known to the sender.
  database_id primary;     ///< Primary of `term`.
  primary_health health = primary_health::unsure;
  bool promoting = false;     ///< The sender drives a promotion round.
  bool writable = false;      ///< The sender considers `primary` writable.
  database_status status;     ///< Status of `database`.
  instant stamp{};            ///< When the report was sent.
  instant echo{};             ///< Receiver's last stamp; the epoch if none.
  duration echo_age{0};       ///< Time since `echo` arrived.
  log_position heartbeat;     ///< Position of the last confirmed heartbeat.
  duration heartbeat_age{0};  ///< Time since that heartbeat was sent.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(database), CEREAL_NVP(term),
            CEREAL_NVP(primary), CEREAL_NVP(health), CEREAL_NVP(promoting),
            CEREAL_NVP(writable), CEREAL_NVP(status), CEREAL_NVP(stamp),
            CEREAL_NVP(echo), CEREAL_NVP(echo_age), CEREAL_NVP(heartbeat),
            CEREAL_NVP(heartbeat_age));
  }
};

/// Asks the owner of a database to fence it at a term.
struct fence_request {
  static constexpr std::string_view name = "fence_request";
  group_id group;
  database_id database;
  std::uint64_t term = 0;
  bool forced = false;  ///< Fence even if the primary seems healthy.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(database), CEREAL_NVP(term),
            CEREAL_NVP(forced));
  }
};

/// The outcome of a fence request. `refused`: the database or its owner has
/// reached a term that excludes the request. `vetoed`: the owner observes that
/// the primary works.
enum class fence_result : std::uint8_t { fenced, refused, vetoed };

/// The answer to a `fence_request`. If `result` is `fenced` and the database is
/// in recovery, `status.received` does not change any more at this term.
struct fence_reply {
  static constexpr std::string_view name = "fence_reply";
  group_id group;
  database_id database;
  std::uint64_t term = 0;
  fence_result result = fence_result::fenced;
  database_status status;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(database), CEREAL_NVP(term),
            CEREAL_NVP(result), CEREAL_NVP(status));
  }
};

using group_message = std::variant<group_report, fence_request, fence_reply>;

}  // namespace toucanmux
