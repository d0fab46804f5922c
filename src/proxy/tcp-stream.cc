#include "proxy/tcp-stream.h"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "connection/unacknowledged.h"
#include "proxy/socket-address.h"

namespace toucanmux {

namespace {

// The kernel closes a connection whose sent data stays unacknowledged this
// long.
constexpr int user_timeout_ms = 4000;
// The kernel counts the time for which a peer has no room for data, too.
constexpr int late_reader_timeout_ms = 15'000;
// How long a peer may take to close a connection whose end was sent.
constexpr duration close_timeout = std::chrono::seconds(1);
// Bounds what a peer that sends without pause can have received in one turn.
constexpr int max_polls = 64;
constexpr std::size_t read_size = 16'384;
// The memory of an empty buffer with more capacity than this is released.
constexpr std::size_t max_idle_capacity = 8'192;

void set_option(int descriptor, int level, int option, int value) {
  setsockopt(descriptor, level, option, &value, sizeof(value));
}

void set_options(int descriptor) {
  set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

void clear_buffer(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > max_idle_capacity) buffer.shrink_to_fit();
}

}  // namespace

int open_tcp_socket() {
  int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor >= 0) set_options(descriptor);
  return descriptor;
}

void tcp_stream::adopt(int descriptor, bool reads_late) {
  set_options(descriptor);
  if (reads_late)
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
               late_reader_timeout_ms);
  descriptor_ = descriptor;
  connected_ = true;
  loop_.watch(descriptor_, *this, false);
}

bool tcp_stream::connect(const inet_address& to) {
  close();
  descriptor_ = open_tcp_socket();
  if (descriptor_ < 0) return false;
  auto address = to_sockaddr(to);
  int result = ::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                         sizeof(address));
  if (result != 0 && errno != EINPROGRESS) {
    ::close(descriptor_);
    descriptor_ = -1;
    return false;
  }
  watching_writable_ = true;
  loop_.watch(descriptor_, *this, true);
  return true;
}

void tcp_stream::send(std::string_view bytes) {
  output_ += bytes;
  schedule_flush();
}

void tcp_stream::schedule_flush() {
  if (connected_ && !watching_writable_) loop_.at_turn_end(*this);
}

std::size_t tcp_stream::unacknowledged() const {
  return open() ? unacknowledged_bytes(descriptor_, close_timer_.armed()) : 0;
}

void tcp_stream::finish() {
  if (closed() || finishing_) return;
  finishing_ = true;
  pause_input(false);
  loop_.at_turn_end(*this);
}

// Closing a socket with unread input resets the connection, and the peer may
// lose what it has not read yet.
void tcp_stream::send_end() {
  if (close_timer_.armed()) return;
  watch_writable(false);
  shutdown(descriptor_, SHUT_WR);
  loop_.arm_in(close_timer_, close_timeout);
}

void tcp_stream::close() {
  if (is_linked()) unlink();
  close_timer_.disarm();
  if (descriptor_ >= 0) {
    loop_.unwatch(descriptor_, *this);
    ::close(descriptor_);
  }
  descriptor_ = -1;
  connected_ = false;
  watching_writable_ = false;
  input_paused_ = false;
  finishing_ = false;
  input_.clear();
  output_.clear();
}

void tcp_stream::on_ready(std::uint32_t events) {
  if (!connected_) return finish_connect();
  if ((events & EPOLLOUT) != 0) flush();
  if (closed()) return;
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) receive();
}

void tcp_stream::finish_connect() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return handle_disconnect();
  connected_ = true;
  owner_.on_open();
  if (!closed()) flush();
}

// Returns false if nothing was received.
bool tcp_stream::receive() {
  std::array<char, read_size> bytes;  // NOLINT: filled by recv
  auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count > 0 && finishing_) return true;
  if (count > 0) {
    input_.append(bytes.data(), static_cast<std::size_t>(count));
    owner_.on_input();
    if (input_.empty()) clear_buffer(input_);
    return true;
  }
  bool would_block = count < 0 && (errno == EAGAIN || errno == EINTR);
  if (!would_block) handle_disconnect();
  return false;
}

bool tcp_stream::poll_input() {
  for (int i = 0; i < max_polls && open() && !input_paused_; ++i) {
    if (!receive()) return true;
  }
  return !open();
}

void tcp_stream::flush() {
  if (!connected_) return;
  bool sent = false;
  if (!output_.empty()) {
    auto count =
        ::send(descriptor_, output_.data(), output_.size(), MSG_NOSIGNAL);
    sent = count > 0;
    if (count < 0 && errno != EAGAIN && errno != EINTR)
      return handle_disconnect();
    if (count > 0) output_.erase(0, static_cast<std::size_t>(count));
  }
  if (output_.empty()) clear_buffer(output_);
  if (output_.empty() && finishing_) return send_end();
  watch_writable(!output_.empty());
  if (sent) owner_.on_sent();
}

void tcp_stream::watch_writable(bool on) {
  if (on == watching_writable_) return;
  watching_writable_ = on;
  loop_.modify(descriptor_, *this, !input_paused_, on);
}

void tcp_stream::pause_input(bool paused) {
  if (paused == input_paused_ || closed()) return;
  input_paused_ = paused;
  loop_.modify(descriptor_, *this, !paused, watching_writable_);
}

void tcp_stream::handle_disconnect() {
  discarded_ = output_.size();
  close();
  owner_.on_closed();
}

}  // namespace toucanmux
