#pragma once

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>

#include "proxy/socket-address.h"

namespace toucanmux::standin {

/// A caller apart from the loop that reads only when told to, through a small
/// receive buffer.
class slow_caller {
 public:
  explicit slow_caller(const inet_address& server)
      : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    int size = 4096;
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    auto address = to_sockaddr(server);
    [[maybe_unused]] auto result = ::connect(
        descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    fcntl(descriptor_, F_SETFL, O_NONBLOCK);
  }
  ~slow_caller() { close(descriptor_); }
  slow_caller(const slow_caller&) = delete;
  slow_caller(slow_caller&&) = delete;
  slow_caller& operator=(const slow_caller&) = delete;
  slow_caller& operator=(slow_caller&&) = delete;

  /// Sends what the connection takes of the queued lines.
  void send(const std::string& line = {}) {
    if (!line.empty()) unsent_ += line + "\r\n";
    auto count =
        ::send(descriptor_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (count > 0) unsent_.erase(0, static_cast<std::size_t>(count));
  }
  bool all_sent() const { return unsent_.empty(); }
  /// Reads what has arrived.
  void receive() {
    std::array<char, 65'536> bytes;  // NOLINT: filled by recv
    for (;;) {
      auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
      ended_ = ended_ || count == 0;
      reset_ = reset_ || (count < 0 && errno != EAGAIN);
      if (count <= 0) return;
      received_.append(bytes.data(), static_cast<std::size_t>(count));
    }
  }
  const std::string& received() const { return received_; }
  /// The number of complete answers so far, with that to CONNECT.
  unsigned answers() const {
    unsigned count = 0;
    for (auto at = received_.find("\r\nREADY "); at != std::string::npos;
         at = received_.find("\r\nREADY ", at + 1))
      ++count;
    return count + (received_.starts_with("READY ") ? 1U : 0U);
  }
  bool ended() const { return ended_; }
  bool was_reset() const { return reset_; }

 private:
  int descriptor_;
  std::string unsent_;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

}  // namespace toucanmux::standin
