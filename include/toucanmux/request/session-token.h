#pragma once

#include <cereal/types/vector.hpp>
#include <span>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// The log position of the session's last write in one database group.
struct token_position {
  group_id group;
  log_position position;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(group), CEREAL_NVP(position));
  }
};

/// The positions that a session's reads must cover: that of its last write in
/// each database group it wrote to. The caller stores the token and sends it
/// with each request, so it works at every instance.
class session_token {
 public:
  /// Maximum number of groups in a token. Keeps its text well under the usual
  /// size limit of an HTTP header.
  static constexpr std::size_t group_limit = 64;

  /// The position that a read from `group` must cover; zero if any position
  /// is sufficient.
  log_position required(const group_id& group) const;

  /// True if the position of a write to `group` fits. No group is ever evicted
  /// for another, so a write to a group without room must be refused before it
  /// runs.
  bool has_room(const group_id& group) const;

  /// Adds the position of a write. An older position never replaces a newer
  /// one.
  /// @throws token_error if there is no room for another group.
  void merge(const group_id& group, const log_position& position);

  /// Adds all positions of another token.
  /// @throws token_error if there is no room for all groups.
  void merge(const session_token& other);

  /// Ordered by group.
  std::span<const token_position> positions() const { return positions_; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cereal::make_nvp("positions", positions_));
  }

 private:
  std::vector<token_position> positions_;
};

}  // namespace toucanmux
