#pragma once

#include <string>

#include "standin/slow-peer.h"

namespace toucanmux::standin {

/// A caller that reads its answers only when told to.
struct slow_caller : slow_peer {
  using slow_peer::slow_peer;

  void send_line(const std::string& line) { send(line + "\r\n"); }
  /// The number of complete answers so far, with that to CONNECT.
  unsigned answers() const {
    unsigned count = 0;
    for (auto at = received().find("\r\nREADY "); at != std::string::npos;
         at = received().find("\r\nREADY ", at + 1))
      ++count;
    return count + (received().starts_with("READY ") ? 1U : 0U);
  }
};

}  // namespace toucanmux::standin
