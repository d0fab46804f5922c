#pragma once

#include <string>

#include "world.h"

namespace review {

/// A client with one session. Sends one statement after the other and keeps
/// its connection until the other side closes it.
class client {
 public:
  /// The answer to a statement.
  struct answer {
    bool complete = false;  ///< False if the connection ended without it.
    std::string error;      ///< The code of an error; empty for a success.
    char state = 'I';
  };

  client(world& setting, std::string name)
      : world_(setting), name_(std::move(name)) {}

  bool connected() const { return stream_ && !stream_->closed() && opened_; }
  bool outstanding() const { return static_cast<bool>(on_answer_); }
  const std::string& last_id() const { return id_; }
  double last_sent_ms() const { return sent_ms_; }

  /// @param done is called with false if the session was refused or ended.
  void connect(const world::proxy& to, const std::string& database,
               std::function<void(bool)> done) {
    opened_ = false;
    stream_ = world_.loop.connect(to.ip, to.frontend);
    stream_->output = "CONNECT " + database + " key-1\r\n";
    on_open_ = std::move(done);
    std::weak_ptr<connection> weak = stream_;
    stream_->on_input = [this, weak] {
      if (auto from = weak.lock()) handle_input(*from);
    };
    stream_->on_closed = [this, weak] {
      if (weak.lock() == stream_) handle_closed();
    };
    // As the platform's clients do, gives up after 2 s.
    world_.loop.call_in(2000, [this, weak] {
      if (opened_ || weak.lock() != stream_ || !stream_) return;
      stream_->close();
      handle_closed();
    });
  }

  void send(const std::string& text, std::function<void(const answer&)> done) {
    id_ = name_ + '.' + std::to_string(++count_);
    sent_ms_ = now_ms();
    on_answer_ = std::move(done);
    answer_ = {};
    if (world_.log_statements)
      world_.log("%s sends %s", id_.c_str(), text.c_str());
    stream_->output += "QUERY " + id_ + ' ' + text + "\r\n";
  }

  void close() {
    if (stream_) stream_->close();
    on_answer_ = nullptr;
  }

 private:
  void handle_input(connection& from) {
    std::string line;
    while (!from.closed() && next_line(from, line)) handle_line(line);
  }

  void handle_line(std::string rest) {
    auto word = pop_word(rest);
    if (word == "ERR") answer_.error = pop_word(rest);
    if (word != "READY") return;
    if (!opened_) {
      opened_ = true;
      auto done = std::move(on_open_);
      on_open_ = nullptr;
      if (done) done(true);
      return;
    }
    answer_.complete = true;
    answer_.state = rest.empty() ? 'I' : rest[0];
    if (world_.log_statements || !answer_.error.empty())
      world_.log("%s answered %s after %.0f ms", id_.c_str(),
                 answer_.error.empty() ? "DONE" : answer_.error.c_str(),
                 now_ms() - sent_ms_);
    finish(answer_);
  }

  void handle_closed() {
    if (on_open_) {
      auto done = std::move(on_open_);
      on_open_ = nullptr;
      return done(false);
    }
    if (!on_answer_) return;
    world_.log("%s connection ended without an answer after %.0f ms",
               id_.c_str(), now_ms() - sent_ms_);
    finish({});
  }

  void finish(const answer& result) {
    auto done = std::move(on_answer_);
    on_answer_ = nullptr;
    if (done) done(result);
  }

  world& world_;
  std::string name_;
  connection_ptr stream_;
  bool opened_ = false;
  unsigned count_ = 0;
  std::string id_;
  double sent_ms_ = 0;
  answer answer_;
  std::function<void(bool)> on_open_;
  std::function<void(const answer&)> on_answer_;
};

}  // namespace review
