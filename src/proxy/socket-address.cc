#include "proxy/socket-address.h"

#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "toucanmux/error.h"

namespace toucanmux {

void refuse_address(int descriptor, const inet_address& at) {
  std::string why = std::strerror(errno);
  close(descriptor);
  throw platform_error(to_text(at) + ": " + why +
                       ": name a free address of this machine");
}

}  // namespace toucanmux
