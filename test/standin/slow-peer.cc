#include "standin/slow-peer.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "proxy/socket-address.h"
#include "toucanmux/error.h"

namespace toucanmux::standin {

namespace {

constexpr int buffer_bytes = 4096;

void check(bool good, const char* call) {
  if (!good) throw error(std::string(call) + ": " + std::strerror(errno));
}

void set_buffer(int descriptor, int option) {
  check(setsockopt(descriptor, SOL_SOCKET, option, &buffer_bytes,
                   sizeof buffer_bytes) == 0,
        "setsockopt");
}

bool would_block() { return errno == EAGAIN || errno == EINTR; }

}  // namespace

slow_peer::slow_peer(const inet_address& server) { connect(server); }

slow_peer::slow_peer() {
  int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  check(listening >= 0, "socket");
  auto address = to_sockaddr({INADDR_LOOPBACK, 0});
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  check(bind(listening, raw, size) == 0, "bind");
  check(listen(listening, 1) == 0, "listen");
  check(getsockname(listening, raw, &size) == 0, "getsockname");
  connect(from_sockaddr(address));
  other_end_ =
      accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  check(other_end_ >= 0, "accept");
  set_buffer(other_end_, SO_SNDBUF);
  ::close(listening);
}

slow_peer::~slow_peer() { close(); }

void slow_peer::connect(const inet_address& server) {
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  check(descriptor_ >= 0, "socket");
  set_buffer(descriptor_, SO_RCVBUF);
  auto address = to_sockaddr(server);
  check(::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                  sizeof address) == 0,
        "connect");
}

void slow_peer::send(std::string_view bytes) {
  unsent_ += bytes;
  if (unsent_.empty()) return;
  auto count = ::send(descriptor_, unsent_.data(), unsent_.size(),
                      MSG_DONTWAIT | MSG_NOSIGNAL);
  check(count >= 0 || would_block(), "send");
  if (count > 0) unsent_.erase(0, static_cast<std::size_t>(count));
}

// Goes on behind the end, where a reset may follow.
void slow_peer::read() {
  std::array<char, buffer_bytes> chunk{};
  for (;;) {
    auto count = recv(descriptor_, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count < 0 && would_block()) return;
    if (count <= 0) {
      ended_ = true;
      was_reset_ = was_reset_ || count < 0 || has_error();
      return;
    }
    received_.append(chunk.data(), static_cast<std::size_t>(count));
  }
}

// Behind the end, recv reports no error.
bool slow_peer::has_error() const {
  int error_number = 0;
  socklen_t size = sizeof error_number;
  check(
      getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error_number, &size) == 0,
      "getsockopt");
  return error_number != 0;
}

void slow_peer::finish() const { shutdown(descriptor_, SHUT_WR); }

void slow_peer::close() {
  if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
}

}  // namespace toucanmux::standin
