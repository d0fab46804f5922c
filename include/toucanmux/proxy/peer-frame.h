#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace toucanmux {

/// Envelope of a message to one peer. The body is the same for all receivers
/// and is packed once.
struct peer_frame {
  std::uint64_t echo = 0;  ///< The last stamp received from the receiver.
  std::string body;        ///< A packed `peer_message`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(echo), CEREAL_NVP(body));
  }
};

}  // namespace toucanmux
