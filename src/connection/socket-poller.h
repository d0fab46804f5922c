#pragma once

#include <QSocketNotifier>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace toucanmux {

class stream_socket;

/// The sockets of one thread behind one descriptor of the event loop, so that
/// a turn of the loop costs what is ready and not what is open.
class socket_poller {
 public:
  /// The calling thread's poller; it needs a Qt event loop.
  static socket_poller& local();

  socket_poller();
  ~socket_poller();
  Q_DISABLE_COPY_MOVE(socket_poller)

  /// Watches a socket edge-triggered until it is removed.
  /// @return an id that is never used twice.
  std::uint64_t add(int descriptor, stream_socket& owner);
  void remove(std::uint64_t id, int descriptor);
  /// False once the socket of that id was removed.
  bool contains(std::uint64_t id) const { return sockets_.contains(id); }

 private:
  void poll();

  int epoll_;
  std::unordered_map<std::uint64_t, stream_socket*> sockets_;
  std::uint64_t last_id_ = 0;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace toucanmux
