#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Milliseconds of the steady clock since the first call.
inline double now_ms() {
  using clock = std::chrono::steady_clock;
  static const auto start = clock::now();
  return std::chrono::duration<double, std::milli>(clock::now() - start)
      .count();
}

/// A TCP connection whose input is handled line by line or as a whole.
struct connection {
  int descriptor = -1;
  std::string input;
  std::string output;
  bool finishing = false;  ///< Closes when the output is written.
  std::function<void()> on_input;
  std::function<void()> on_closed;

  bool closed() const { return descriptor < 0; }
  void close() {
    if (descriptor >= 0) ::close(descriptor);
    descriptor = -1;
  }
};

using connection_ptr = std::shared_ptr<connection>;

inline sockaddr_in make_address(const std::string& ip, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

/// A single-threaded event loop over poll().
class loop {
 public:
  void call_in(double ms, std::function<void()> callback) {
    timers_.emplace(now_ms() + ms, std::move(callback));
  }

  /// Listens on a free port of the address and returns that port.
  std::uint16_t listen(const std::string& ip,
                       std::function<void(connection_ptr)> on_accept) {
    int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto address = make_address(ip, 0);
    if (descriptor < 0 ||
        bind(descriptor, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        ::listen(descriptor, 256) != 0)
      throw std::runtime_error("can't listen on " + ip);
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    listeners_.push_back({descriptor, std::move(on_accept)});
    return ntohs(address.sin_port);
  }

  /// Starts to connect; `on_closed` follows if that fails.
  connection_ptr connect(const std::string& ip, std::uint16_t port) {
    auto out = std::make_shared<connection>();
    out->descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    set_no_delay(out->descriptor);
    auto address = make_address(ip, port);
    ::connect(out->descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address));
    connections_.push_back(out);
    return out;
  }

  void run_until(double end_ms) {
    while (now_ms() < end_ms) turn(end_ms);
  }
  void run_for(double ms) { run_until(now_ms() + ms); }

 private:
  struct listener {
    int descriptor;
    std::function<void(connection_ptr)> on_accept;
  };

  static void set_no_delay(int descriptor) {
    int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }

  void turn(double end_ms) {
    while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
      auto callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
    std::erase_if(connections_,
                  [](const auto& each) { return each->closed(); });
    auto current = connections_;
    std::vector<pollfd> polled;
    for (const auto& each : listeners_)
      polled.push_back({each.descriptor, POLLIN, 0});
    for (const auto& each : current) {
      short events = POLLIN;
      if (!each->output.empty() || each->finishing) events |= POLLOUT;
      polled.push_back({each->descriptor, events, 0});
    }
    double next = end_ms;
    if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
    int wait = static_cast<int>(std::max(0.0, next - now_ms())) + 1;
    if (poll(polled.data(), polled.size(), std::min(wait, 50)) <= 0) return;
    for (std::size_t i = 0; i < listeners_.size(); ++i) {
      if (polled[i].revents != 0) accept_all(listeners_[i]);
    }
    for (std::size_t i = 0; i < current.size(); ++i) {
      auto events = polled[listeners_.size() + i].revents;
      if (events != 0 && !current[i]->closed()) handle(*current[i], events);
    }
  }

  void accept_all(const listener& from) {
    for (;;) {
      int descriptor = accept4(from.descriptor, nullptr, nullptr,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) return;
      set_no_delay(descriptor);
      auto accepted = std::make_shared<connection>();
      accepted->descriptor = descriptor;
      connections_.push_back(accepted);
      from.on_accept(accepted);
    }
  }

  static void handle(connection& target, short events) {
    if ((events & POLLOUT) != 0) {
      if (!target.output.empty()) {
        auto count = send(target.descriptor, target.output.data(),
                          target.output.size(), MSG_NOSIGNAL);
        if (count > 0) target.output.erase(0, static_cast<std::size_t>(count));
        if (count < 0 && errno != EAGAIN) return end(target);
      }
      if (target.output.empty() && target.finishing) return target.close();
    }
    if ((events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char bytes[65536];
    auto count = recv(target.descriptor, bytes, sizeof(bytes), 0);
    if (count < 0 && errno == EAGAIN) return;
    if (count <= 0) return end(target);
    target.input.append(bytes, static_cast<std::size_t>(count));
    if (target.on_input) target.on_input();
  }

  static void end(connection& target) {
    target.close();
    if (target.on_closed) target.on_closed();
  }

  std::multimap<double, std::function<void()>> timers_;
  std::vector<listener> listeners_;
  std::vector<connection_ptr> connections_;
};

/// Removes the next line from the input; false if there is none.
inline bool next_line(connection& from, std::string& line) {
  auto end = from.input.find("\r\n");
  if (end == std::string::npos) return false;
  line = from.input.substr(0, end);
  from.input.erase(0, end + 2);
  return true;
}

/// Removes the next word from the text.
inline std::string pop_word(std::string& rest) {
  auto end = rest.find(' ');
  auto word = rest.substr(0, end);
  rest.erase(0, end == std::string::npos ? rest.size() : end + 1);
  return word;
}

}  // namespace review
