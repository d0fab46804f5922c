#include "connection/socket-poller.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <array>

#include "connection/stream-socket.h"

namespace toucanmux {

namespace {

constexpr int max_events_per_poll = 256;

}  // namespace

socket_poller& socket_poller::local() {
  thread_local socket_poller poller;
  return poller;
}

socket_poller::socket_poller()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      notifier_(
          std::make_unique<QSocketNotifier>(epoll_, QSocketNotifier::Read)) {
  QObject::connect(notifier_.get(), &QSocketNotifier::activated,
                   [this] { poll(); });
}

socket_poller::~socket_poller() {
  notifier_.reset();
  close(epoll_);
}

std::uint64_t socket_poller::add(int descriptor, stream_socket& owner) {
  auto id = ++last_id_;
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = id;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
  sockets_.emplace(id, &owner);
  return id;
}

void socket_poller::remove(std::uint64_t id, int descriptor) {
  sockets_.erase(id);
  epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void socket_poller::poll() {
  std::array<epoll_event, max_events_per_poll> events{};
  int count = epoll_wait(epoll_, events.data(), max_events_per_poll, 0);
  for (int i = 0; i < count; ++i) {
    // A handler called earlier in this loop may have removed the socket.
    auto it = sockets_.find(events[i].data.u64);
    if (it != sockets_.end()) it->second->handle_events(events[i].events);
  }
}

}  // namespace toucanmux
