#include "connection/stream-socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "connection/socket-poller.h"
#include "connection/unacknowledged.h"

namespace toucanmux {

namespace {

constexpr std::size_t read_chunk_bytes = 16U << 10U;
// A peer that sends without pause must not hold the thread.
constexpr int max_discarded_chunks = 64;

void set_no_delay(int descriptor) {
  int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

int start_connect(const endpoint& peer) {
  int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  set_no_delay(descriptor);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(peer.port);
  inet_pton(AF_INET, peer.address.c_str(), &address.sin_addr);
  // The poller reports success and failure alike as events.
  static_cast<void>(connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                            sizeof address));
  return descriptor;
}

}  // namespace

stream_socket::stream_socket(int descriptor)
    : descriptor_(descriptor), state_(state::connected), was_connected_(true) {
  set_no_delay(descriptor_);
  id_ = socket_poller::local().add(descriptor_, *this);
}

stream_socket::stream_socket(const endpoint& peer)
    : descriptor_(start_connect(peer)), state_(state::connecting) {
  id_ = socket_poller::local().add(descriptor_, *this);
}

stream_socket::~stream_socket() { abort(); }

void stream_socket::on(handler on_readable, handler on_closed,
                       handler on_connected) {
  on_readable_ = std::move(on_readable);
  on_closed_ = std::move(on_closed);
  on_connected_ = std::move(on_connected);
}

// Receives into one buffer per thread: a large buffer for each connection, even
// a short-lived one, fragments the heap. Returns nothing if no byte is left.
std::span<const char> stream_socket::receive(std::size_t limit) {
  thread_local std::array<char, read_chunk_bytes> chunk;
  if (state_ != state::connected) return {};
  auto received =
      recv(descriptor_, chunk.data(), std::min(chunk.size(), limit), 0);
  if (received > 0) return {chunk.data(), static_cast<std::size_t>(received)};
  bool would_block = received < 0 && (errno == EAGAIN || errno == EINTR);
  peer_closed_ = peer_closed_ || !would_block;
  return {};
}

void stream_socket::read(std::string& buffer, std::size_t limit) {
  while (buffer.size() < limit) {
    auto chunk_limit = std::min(read_chunk_bytes, limit - buffer.size());
    auto received = receive(chunk_limit);
    buffer.append(received.data(), received.size());
    if (received.size() < chunk_limit) return;
  }
}

void stream_socket::discard() {
  for (int i = 0; i < max_discarded_chunks; ++i) {
    if (receive(read_chunk_bytes).empty()) return;
  }
}

void stream_socket::write(std::string_view bytes) {
  if (state_ == state::ended) return;
  if (state_ == state::connecting || !output_.empty()) {
    output_ += bytes;
    return;
  }
  auto sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  auto sent_bytes = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
  if (sent_bytes < bytes.size()) output_ += bytes.substr(sent_bytes);
}

void stream_socket::finish() {
  finish_requested_ = true;
  if (output_.empty() && state_ == state::connected) {
    shutdown(descriptor_, SHUT_WR);
  }
}

std::size_t stream_socket::undelivered() const {
  if (state_ == state::ended) return 0;
  bool end_sent = finish_requested_ && output_.empty();
  return output_.size() + unacknowledged_bytes(descriptor_, end_sent);
}

void stream_socket::abort() {
  if (state_ == state::ended) return;
  state_ = state::ended;
  socket_poller::local().remove(id_, descriptor_);
  close(descriptor_);
}

void stream_socket::handle_events(std::uint32_t events) {
  auto id = id_;
  auto& poller = socket_poller::local();
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) hung_up_ = true;
  if (state_ == state::connecting) {
    if (hung_up_) return handle_close();
    if ((events & EPOLLOUT) == 0) return;
    handle_connected();
    if (!poller.contains(id)) return;
  }
  if ((events & EPOLLOUT) != 0) flush();
  if ((events & (EPOLLIN | EPOLLRDHUP)) != 0 && on_readable_) {
    on_readable_();
    if (!poller.contains(id)) return;
  }
  if (hung_up_ || peer_closed_ || (events & EPOLLRDHUP) != 0) handle_close();
}

void stream_socket::handle_connected() {
  state_ = state::connected;
  was_connected_ = true;
  if (on_connected_) on_connected_();
}

void stream_socket::flush() {
  if (output_.empty()) return;
  auto sent = send(descriptor_, output_.data(), output_.size(), MSG_NOSIGNAL);
  output_.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
  if (!output_.empty()) return;
  output_ = std::string();
  if (finish_requested_) shutdown(descriptor_, SHUT_WR);
}

void stream_socket::handle_close() {
  abort();
  // The handler may destroy this socket, which owns the handler.
  if (auto on_closed = std::exchange(on_closed_, nullptr)) on_closed();
}

}  // namespace toucanmux
