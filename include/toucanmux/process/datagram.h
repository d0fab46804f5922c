#pragma once

#include <cereal/types/string.hpp>
#include <span>
#include <string>

#include "toucanmux/core.h"

namespace toucanmux {

/// The component that a control datagram is addressed to.
enum class control_part : std::uint8_t {
  membership,
  configuration,
  limits,
  promotion,
  positions
};

/// Version of the wire format. Receivers drop and count datagrams of any other
/// version.
inline constexpr std::uint16_t datagram_version = 1;
/// The largest datagram that is sent. It fits into an Ethernet frame, which
/// avoids IP fragmentation.
inline constexpr std::size_t datagram_limit_bytes = 1400;

/// The envelope of every message between members' control threads. The payload
/// is a cereal variant that the component defines.
struct datagram {
  control_part part = control_part::membership;
  member_id from;
  std::uint64_t incarnation = 0;  ///< Incarnation of the sender.
  std::uint64_t clock = 0;        ///< The sender's hybrid logical clock.
  std::string payload;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(part), CEREAL_NVP(from), CEREAL_NVP(incarnation),
            CEREAL_NVP(clock), CEREAL_NVP(payload));
  }
};

/// Serializes the header (magic number, version, checksum) and the envelope.
/// @throws protocol_error if the result exceeds `datagram_limit_bytes`.
std::string pack(const datagram& message);

/// Parses the bytes that `pack` returned.
/// @throws protocol_error if the bytes are not a datagram, have another version
/// or a wrong checksum.
datagram unpack_datagram(std::span<const char> bytes);

}  // namespace toucanmux
