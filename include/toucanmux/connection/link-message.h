#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <variant>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/request/statement.h"
#include "toucanmux/version/config-object.h"

namespace toucanmux {

/// Version byte of each frame. A frame of another version closes the link.
inline constexpr std::uint8_t link_version = 1;
/// Largest accepted frame, counted without its 4 length bytes. A larger one
/// closes the link.
inline constexpr std::size_t frame_limit_bytes = 8U << 20U;

/// First message on a link, sent by the side that opened the link.
struct hello {
  member_id from;
  std::uint64_t incarnation = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(incarnation));
  }
};

/// Cancels a statement: its caller disconnected or the caller's API key was
/// withdrawn.
struct cancel {
  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// A pool's latest view of one database. Entries use hints only to choose a
/// database; consistency is checked against the position in the answer.
struct database_hint {
  database_id database;
  log_position position;
  duration age{0};  ///< Upper bound of the data's age at the time of sending.
  bool usable = true;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(database), CEREAL_NVP(position), CEREAL_NVP(age),
            CEREAL_NVP(usable));
  }
};

/// A pool's latest view of a database group.
struct group_hint {
  group_id group;
  std::uint64_t term = 0;
  database_id primary;
  bool writable = true;
  duration retry_after{0};  ///< Expected time until the group accepts writes.
  std::vector<database_hint> databases;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(term), CEREAL_NVP(primary),
            CEREAL_NVP(writable), CEREAL_NVP(retry_after),
            CEREAL_NVP(databases));
  }
};

/// Asks a peer for the configuration objects with a version above
/// `newer_than`.
struct objects_request {
  std::uint64_t newer_than = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(newer_than));
  }
};

/// Answer to an `objects_request`, split into several frames if it is large.
struct objects_reply {
  bool more = false;  ///< Another frame follows.
  std::vector<config_object> objects;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(more), CEREAL_NVP(objects));
  }
};

/// Any message on a link between two processes of the fleet.
using link_message = std::variant<hello, statement, answer, cancel, group_hint,
                                  objects_request, objects_reply>;

}  // namespace toucanmux
