#include "standin/slow-peer.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "standin/database-fixture.h"
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

}  // namespace

slow_peer::slow_peer() {
  int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  check(listening >= 0, "socket");
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  check(bind(listening, raw, size) == 0, "bind");
  check(listen(listening, 1) == 0, "listen");
  check(getsockname(listening, raw, &size) == 0, "getsockname");
  descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  set_buffer(descriptor_, SO_RCVBUF);
  check(connect(descriptor_, raw, size) == 0, "connect");
  other_end_ =
      accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  check(other_end_ >= 0, "accept");
  set_buffer(other_end_, SO_SNDBUF);
  ::close(listening);
}

slow_peer::~slow_peer() { close(); }

void slow_peer::write(std::string_view bytes) const {
  auto sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  check(sent == static_cast<ssize_t>(bytes.size()), "send");
}

void slow_peer::read() {
  std::array<char, buffer_bytes> chunk{};
  while (!ended_) {
    auto size = recv(descriptor_, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    ended_ = size <= 0;
    reset_ = size < 0;
    if (size > 0) received_.append(chunk.data(), static_cast<size_t>(size));
  }
}

void slow_peer::read_at_least(std::size_t bytes) {
  auto wanted = received_.size() + bytes;
  wait_until([&] {
    read();
    return ended_ || received_.size() >= wanted;
  });
}

void slow_peer::read_to_end() {
  wait_until([&] {
    read();
    return ended_;
  });
}

void slow_peer::finish() const { shutdown(descriptor_, SHUT_WR); }

void slow_peer::close() {
  if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
}

}  // namespace toucanmux::standin
