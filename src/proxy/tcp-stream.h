#pragma once

#include <string>
#include <string_view>

#include "proxy/event-loop.h"
#include "toucanmux/proxy/inet-address.h"

namespace toucanmux {

/// Handles the events of a `tcp_stream`. A handler must not destroy the stream.
class stream_owner {
 public:
  virtual ~stream_owner() = default;
  /// The connection is established; not called after `adopt`.
  virtual void on_open() {}
  /// New bytes were appended to `input()`; the owner removes those it consumed.
  virtual void on_input() = 0;
  /// Queued bytes were passed to the system.
  virtual void on_sent() {}
  /// The connection has ended: the peer closed it, it failed, or `finish` is
  /// complete. Called at most once per connection.
  virtual void on_closed() = 0;
};

/// A non-blocking TCP connection of one event loop.
class tcp_stream final : public descriptor_handler, public turn_end_hook {
 public:
  tcp_stream(event_loop& loop, stream_owner& owner)
      : loop_(loop),
        owner_(owner),
        close_timer_([this] { handle_disconnect(); }) {}
  ~tcp_stream() override { close(); }
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream(tcp_stream&&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;
  tcp_stream& operator=(tcp_stream&&) = delete;

  /// Takes ownership of an accepted socket.
  /// @param reads_late the peer may read its answers seconds later.
  void adopt(int descriptor, bool reads_late = false);
  /// Starts to connect; `on_open` or `on_closed` is called later.
  /// @return false if the attempt failed at once; nothing is called then.
  bool connect(const inet_address& to);
  /// Queues bytes, which are sent at the end of the turn.
  void send(std::string_view bytes);
  /// The bytes queued for sending. Call `schedule_flush` after appending to
  /// them.
  std::string& output() { return output_; }
  std::string_view unsent() const { return output_; }
  /// The number of sent bytes that the peer's system has not acknowledged.
  std::size_t unacknowledged() const;
  /// The number of queued bytes that were discarded when the connection failed
  /// or the peer closed it.
  std::size_t discarded() const { return discarded_; }
  void schedule_flush();
  /// The bytes received and not yet consumed.
  std::string& input() { return input_; }
  std::string_view unread() const { return input_; }
  /// Leaves what arrives in the system's buffer, so that the peer has to wait.
  void pause_input(bool paused);
  /// Receives what has arrived since the last event.
  /// @return false if more may have arrived than is received at once.
  bool poll_input();
  /// Sends the queued bytes and the end of the stream, then discards input
  /// until the peer closes the connection too, for at most a second. The owner
  /// keeps the stream until `on_closed`.
  void finish();
  /// Closes the connection now, without calling `on_closed`.
  void close();

  bool open() const { return descriptor_ >= 0 && connected_; }
  bool closed() const { return descriptor_ < 0; }

  void on_ready(std::uint32_t events) override;
  void on_turn_end() override { flush(); }

 private:
  void finish_connect();
  void send_end();
  bool receive();
  void flush();
  void watch_writable(bool on);
  void handle_disconnect();

  event_loop& loop_;
  stream_owner& owner_;
  int descriptor_ = -1;
  bool connected_ = false;
  bool watching_writable_ = false;
  bool input_paused_ = false;
  bool finishing_ = false;
  std::size_t discarded_ = 0;
  timer close_timer_;
  std::string input_;
  std::string output_;
};

/// Opens an unconnected, non-blocking socket with the options of all
/// connections of this program.
/// @return -1 if no socket can be opened.
int open_tcp_socket();

}  // namespace toucanmux
