#include "proxy/tcp-listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "proxy/socket-address.h"
#include "proxy/tcp-stream.h"

namespace toucanmux {

namespace {

constexpr int backlog = 512;
// Limits the connections accepted in one turn, so that a flood of them doesn't
// starve the open ones.
constexpr int max_accepts_per_turn = 32;
// While no descriptor is free, epoll would report the same pending connection
// without end.
constexpr duration accept_pause = std::chrono::milliseconds(200);

}  // namespace

tcp_listener::tcp_listener(event_loop& loop, const inet_address& listen_address,
                           accept_handler on_accept)
    : loop_(loop),
      descriptor_(open_tcp_socket()),
      on_accept_(std::move(on_accept)),
      pause_timer_([this] { loop_.watch(descriptor_, *this, false); }) {
  auto address = to_sockaddr(listen_address);
  int on = 1;
  setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  bool bound = bind(descriptor_, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0 &&
               listen(descriptor_, backlog) == 0;
  if (!bound) throw_address_error(descriptor_, listen_address);
  loop_.watch(descriptor_, *this, false);
}

tcp_listener::~tcp_listener() {
  if (!pause_timer_.armed()) loop_.unwatch(descriptor_, *this);
  close(descriptor_);
}

inet_address tcp_listener::address() const {
  sockaddr_in out{};
  socklen_t size = sizeof(out);
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&out), &size);
  return from_sockaddr(out);
}

void tcp_listener::on_ready(std::uint32_t) {
  for (int i = 0; i < max_accepts_per_turn; ++i) {
    int client =
        accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0 && (errno == EMFILE || errno == ENFILE))
      return pause_accepting();
    if (client < 0) return;
    on_accept_(client);
  }
}

void tcp_listener::pause_accepting() {
  loop_.unwatch(descriptor_, *this);
  loop_.arm_in(pause_timer_, accept_pause);
}

}  // namespace toucanmux
