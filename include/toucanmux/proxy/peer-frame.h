#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace toucanmux {

/// A message to one peer. What all peers get is packed once.
struct peer_frame {
  std::uint64_t echo = 0;  ///< The last stamp heard from the receiver.
  std::string body;        ///< A packed `peer_message`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(echo), CEREAL_NVP(body));
  }
};

}  // namespace toucanmux
