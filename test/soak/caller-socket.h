#pragma once

#include <string>
#include <string_view>

#include "proxy/tcp-stream.h"

namespace toucanmux::soak {

/// A caller's connection. It reports its end only after everything received
/// was read, so that no complete answer is taken for a cut one.
class caller_socket final : public descriptor_handler {
 public:
  caller_socket(event_loop& loop, stream_owner& owner);
  ~caller_socket() override { close(); }
  caller_socket(const caller_socket&) = delete;
  caller_socket(caller_socket&&) = delete;
  caller_socket& operator=(const caller_socket&) = delete;
  caller_socket& operator=(caller_socket&&) = delete;

  /// @param reads_slowly uses a small receive buffer, with pauses between the
  /// parts of a long answer.
  /// @return false if the attempt failed at once; no callback follows then.
  bool connect(const inet_address& to, bool reads_slowly);
  /// @return false if the kernel did not accept all bytes.
  bool send(std::string_view bytes) const;
  std::string& input() { return input_; }
  /// Closes the connection without calling `on_closed`.
  void close();
  bool closed() const { return descriptor_ < 0; }

  void on_ready(std::uint32_t ready_events) override;

 private:
  void finish_connect();
  void receive();
  void pause();
  void end();

  event_loop& loop_;
  stream_owner& owner_;
  timer pause_timer_;
  int descriptor_ = -1;
  bool connected_ = false;
  bool reads_slowly_ = false;
  std::string input_;
};

}  // namespace toucanmux::soak
