#pragma once

#include <cereal/cereal.hpp>
#include <compare>
#include <cstdint>

namespace toucanmux {

/// A state of the store. Revisions rise within a generation only: a store that
/// is restored from an older copy begins a new generation and gives revisions
/// out again.
struct store_version {
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;

  bool operator==(const store_version&) const = default;
  std::strong_ordering operator<=>(const store_version& other) const {
    auto by_generation = generation <=> other.generation;
    return std::is_eq(by_generation) ? revision <=> other.revision
                                     : by_generation;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(generation), CEREAL_NVP(revision));
  }
};

}  // namespace toucanmux
