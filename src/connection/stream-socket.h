#pragma once

#include <QtGlobal>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "process/control-bus.h"

namespace toucanmux {

/// A non-blocking TCP connection that holds no buffer while it is idle. Lives
/// on one thread. Handlers come from the event loop and may destroy it.
class stream_socket {
 public:
  using handler = std::function<void()>;

  /// Takes over an accepted socket.
  explicit stream_socket(int descriptor);
  /// Starts to connect.
  explicit stream_socket(const endpoint& peer);
  ~stream_socket();
  Q_DISABLE_COPY_MOVE(stream_socket)

  /// @param readable more can be read; called again only for newer bytes.
  /// @param closed the connection has ended; called once.
  void on(handler on_readable, handler on_closed, handler on_connected = {});

  /// Appends what has come, up to `limit` bytes in all.
  void read(std::string& buffer, std::size_t limit);
  /// Sends now what the connection takes and the rest when it takes more.
  void write(std::string_view bytes);
  /// Ends the connection once all is sent.
  void finish();
  /// Ends the connection now; `closed` is not called.
  void abort();

  bool connected() const { return state_ == state::connected; }
  /// True if the connection ever stood: before that, no byte has left.
  bool was_connected() const { return was_connected_; }

 private:
  friend class socket_poller;
  enum class state : std::uint8_t { connecting, connected, ended };

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
