#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanmux {

/// An IPv4 address with a port, both in host byte order.
struct inet_address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  bool operator==(const inet_address&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(ip), CEREAL_NVP(port));
  }
};

/// Parses `10.1.0.26:8465`; returns nothing for any other form and for port 0.
std::optional<inet_address> parse_address(std::string_view text);
std::string to_text(const inet_address& address);

}  // namespace toucanmux
