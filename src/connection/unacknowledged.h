#pragma once

#include <sys/ioctl.h>
#include <termios.h>

#include <algorithm>
#include <cstddef>

namespace toucanmux {

/// The number of bytes sent on a TCP socket that the peer has not acknowledged.
/// @param end_sent the sending side is shut down; the kernel counts the end as
/// a byte.
inline std::size_t unacknowledged_bytes(int descriptor, bool end_sent) {
  int count = 0;
  if (ioctl(descriptor, TIOCOUTQ, &count) != 0) return 0;
  return static_cast<std::size_t>(std::max(count - (end_sent ? 1 : 0), 0));
}

}  // namespace toucanmux
