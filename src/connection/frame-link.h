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

/// A TCP link between two processes of the fleet. Each frame holds a length, a
/// version, a logical timestamp and a `link_message`. Used by one thread.
class frame_link {
 public:
  using message_handler = std::function<void(link_message&&)>;
  using close_handler = std::function<void()>;

  /// Takes over an accepted socket.
  explicit frame_link(int descriptor);
  /// Starts to connect. Messages sent earlier are queued until the connection
  /// is established.
  explicit frame_link(const endpoint& peer);
  ~frame_link();
  Q_DISABLE_COPY_MOVE(frame_link)

  /// Sets the handlers. Neither is called after the link is destroyed;
  /// `on_closed` is called once, from the event loop.
  void on(message_handler on_message, close_handler on_closed);
  void send(const link_message& message);
  /// True from the time the connection is established until it ends.
  bool connected() const { return socket_.connected(); }
  /// True if the connection was ever established. If not, no byte was sent.
  bool was_connected() const { return socket_.was_connected(); }
  /// True if messages, or a part of one, wait in this process.
  bool has_unsent() const { return socket_.has_unsent(); }
  /// The number of bytes that the peer has not acknowledged.
  std::size_t undelivered() const { return socket_.undelivered(); }
  /// Closes the connection at once; `on_closed` is called afterwards.
  void abort();

 private:
  void attach();
  void handle_readable();
  std::size_t handle_frame(std::span<const char> bytes);
  void fail(const std::string& error);
  void handle_close();

  // Receiver of posted calls: destroying it cancels the pending ones.
  QObject context_;
  stream_socket socket_;
  message_handler on_message_;
  close_handler on_closed_;
  std::string input_;
  bool ended_ = false;
};

}  // namespace toucanmux
