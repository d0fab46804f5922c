#include "standin/proxy/line-database.h"

#include <map>

#include "proxy/let-go.h"
#include "standin/proxy/loopback.h"

namespace toucanmux::standin {

namespace {

std::string take_word(std::string& rest) {
  auto stop = rest.find(' ');
  auto word = rest.substr(0, stop);
  rest.erase(0, stop == std::string::npos ? rest.size() : stop + 1);
  return word;
}

}  // namespace

class line_database::session final : public stream_owner {
 public:
  session(line_database& database, int descriptor, std::uint64_t count)
      : database_(database), stream_(database.loop_, *this), count_(count) {
    stream_.adopt(descriptor);
  }

  void on_input() override {
    std::string& input = stream_.input();
    for (;;) {
      auto stop = input.find("\r\n");
      if (stop == std::string::npos || stream_.closed()) return;
      auto line = input.substr(0, stop);
      input.erase(0, stop + 2);
      database_.lines_.push_back(std::to_string(count_) + ' ' + line);
      if (!database_.silent) take(line);
    }
  }
  void on_closed() override { end(); }
  void end() {
    stream_.close();
    let_go(database_.loop_, database_.sessions_, *this);
  }

 private:
  void take(std::string rest) {
    auto word = take_word(rest);
    if (word == "QUIT") return end();
    if (word == "CONNECT") return connect(rest);
    auto id = take_word(rest);
    query(id, rest);
  }

  void connect(std::string rest) {
    auto group = take_word(rest);
    take_word(rest);
    std::string refused;
    if (group != database_.group_ || (!rest.empty() && rest != database_.id_)) {
      refused = "MOVED";
    } else if (database_.sessions_.size() > database_.connection_limit) {
      refused = "MAXCONN";
    }
    if (refused.empty()) return ready();
    stream_.send("ERR " + refused + " -\r\n");
    stream_.finish();
  }

  void query(const std::string& id, std::string rest) {
    auto text = rest;
    auto verb = take_word(rest);
    if (verb == "AFTER") {
      auto position = take_word(rest);
      auto needed = std::stoull(position.substr(position.find('.') + 1));
      if (needed > database_.log_end) return fail("LAGGING");
      text = rest;
      verb = take_word(rest);
    }
    if (verb == "BEGIN") return begin(rest.empty());
    if (verb == "ROLLBACK" || verb == "COMMIT") return finish(id, verb);
    if (state_ == 'E') return fail("PROTOERR");
    if (verb == "SET") values_[take_word(rest)] = rest;
    if (verb == "RESET") values_.clear(), prepared_.clear();
    if (verb == "PREPARE") prepared_[take_word(rest)] = rest;
    if (verb == "STATUS" || verb == "STEPDOWN" || verb == "PAUSE") {
      if (verb == "STEPDOWN") database_.is_primary = false;
      return status();
    }
    bool runs = verb == "FETCH" || verb == "PUT" || verb == "EXEC";
    if (!runs) return done();
    if (!database_.error_code.empty()) return fail(database_.error_code);
    run(id, verb, text, rest);
  }

  // A refused begin leaves the connection outside of any transaction.
  void begin(bool writes) {
    if (writes && !database_.is_primary) return fail("READONLY");
    state_ = 'T';
    done();
  }

  void finish(const std::string& id, const std::string& verb) {
    if (verb == "COMMIT") {
      database_.ran_.push_back(id + " COMMIT");
      if (wrote_) ++database_.log_end;
    }
    state_ = 'I';
    wrote_ = false;
    answer();
  }

  void run(const std::string& id, const std::string& verb,
           const std::string& text, std::string rest) {
    bool writes = verb == "PUT";
    if (verb == "EXEC") {
      auto known = prepared_.find(take_word(rest));
      if (known == prepared_.end()) return fail("NOSTMT");
      writes = known->second.substr(0, 3) == "PUT";
    }
    if (writes && !database_.is_primary) return fail("READONLY");
    database_.ran_.push_back(id + ' ' + text);
    if (writes && state_ == 'I') ++database_.log_end;
    if (writes && state_ == 'T') wrote_ = true;
    answer("ROW " + shown_values() + "\r\n");
  }

  std::string shown_values() const {
    std::string out = "values";
    for (const auto& [name, value] : values_) {
      out.append(" ").append(name).append("=").append(value);
    }
    return out;
  }

  void status() {
    stream_.send(std::string("ROW ") +
                 (database_.is_primary ? "primary" : "replica") + " 1 1." +
                 std::to_string(database_.log_end) + " 0 0 0 1\r\n");
    done();
  }

  // An answer with a signature, unless it is to be lost or broken off.
  void answer(const std::string& rows = {}) {
    if (database_.answers_to_lose > 0) {
      --database_.answers_to_lose;
      return;
    }
    if (database_.answers_to_truncate > 0) {
      --database_.answers_to_truncate;
      stream_.send(rows.empty() ? "DO" : rows);
      return stream_.finish();
    }
    if (database_.defer_answers) {
      database_.held_answers_.emplace_back([this, rows] { send(rows); });
      return;
    }
    send(rows);
  }

  void send(const std::string& rows) {
    stream_.send(rows + "DONE sig." + database_.id_ + "\r\n");
    ready();
  }

  void done() {
    stream_.send("DONE -\r\n");
    ready();
  }
  void fail(const std::string& code) {
    stream_.send("ERR " + code + " -\r\n");
    if (state_ == 'T') state_ = 'E';
    ready();
  }
  void ready() {
    stream_.send(std::string("READY ") + state_ + " 1." +
                 std::to_string(database_.log_end) + "\r\n");
  }

  line_database& database_;
  tcp_stream stream_;
  std::uint64_t count_;
  char state_ = 'I';
  bool wrote_ = false;
  std::map<std::string, std::string> values_;
  std::map<std::string, std::string> prepared_;
};

line_database::line_database(event_loop& loop, std::string id,
                             std::string group)
    : loop_(loop),
      id_(std::move(id)),
      group_(std::move(group)),
      listener_(loop, {loopback, 0},
                [this](int descriptor) { accept(descriptor); }) {}

line_database::~line_database() = default;

void line_database::accept(int descriptor) {
  sessions_.push_back(
      std::make_unique<session>(*this, descriptor, ++accepted_));
}

void line_database::send_deferred_answers() {
  defer_answers = false;
  auto held = std::move(held_answers_);
  held_answers_.clear();
  for (const auto& send : held) send();
}

void line_database::reset_connections() {
  while (!sessions_.empty()) sessions_.front()->end();
}

upstream_entry line_database::entry() const {
  upstream_entry out;
  out.id = database_id(id_);
  out.group = group_id(group_);
  out.address = listener_.address();
  out.domain = domain_id("a");
  out.claims_lead = is_primary;
  out.born_ms = 1;
  out.revision = 10;
  return out;
}

}  // namespace toucanmux::standin
