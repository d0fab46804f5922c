#pragma once

#include <cereal/types/string.hpp>
#include <string>

#include "toucanmux/core.h"

/// Requests of decision classes to the platform's object API, and their
/// results. Each request ends in exactly one `object_read` or `object_written`
/// of the same kind and key.
namespace toucanmux {

/// An action: read an object.
struct read_object {
  static constexpr std::string_view name = "read_object";
  std::string kind;
  std::string key;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(kind), CEREAL_NVP(key));
  }
};

/// An action: write an object if its version is still `if_version`.
struct write_object {
  static constexpr std::string_view name = "write_object";
  std::string kind;
  std::string key;
  std::uint64_t if_version = 0;  ///< 0 creates the object.
  std::string value;             ///< JSON of at most one megabyte.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(kind), CEREAL_NVP(key), CEREAL_NVP(if_version),
            CEREAL_NVP(value));
  }
};

/// The outcome of a read.
enum class read_result : std::uint8_t { found, absent, unreachable };

/// An event: a `read_object` has ended.
struct object_read {
  static constexpr std::string_view name = "object_read";
  std::string kind;
  std::string key;
  read_result result = read_result::found;
  std::uint64_t version = 0;
  std::string value;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(kind), CEREAL_NVP(key), CEREAL_NVP(result),
            CEREAL_NVP(version), CEREAL_NVP(value));
  }
};

/// The outcome of a write. After `unknown` the write may or may not have taken
/// effect, and the caller has to read the object back.
enum class write_result : std::uint8_t { written, conflict, unknown };

/// An event: a `write_object` has ended.
struct object_written {
  static constexpr std::string_view name = "object_written";
  std::string kind;
  std::string key;
  write_result result = write_result::written;
  std::uint64_t version = 0;  ///< Version of the new value, if written.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(kind), CEREAL_NVP(key), CEREAL_NVP(result),
            CEREAL_NVP(version));
  }
};

}  // namespace toucanmux
