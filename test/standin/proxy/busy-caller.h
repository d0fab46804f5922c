#pragma once

#include <string>

#include "proxy/tcp-stream.h"

namespace toucanmux::standin {

/// A caller that sends the next statement as soon as one is answered: single
/// reads, or one transaction without an end. It closes its session after an
/// error outside of a transaction.
class busy_caller final : public stream_owner {
 public:
  busy_caller(event_loop& loop, const inet_address& server, bool transaction)
      : stream_(loop, *this), transaction_(transaction) {
    closed_ = !stream_.connect(server);
  }

  unsigned answered() const { return answered_; }
  bool closed() const { return closed_; }
  /// The session has ended without the answer to a statement.
  bool cut_off() const { return closed_ && outstanding_; }

  void on_open() override { stream_.send("CONNECT orders key-1\r\n"); }
  void on_input() override {
    std::string& input = stream_.input();
    for (auto end = input.find("\r\n"); end != std::string::npos && !closed_;
         end = input.find("\r\n")) {
      auto line = input.substr(0, end);
      input.erase(0, end + 2);
      failed_ = failed_ || line.starts_with("ERR");
      if (line.starts_with("READY")) handle_ready(line[6]);
    }
  }
  void on_closed() override { closed_ = true; }

 private:
  void handle_ready(char state) {
    if (outstanding_) ++answered_;
    outstanding_ = false;
    if (failed_ && state == 'I') return close();
    std::string text = failed_                        ? "ROLLBACK"
                       : transaction_ && state == 'I' ? "BEGIN"
                                                      : "FETCH 1a4";
    stream_.send("QUERY q" + std::to_string(answered_) + ' ' + text + "\r\n");
    outstanding_ = true;
  }
  void close() {
    stream_.close();
    closed_ = true;
  }

  tcp_stream stream_;
  bool transaction_;
  bool outstanding_ = false;
  bool failed_ = false;
  bool closed_ = false;
  unsigned answered_ = 0;
};

}  // namespace toucanmux::standin
