#pragma once

#include <QObject>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "connection/stream-socket.h"
#include "process/control-bus.h"
#include "toucanmux/connection/link-message.h"

namespace toucanmux {

/// A TCP link between two processes of the fleet: frames of a length, a
/// version, a clock stamp and a `link_message`. Lives on one thread.
class frame_link {
 public:
  using message_handler = std::function<void(link_message&&)>;
  using close_handler = std::function<void()>;

  /// Takes over an accepted socket.
  explicit frame_link(int descriptor);
  /// Starts to connect; messages sent before are kept until it stands.
  explicit frame_link(const endpoint& peer);
  ~frame_link();
  Q_DISABLE_COPY_MOVE(frame_link)

  /// Neither handler is called after the link is destroyed. `closed` is called
  /// once, from the event loop.
  void on(message_handler on_message, close_handler on_closed);
  void send(const link_message& message);
  /// True from the moment that the connection stands until it ends.
  bool connected() const { return socket_.connected(); }
  /// True if the connection ever stood: before that, no byte has left.
  bool was_connected() const { return socket_.was_connected(); }
  /// Drops the connection; `closed` follows.
  void abort();

 private:
  void attach();
  void receive();
  std::size_t handle_frame(std::span<const char> bytes);
  void fail(const std::string& error);
  void handle_close();

  // What is posted to it ends with this object.
  QObject context_;
  stream_socket socket_;
  message_handler on_message_;
  close_handler on_closed_;
  std::string input_;
  bool ended_ = false;
};

}  // namespace toucanmux
