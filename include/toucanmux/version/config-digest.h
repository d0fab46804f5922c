#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "toucanmux/core.h"

namespace toucanmux {

/// Summary of the configuration versions that a member has seen, small enough
/// for heartbeats.
struct config_digest {
  /// Sum of all versions; each newer version raises it.
  std::uint64_t version_sum = 0;
  /// Hash of all names and versions, independent of their order.
  std::uint64_t version_hash = 0;
  /// Time since the platform confirmed the versions.
  duration confirmation_age{0};
  /// The watcher that got this confirmation from the platform.
  std::uint64_t watcher_id = 0;
  /// Sequence number of the confirmation; each watcher counts its own.
  std::uint64_t confirmation_number = 0;

  bool same_versions(const config_digest& other) const {
    return version_sum == other.version_sum &&
           version_hash == other.version_hash;
  }
  /// True if `other` includes a version that this digest lacks. If the sums are
  /// equal but the hashes differ, both digests lack versions of the other.
  bool lacks_versions_of(const config_digest& other) const {
    return version_sum < other.version_sum ||
           (version_sum == other.version_sum &&
            version_hash != other.version_hash);
  }
  /// Adds one version of the object `kind`/`key`.
  void add(std::string_view kind, std::string_view key, std::uint64_t version);
  /// Removes a version that was added before.
  void remove(std::string_view kind, std::string_view key,
              std::uint64_t version);

  /// The five fields in hexadecimal, separated by colons.
  std::string text() const;
  /// Parses the output of `text`; empty on malformed input.
  static std::optional<config_digest> parse(std::string_view text);
};

}  // namespace toucanmux
