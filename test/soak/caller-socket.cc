#include "soak/caller-socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "proxy/socket-address.h"

namespace toucanmux::soak {

namespace {

constexpr std::size_t read_size = 131'072;
constexpr int slow_receive_buffer = 131'072;
constexpr duration slow_read_pause = std::chrono::milliseconds(5);

}  // namespace

caller_socket::caller_socket(event_loop& loop, stream_owner& owner)
    : loop_(loop),
      owner_(owner),
      pause_timer_([this] { loop_.watch(descriptor_, *this, false); }) {}

bool caller_socket::connect(const inet_address& to, bool reads_slowly) {
  close();
  reads_slowly_ = reads_slowly;
  descriptor_ = open_tcp_socket();
  if (descriptor_ < 0) return false;
  if (reads_slowly) {
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &slow_receive_buffer,
               sizeof(slow_receive_buffer));
  }
  auto address = to_sockaddr(to);
  int result = ::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                         sizeof(address));
  loop_.watch(descriptor_, *this, true);
  bool started = result == 0 || errno == EINPROGRESS;
  if (!started) close();
  return started;
}

bool caller_socket::send(std::string_view bytes) const {
  auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  return count == static_cast<ssize_t>(bytes.size());
}

void caller_socket::close() {
  if (descriptor_ >= 0) {
    if (!pause_timer_.armed()) loop_.unwatch(descriptor_, *this);
    ::close(descriptor_);
  }
  pause_timer_.disarm();
  descriptor_ = -1;
  connected_ = false;
  input_.clear();
}

void caller_socket::on_ready(std::uint32_t) {
  connected_ ? receive() : finish_connect();
}

void caller_socket::finish_connect() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return end();
  connected_ = true;
  loop_.modify(descriptor_, *this, true, false);
  owner_.on_open();
}

void caller_socket::receive() {
  std::array<char, read_size> bytes;  // NOLINT: filled by recv
  auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) return end();
  input_.append(bytes.data(), static_cast<std::size_t>(count));
  owner_.on_input();
  if (reads_slowly_ && input_.size() >= read_size / 2) pause();
}

void caller_socket::pause() {
  if (closed()) return;
  loop_.unwatch(descriptor_, *this);
  loop_.arm_in(pause_timer_, slow_read_pause);
}

void caller_socket::end() {
  close();
  owner_.on_closed();
}

}  // namespace toucanmux::soak
