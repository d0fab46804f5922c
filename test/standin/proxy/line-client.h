#pragma once

#include <string>
#include <vector>

#include "proxy/tcp-stream.h"

namespace toucanmux::standin {

/// A caller that speaks the users' line protocol, on the loop of the test.
class line_client final : public stream_owner {
 public:
  line_client(event_loop& loop, const inet_address& to)
      : loop_(loop), stream_(loop, *this) {
    stream_.connect(to);
  }

  void send(const std::string& line) {
    waiting_ += line + "\r\n";
    if (stream_.open()) on_open();
  }
  /// Turns the loop until the answer is whole, or the session has ended.
  /// @return its lines, joined by `|`.
  std::string read_answer() {
    while (!closed_ && !whole()) loop_.turn(std::chrono::milliseconds(20));
    std::string out;
    while (!lines_.empty()) {
      auto line = lines_.front();
      lines_.erase(lines_.begin());
      out += out.empty() ? line : '|' + line;
      if (line.substr(0, 5) == "READY") break;
    }
    return out;
  }
  std::string ask(const std::string& line) {
    send(line);
    return read_answer();
  }
  bool closed() const { return closed_; }
  std::string first_line() const {
    return lines_.empty() ? std::string() : lines_.front();
  }
  bool has_received() const { return !lines_.empty(); }
  void close() { stream_.close(); }

  void on_open() override {
    stream_.send(waiting_);
    waiting_.clear();
  }
  void on_input() override {
    std::string& input = stream_.input();
    for (auto stop = input.find("\r\n"); stop != std::string::npos;
         stop = input.find("\r\n")) {
      lines_.push_back(input.substr(0, stop));
      input.erase(0, stop + 2);
    }
  }
  void on_closed() override { closed_ = true; }

 private:
  bool whole() const {
    for (const auto& line : lines_) {
      if (line.substr(0, 5) == "READY") return true;
    }
    return false;
  }

  event_loop& loop_;
  tcp_stream stream_;
  std::string waiting_;
  std::vector<std::string> lines_;
  bool closed_ = false;
};

}  // namespace toucanmux::standin
