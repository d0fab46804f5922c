#pragma once

#include <QtGlobal>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "process/control-bus.h"

namespace toucanmux {

/// A non-blocking TCP connection that holds no buffer while it is idle. Used by
/// one thread. Handlers are called from the event loop and may destroy the
/// socket.
class stream_socket {
 public:
  using handler = std::function<void()>;

  /// Takes over an accepted socket.
  explicit stream_socket(int descriptor);
  /// Starts to connect.
  explicit stream_socket(const endpoint& peer);
  ~stream_socket();
  Q_DISABLE_COPY_MOVE(stream_socket)

  /// @param on_readable called when bytes arrive. Unread bytes alone cause no
  /// further call.
  /// @param on_closed called once when the connection has ended.
  /// @param on_connected called once when a new connection is established.
  void on(handler on_readable, handler on_closed, handler on_connected = {});

  /// Appends received bytes to `buffer` until it holds `limit` bytes.
  void read(std::string& buffer, std::size_t limit);
  /// Drops received bytes. Unread ones would reset the connection when it is
  /// closed.
  void discard();
  /// Sends as many bytes as the connection accepts now and queues the rest.
  void write(std::string_view bytes);
  /// Shuts down the sending side once all queued bytes are sent.
  void finish();
  /// Closes the connection now; `on_closed` is not called.
  void abort();

  /// True if written bytes wait in this process.
  bool has_unsent() const { return !output_.empty(); }
  /// The number of written bytes that the peer has not acknowledged.
  std::size_t undelivered() const;
  bool connected() const { return state_ == state::connected; }
  /// True if the connection was ever established. If not, no byte was sent.
  bool was_connected() const { return was_connected_; }

 private:
  friend class socket_poller;
  enum class state : std::uint8_t { connecting, connected, ended };

  std::span<const char> receive(std::size_t limit);
  void handle_events(std::uint32_t events);
  void handle_connected();
  void flush();
  void handle_close();

  int descriptor_;
  std::uint64_t id_ = 0;
  state state_;
  bool was_connected_ = false;
  bool finish_requested_ = false;
  bool peer_closed_ = false;
  bool hung_up_ = false;
  std::string output_;
  handler on_readable_;
  handler on_closed_;
  handler on_connected_;
};

}  // namespace toucanmux
