#pragma once

#include <cstdint>
#include <string_view>

namespace toucanmux {

/// FNV-1a with a final mix, so that names that differ in one digit spread over
/// the seats. The result is the same on every machine.
constexpr std::uint64_t seat_hash(std::string_view text) {
  std::uint64_t value = 0xcbf29ce484222325;
  for (char c : text) {
    value = (value ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  }
  value = (value ^ (value >> 33)) * 0xff51afd7ed558ccd;
  return value ^ (value >> 33);
}

}  // namespace toucanmux
