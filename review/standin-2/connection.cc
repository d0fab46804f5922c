#include "connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

sockaddr_in to_sockaddr(const address& from) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(from.port);
  inet_pton(AF_INET, from.ip.c_str(), &out.sin_addr);
  return out;
}

bool bind_to(int descriptor, const address& to) {
  auto target = to_sockaddr(to);
  int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  return bind(descriptor, reinterpret_cast<sockaddr*>(&target),
              sizeof(target)) == 0;
}

int poll_timeout(std::optional<clock::time_point> deadline) {
  if (!deadline) return -1;
  auto left = std::chrono::ceil<milliseconds>(*deadline - clock::now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

}  // namespace

connection::~connection() { close(descriptor_); }

std::unique_ptr<connection> connection::open(const address& to,
                                             milliseconds timeout) {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return nullptr;
  int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  timeval limit{};
  limit.tv_sec = timeout.count() / 1000;
  limit.tv_usec = timeout.count() % 1000 * 1000;
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  auto target = to_sockaddr(to);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&target),
              sizeof(target)) != 0) {
    close(descriptor);
    return nullptr;
  }
  return std::make_unique<connection>(descriptor);
}

bool connection::receive(std::optional<clock::time_point> deadline) {
  pollfd waited{descriptor_, POLLIN, 0};
  if (poll(&waited, 1, poll_timeout(deadline)) <= 0) return false;
  std::array<char, 16384> bytes;  // NOLINT: filled by recv
  auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) return false;
  input_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> connection::read_line(
    std::optional<milliseconds> timeout) {
  std::optional<clock::time_point> deadline;
  if (timeout) deadline = clock::now() + *timeout;
  std::size_t searched = 0;
  for (;;) {
    auto end = input_.find("\r\n", searched);
    if (end != std::string::npos) {
      auto line = input_.substr(0, end);
      input_.erase(0, end + 2);
      return line;
    }
    searched = input_.empty() ? 0 : input_.size() - 1;
    if (!receive(deadline)) return {};
  }
}

bool connection::wait_for_input(milliseconds timeout) {
  pollfd waited{descriptor_, POLLIN, 0};
  return poll(&waited, 1, static_cast<int>(timeout.count())) > 0;
}

std::optional<std::string> connection::read_bytes(std::size_t size) {
  while (input_.size() < size) {
    if (!receive({})) return {};
  }
  auto out = input_.substr(0, size);
  input_.erase(0, size);
  return out;
}

bool connection::write(std::string_view bytes) {
  while (!bytes.empty()) {
    auto count = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool connection::is_closed() const {
  char next = 0;
  auto count = recv(descriptor_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void connection::shut_down() { shutdown(descriptor_, SHUT_RDWR); }

tcp_server::tcp_server(const std::string& ip, handler serve)
    : serve_(std::move(serve)), where_{ip, 0} {
  listen_at(0);
}

void tcp_server::listen_at(std::uint16_t port) {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0 || !bind_to(descriptor, {where_.ip, port}) ||
      listen(descriptor, 256) != 0)
    throw std::runtime_error("can't listen on " + where_.ip);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
  where_.port = ntohs(bound.sin_port);
  {
    std::lock_guard lock(mutex_);
    descriptor_ = descriptor;
  }
  std::thread([this, descriptor] { accept_loop(descriptor); }).detach();
}

void tcp_server::accept_loop(int descriptor) {
  for (;;) {
    int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
    if (accepted < 0) break;
    int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto one = std::make_shared<connection>(accepted);
    {
      std::lock_guard lock(mutex_);
      if (descriptor_ != descriptor) break;
      open_.insert(one);
    }
    std::thread([this, one] { serve_one(one); }).detach();
  }
  close(descriptor);
}

void tcp_server::serve_one(const connection_ptr& accepted) {
  serve_(accepted);
  accepted->shut_down();
  std::lock_guard lock(mutex_);
  open_.erase(accepted);
}

void tcp_server::stop() {
  std::lock_guard lock(mutex_);
  if (descriptor_ < 0) return;
  // Wakes the accepting thread, which closes the descriptor.
  shutdown(descriptor_, SHUT_RDWR);
  descriptor_ = -1;
  for (const auto& each : open_) each->shut_down();
}

void tcp_server::restart() { listen_at(where_.port); }

std::uint16_t free_port_pair(const std::string& ip) {
  for (int attempt = 0; attempt < 100; ++attempt) {
    int first = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int second = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bind_to(first, {ip, 0});
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(first, reinterpret_cast<sockaddr*>(&bound), &size);
    auto port = ntohs(bound.sin_port);
    bool has_next = port < 65535;
    bool free =
        has_next && bind_to(second, {ip, static_cast<std::uint16_t>(port + 1)});
    close(first);
    close(second);
    if (free) return port;
  }
  throw std::runtime_error("no two free ports on " + ip);
}

}  // namespace review
