#pragma once

#include <QSocketNotifier>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace toucanmux {

class stream_socket;

/// Polls all sockets of one thread with one epoll descriptor, which the event
/// loop watches. The cost of an event loop iteration depends on the number of
/// ready sockets, not of open ones.
class socket_poller {
 public:
  /// Returns the calling thread's poller. The thread needs a Qt event loop.
  static socket_poller& local();

  socket_poller();
  ~socket_poller();
  Q_DISABLE_COPY_MOVE(socket_poller)

  /// Watches a socket, edge-triggered, until `remove`.
  /// @return an id that this poller never reuses.
  std::uint64_t add(int descriptor, stream_socket& owner);
  void remove(std::uint64_t id, int descriptor);
  /// True until the socket with that id is removed.
  bool contains(std::uint64_t id) const { return sockets_.contains(id); }

 private:
  void poll();

  int epoll_;
  std::unordered_map<std::uint64_t, stream_socket*> sockets_;
  std::uint64_t last_id_ = 0;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace toucanmux
