#include "proxy/socket-address.h"

#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "toucanmux/error.h"

namespace toucanmux {

void throw_address_error(int descriptor, const inet_address& address) {
  std::string reason = std::strerror(errno);
  close(descriptor);
  throw platform_error(to_text(address) + ": " + reason +
                       ": name a free address of this machine");
}

}  // namespace toucanmux
