#pragma once

#include <cstdint>
#include <string_view>

namespace toucanmux {

/// Mixes the bits of `value` so that each input bit affects all output bits
/// (the finalizer of SplitMix64).
constexpr std::uint64_t mix(std::uint64_t value) {
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9U;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

/// A hash that is equal on all machines and builds, unlike `std::hash`: FNV-1a
/// followed by `mix`.
constexpr std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3U;
  }
  return mix(hash);
}

/// The low 32 bits of `stable_hash`, for compact references in messages.
constexpr std::uint32_t short_hash(std::string_view text) {
  return static_cast<std::uint32_t>(stable_hash(text));
}

}  // namespace toucanmux
