#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// An IPv4 address on the loopback network with a port.
struct address {
  std::string ip;
  std::uint16_t port = 0;

  std::string text() const { return ip + ':' + std::to_string(port); }
};

/// A blocking TCP connection that reads lines ending in CR LF.
class connection {
 public:
  explicit connection(int descriptor) : descriptor_(descriptor) {}
  ~connection();
  connection(const connection&) = delete;
  connection(connection&&) = delete;
  connection& operator=(const connection&) = delete;
  connection& operator=(connection&&) = delete;

  /// Connects; null if the connection is refused or takes too long.
  static std::unique_ptr<connection> open(const address& to,
                                          milliseconds timeout);

  /// Reads one line without its end; nothing at the end of the connection or
  /// after the timeout, if there is one.
  std::optional<std::string> read_line(
      std::optional<milliseconds> timeout = {});
  /// Whether something or the end of the connection arrives in time.
  bool wait_for_input(milliseconds timeout);
  /// Reads exactly `size` bytes; nothing at the end of the connection.
  std::optional<std::string> read_bytes(std::size_t size);
  /// Returns false if the connection is broken.
  bool write(std::string_view bytes);
  /// Whether the other end has closed the connection and sent nothing more.
  bool is_closed() const;
  /// Ends both directions; a thread that reads or writes is woken.
  void shut_down();

 private:
  bool receive(std::optional<clock::time_point> deadline);

  int descriptor_;
  std::string input_;
};

using connection_ptr = std::shared_ptr<connection>;

/// Accepts connections and serves each one in a thread of its own. The threads
/// live until the process ends.
class tcp_server {
 public:
  using handler = std::function<void(const connection_ptr&)>;

  /// Binds a free port of `ip`.
  tcp_server(const std::string& ip, handler serve);

  const address& where() const { return where_; }
  /// Ends all connections and refuses new ones, as a crashed process does.
  void stop();
  /// Accepts connections again at the same address.
  void restart();

 private:
  void listen_at(std::uint16_t port);
  void accept_loop(int descriptor);
  void serve_one(const connection_ptr& accepted);

  handler serve_;
  address where_;
  std::mutex mutex_;
  int descriptor_ = -1;
  std::set<connection_ptr> open_;
};

/// A free TCP port of `ip` whose successor is free, too.
std::uint16_t free_port_pair(const std::string& ip);

}  // namespace review
