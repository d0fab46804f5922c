#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "toucanmux/core.h"

namespace toucanmux {

/// Which versions a member has seen, in a few bytes for heartbeats.
struct config_digest {
  std::uint64_t version_sum =
      0;  ///< Of the versions; grows with every newer one.
  std::uint64_t version_hash = 0;  ///< Over the names and versions.
  duration confirmation_age{0};    ///< Since the platform confirmed them.
  std::uint64_t watcher_id = 0;    ///< The watcher that it confirmed them to.
  std::uint64_t confirmation_number = 0;  ///< Grows with each of the watcher's.

  bool same_versions(const config_digest& other) const {
    return version_sum == other.version_sum &&
           version_hash == other.version_hash;
  }
  /// True if the other member has seen a version that this one has not.
  bool lacks_versions_of(const config_digest& other) const {
    return version_sum < other.version_sum ||
           (version_sum == other.version_sum &&
            version_hash != other.version_hash);
  }
  void add(std::string_view kind, std::string_view key, std::uint64_t version);
  void remove(std::string_view kind, std::string_view key,
              std::uint64_t version);

  std::string text() const;
  /// Nothing if the text is no digest.
  static std::optional<config_digest> parse(std::string_view text);
};

}  // namespace toucanmux
