#pragma once

#include <deque>
#include <set>
#include <string>
#include <vector>

#include "loop.h"

namespace review {

/// One database of a service. Reads, writes and commits take a slot for
/// `work_ms`. The positions of all databases of the service are kept by their
/// owner, who replicates them.
class database {
 public:
  struct run {
    double at_ms = 0;
    std::string id;
    std::string text;
  };

  database(loop& events, const std::string& ip, std::string id,
           std::string service)
      : loop_(events), id_(std::move(id)), service_(std::move(service)) {
    address_ = ip + ':' +
               std::to_string(loop_.listen(
                   ip, [this](connection_ptr accepted) { accept(accepted); }));
  }

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  /// Statements with a client's id that took a slot.
  const std::vector<run>& runs() const { return runs_; }
  bool received(const std::string& statement) const {
    return received_.contains(statement);
  }

  bool is_primary = false;
  std::uint64_t term = 1;
  std::uint64_t log_end = 100;
  unsigned slots = 3;
  /// How long a statement takes; called for each one.
  std::function<double()> work_ms = [] { return 5.0; };

 private:
  struct session {
    connection_ptr stream;
    bool open = false;
    char state = 'I';
    bool read_only = false;
    bool wrote = false;
    bool busy = false;
  };
  using session_ptr = std::shared_ptr<session>;

  void accept(const connection_ptr& accepted) {
    auto opened = std::make_shared<session>();
    opened->stream = accepted;
    accepted->on_input = [this, weak = std::weak_ptr(opened)] {
      if (auto each = weak.lock()) handle_input(each);
    };
    sessions_.push_back(opened);
    std::erase_if(sessions_,
                  [](const auto& each) { return each->stream->closed(); });
  }

  void handle_input(const session_ptr& from) {
    std::string line;
    while (!from->busy && !from->stream->closed() &&
           next_line(*from->stream, line))
      handle_line(from, line);
  }

  void handle_line(const session_ptr& from, std::string rest) {
    auto word = pop_word(rest);
    if (word == "QUIT") return from->stream->close();
    if (word == "CONNECT") return connect(from, rest);
    auto id = pop_word(rest);
    if (id != "-") received_.insert(id);
    query(from, id, rest);
  }

  void connect(const session_ptr& from, std::string rest) {
    auto service = pop_word(rest);
    pop_word(rest);
    bool wrong = service != service_ || (!rest.empty() && rest != id_);
    if (wrong) {
      from->stream->output += "ERR MOVED " + id_ + "\r\n";
      from->stream->finishing = true;
      return;
    }
    ready(*from);
  }

  void query(const session_ptr& from, const std::string& id, std::string rest) {
    auto text = rest;
    auto verb = pop_word(rest);
    if (verb == "AFTER") {
      auto position = pop_word(rest);
      auto dot = position.find('.');
      std::pair<std::uint64_t, std::uint64_t> required(
          std::stoull(position.substr(0, dot)),
          std::stoull(position.substr(dot + 1)));
      if (std::pair(term, log_end) < required) return fail(*from, "LAGGING");
      text = rest;
      verb = pop_word(rest);
    }
    if (verb == "BEGIN") {
      if (from->state != 'I') return fail(*from, "PROTOERR");
      if (rest != "FETCH" && !is_primary) return fail(*from, "READONLY");
      from->state = 'T';
      from->wrote = false;
      from->read_only = rest == "FETCH";
      return done(*from);
    }
    if (verb == "ROLLBACK") {
      from->state = 'I';
      return done(*from);
    }
    if (from->state == 'E') return fail(*from, "PROTOERR");
    if (verb == "STATUS") return status(*from);
    if (verb == "STEPDOWN") {
      if (std::stoull(rest) > term) is_primary = false;
      return status(*from);
    }
    bool takes_slot = verb == "FETCH" || verb == "PUT" || verb == "COMMIT";
    if (!takes_slot) return done(*from);
    bool needs_lead = verb == "PUT" || (verb == "COMMIT" && from->wrote);
    if (needs_lead && (!is_primary || from->read_only))
      return fail(*from, "READONLY");
    from->busy = true;
    waiting_.push_back(
        [this, from, id, text, verb] { run_statement(from, id, text, verb); });
    start_waiting();
  }

  void start_waiting() {
    while (in_use_ < slots && !waiting_.empty()) {
      ++in_use_;
      auto next = std::move(waiting_.front());
      waiting_.pop_front();
      next();
    }
  }

  void run_statement(const session_ptr& from, const std::string& id,
                     const std::string& text, const std::string& verb) {
    if (from->stream->closed()) {
      --in_use_;
      return;
    }
    runs_.push_back({now_ms(), id, text});
    loop_.call_in(work_ms(), [this, from, verb] {
      --in_use_;
      from->busy = false;
      if (!from->stream->closed()) finish_statement(*from, verb);
      start_waiting();
      handle_input(from);
    });
  }

  void finish_statement(session& from, const std::string& verb) {
    bool commits = (verb == "PUT" && from.state == 'I') ||
                   (verb == "COMMIT" && from.wrote);
    if (commits) ++log_end;
    if (verb == "PUT" && from.state == 'T') from.wrote = true;
    if (verb == "COMMIT") from.state = 'I';
    if (verb == "FETCH") from.stream->output += "ROW data\r\n";
    from.stream->output += "DONE sig." + id_ + "\r\n";
    ready(from);
  }

  void status(session& to) {
    to.stream->output += std::string("ROW ") +
                         (is_primary ? "primary" : "replica") + ' ' +
                         std::to_string(term) + ' ' + position() + " 0 0 " +
                         std::to_string(in_use_) + " 1\r\n";
    done(to);
  }
  void done(session& to) {
    to.stream->output += "DONE -\r\n";
    ready(to);
  }
  void fail(session& to, const std::string& code) {
    to.stream->output += "ERR " + code + ' ' + id_ + "\r\n";
    if (to.state == 'T') to.state = 'E';
    ready(to);
  }
  void ready(session& to) {
    to.stream->output +=
        std::string("READY ") + to.state + ' ' + position() + "\r\n";
  }
  std::string position() const {
    return std::to_string(term) + '.' + std::to_string(log_end);
  }

  loop& loop_;
  std::string id_;
  std::string service_;
  std::string address_;
  std::vector<session_ptr> sessions_;
  std::deque<std::function<void()>> waiting_;
  unsigned in_use_ = 0;
  std::vector<run> runs_;
  std::set<std::string> received_;
};

}  // namespace review
