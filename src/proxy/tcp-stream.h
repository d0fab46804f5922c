#pragma once

#include <string>
#include <string_view>

#include "proxy/event-loop.h"
#include "toucanmux/proxy/inet-address.h"

namespace toucanmux {

/// Takes what happens on a `tcp_stream`. It may not destroy the stream.
class stream_owner {
 public:
  virtual ~stream_owner() = default;
  virtual void on_open() {}
  /// New bytes stand in `input()`; the owner removes what it has used.
  virtual void on_input() = 0;
  /// The peer has ended the connection, or it broke. Called once.
  virtual void on_closed() = 0;
};

/// A non-blocking TCP connection of one event loop.
class tcp_stream final : public descriptor_handler, public turn_end_hook {
 public:
  tcp_stream(event_loop& loop, stream_owner& owner)
      : loop_(loop), owner_(owner) {}
  ~tcp_stream() override { close(); }
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream(tcp_stream&&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;
  tcp_stream& operator=(tcp_stream&&) = delete;

  /// Takes over an accepted socket.
  void adopt(int descriptor);
  /// Starts to connect; `on_open` or `on_closed` follows.
  /// @return false if it can't even be tried; nothing follows then.
  bool connect(const inet_address& to);
  /// Sends at the end of the turn.
  void send(std::string_view bytes);
  /// Bytes that wait to be sent, to append to; call `touch` afterwards.
  std::string& output() { return output_; }
  void schedule_flush();
  std::string& input() { return input_; }
  /// Ends the connection once all is sent.
  void finish();
  /// Ends it now; `on_closed` is not called.
  void close();

  bool open() const { return descriptor_ >= 0 && connected_; }
  bool closed() const { return descriptor_ < 0; }

  void on_ready(std::uint32_t events) override;
  void on_turn_end() override { flush(); }

 private:
  void finish_connect();
  void receive();
  void flush();
  void watch_writable(bool on);
  void handle_disconnect();

  event_loop& loop_;
  stream_owner& owner_;
  int descriptor_ = -1;
  bool connected_ = false;
  bool watching_writable_ = false;
  bool finishing_ = false;
  std::string input_;
  std::string output_;
};

/// An unconnected, non-blocking socket with the options that all of this
/// program's connections have; -1 if there is none to be had.
int open_tcp_socket();

}  // namespace toucanmux
