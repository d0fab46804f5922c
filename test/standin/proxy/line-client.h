#pragma once

#include <string>
#include <vector>

#include "proxy/tcp-stream.h"

namespace toucanmux::standin {

/// A test client of the line protocol, on the loop of the test.
class line_client final : public stream_owner {
 public:
  line_client(event_loop& loop, const inet_address& server)
      : loop_(loop), stream_(loop, *this) {
    closed_ = !stream_.connect(server);
  }

  void send(const std::string& line) {
    unsent_ += line + "\r\n";
    if (stream_.open()) on_open();
  }
  /// Turns the loop until an answer is complete or the session has ended.
  /// @return the answer's lines, joined by `|`.
  std::string read_answer() {
    while (!closed_ && !complete()) loop_.turn(std::chrono::milliseconds(20));
    std::string out;
    while (!lines_.empty()) {
      auto line = lines_.front();
      lines_.erase(lines_.begin());
      out += out.empty() ? line : '|' + line;
      if (line.substr(0, 5) == "READY") break;
    }
    return out;
  }
  std::string request(const std::string& line) {
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
    stream_.send(unsent_);
    unsent_.clear();
  }
  void on_input() override {
    std::string& input = stream_.input();
    for (auto line_end = input.find("\r\n"); line_end != std::string::npos;
         line_end = input.find("\r\n")) {
      lines_.push_back(input.substr(0, line_end));
      input.erase(0, line_end + 2);
    }
  }
  void on_closed() override { closed_ = true; }

 private:
  bool complete() const {
    for (const auto& line : lines_) {
      if (line.substr(0, 5) == "READY") return true;
    }
    return false;
  }

  event_loop& loop_;
  tcp_stream stream_;
  std::string unsent_;
  std::vector<std::string> lines_;
  bool closed_ = false;
};

}  // namespace toucanmux::standin
