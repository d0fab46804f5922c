#include "proxy/udp-port.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "proxy/socket-address.h"

namespace toucanmux {

namespace {

constexpr int max_receives_per_turn = 32;
// Longer datagrams are truncated.
constexpr std::size_t max_datagram_size = 2048;

}  // namespace

udp_port::udp_port(event_loop& loop, const inet_address& bind_address,
                   receive_handler on_receive)
    : loop_(loop),
      descriptor_(
          socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      on_receive_(std::move(on_receive)) {
  auto address = to_sockaddr(bind_address);
  if (bind(descriptor_, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0) {
    throw_address_error(descriptor_, bind_address);
  }
  loop_.watch(descriptor_, *this, false);
}

udp_port::~udp_port() {
  loop_.unwatch(descriptor_, *this);
  close(descriptor_);
}

bool udp_port::send(std::string_view bytes, const inet_address& to) {
  auto address = to_sockaddr(to);
  auto sent = sendto(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                     reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return sent == static_cast<ssize_t>(bytes.size());
}

void udp_port::on_ready(std::uint32_t) {
  std::array<char, max_datagram_size> bytes;  // NOLINT: filled by recvfrom
  for (int i = 0; i < max_receives_per_turn; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    auto count = recvfrom(descriptor_, bytes.data(), bytes.size(), 0,
                          reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0) return;
    on_receive_({bytes.data(), static_cast<std::size_t>(count)},
                from_sockaddr(from));
  }
}

}  // namespace toucanmux
