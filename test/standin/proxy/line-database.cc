#include "standin/proxy/line-database.h"

#include <map>

#include "proxy/erase-deferred.h"
#include "standin/process-address.h"

namespace toucanmux::standin {

namespace {

constexpr std::size_t large_row_size = 262'144;

std::string pop_word(std::string& rest) {
  auto word_end = rest.find(' ');
  auto word = rest.substr(0, word_end);
  rest.erase(0, word_end == std::string::npos ? rest.size() : word_end + 1);
  return word;
}

}  // namespace

class line_database::session final : public stream_owner {
 public:
  session(line_database& database, int descriptor,
          std::uint64_t connection_number)
      : database_(database),
        stream_(database.loop_, *this),
        connection_number_(connection_number),
        work_timer_([this] { finish_work(); }) {
    stream_.adopt(descriptor);
  }

  void on_input() override {
    std::string& input = stream_.input();
    for (;;) {
      auto line_end = input.find("\r\n");
      if (line_end == std::string::npos || stream_.closed()) return;
      if (work_timer_.armed()) return;
      auto line = input.substr(0, line_end);
      input.erase(0, line_end + 2);
      database_.received_lines_.push_back(std::to_string(connection_number_) +
                                          ' ' + line);
      if (!database_.silent) handle_line(line);
    }
  }
  void on_closed() override { end(); }
  void end() {
    work_timer_.disarm();
    stream_.close();
    erase_deferred(database_.loop_, database_.sessions_, *this);
  }

 private:
  void handle_line(std::string rest) {
    auto word = pop_word(rest);
    if (word == "QUIT") return end();
    if (word == "CONNECT") return connect(rest);
    auto id = pop_word(rest);
    query(id, rest);
  }

  void connect(std::string rest) {
    auto group = pop_word(rest);
    pop_word(rest);
    std::string refusal_code;
    if (group != database_.group_ || (!rest.empty() && rest != database_.id_)) {
      refusal_code = "MOVED";
    } else if (database_.sessions_.size() > database_.connection_limit) {
      refusal_code = "MAXCONN";
    }
    if (refusal_code.empty()) return ready();
    stream_.send("ERR " + refusal_code + " -\r\n");
    stream_.finish();
  }

  void query(const std::string& id, std::string rest) {
    auto text = rest;
    auto verb = pop_word(rest);
    statement_id_ = id;
    if (verb == "AFTER") {
      auto position = pop_word(rest);
      auto required = std::stoull(position.substr(position.find('.') + 1));
      if (required > database_.log_end) return fail("LAGGING");
      text = rest;
      verb = pop_word(rest);
    }
    if (verb == "BEGIN") return begin(rest.empty());
    if (verb == "ROLLBACK" || verb == "COMMIT") return finish(id, verb);
    if (transaction_state_ == 'E') return fail("PROTOERR");
    if (verb == "SET") session_values_[pop_word(rest)] = rest;
    if (verb == "RESET") session_values_.clear(), prepared_.clear();
    if (verb == "PREPARE") prepared_[pop_word(rest)] = rest;
    if (verb == "STATUS" || verb == "STEPDOWN" || verb == "PAUSE") {
      if (verb == "STEPDOWN") database_.is_primary = false;
      return status();
    }
    bool is_statement = verb == "FETCH" || verb == "PUT" || verb == "EXEC";
    if (!is_statement) return done();
    if (!database_.error_code.empty()) return fail(database_.error_code);
    run(id, verb, text, rest);
  }

  // A refused BEGIN leaves the connection outside of any transaction.
  void begin(bool writes) {
    if (writes && !database_.is_primary) return fail("READONLY");
    transaction_state_ = 'T';
    if (database_.defer_begins) {
      database_.deferred_answers_.emplace_back([this] { done(); });
      return;
    }
    done();
  }

  void finish(const std::string& id, const std::string& verb) {
    if (verb == "COMMIT") {
      database_.executed_.push_back(id + " COMMIT");
      if (has_uncommitted_writes_) ++database_.log_end;
    }
    transaction_state_ = 'I';
    has_uncommitted_writes_ = false;
    answer();
  }

  void run(const std::string& id, const std::string& verb,
           const std::string& text, std::string rest) {
    bool writes = verb == "PUT";
    if (verb == "EXEC") {
      auto prepared = prepared_.find(pop_word(rest));
      if (prepared == prepared_.end()) return fail("NOSTMT");
      writes = prepared->second.substr(0, 3) == "PUT";
    }
    if (writes && !database_.is_primary) return fail("READONLY");
    database_.executed_.push_back(id + ' ' + text);
    if (writes && transaction_state_ == 'I') ++database_.log_end;
    if (writes && transaction_state_ == 'T') has_uncommitted_writes_ = true;
    auto item = pop_word(rest);
    if (item == "large") return answer(large_rows());
    if (item != "slow" || database_.slow_work == duration{0})
      return answer(shown_row());
    database_.loop_.arm_in(work_timer_, database_.slow_work);
  }

  void finish_work() {
    if (!database_.silent) answer(shown_row());
    on_input();
  }

  std::string large_rows() const {
    std::string out;
    for (unsigned i = 0; i < database_.large_rows; ++i)
      out += "ROW " + std::string(large_row_size, 'x') + "\r\n";
    return out;
  }

  std::string shown_row() const { return "ROW " + shown_values() + "\r\n"; }

  std::string shown_values() const {
    std::string out = "values";
    for (const auto& [name, value] : session_values_) {
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

  // Sends an answer with a signature, unless it is to be lost, truncated or
  // deferred.
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
      database_.deferred_answers_.emplace_back([this, rows] { send(rows); });
      return;
    }
    send(rows);
  }

  void send(const std::string& rows) {
    database_.answered_[statement_id_] = boot_time();
    stream_.send(rows + "DONE sig." + database_.id_ + "\r\n");
    ready();
  }

  void done() {
    stream_.send("DONE -\r\n");
    ready();
  }
  void fail(const std::string& code) {
    stream_.send("ERR " + code + " -\r\n");
    if (transaction_state_ == 'T') transaction_state_ = 'E';
    ready();
  }
  void ready() {
    stream_.send(std::string("READY ") + transaction_state_ + " 1." +
                 std::to_string(database_.log_end) + "\r\n");
  }

  line_database& database_;
  tcp_stream stream_;
  std::uint64_t connection_number_;
  timer work_timer_;  ///< Armed while a slow statement runs.
  std::string statement_id_;
  char transaction_state_ = 'I';
  bool has_uncommitted_writes_ = false;
  std::map<std::string, std::string> session_values_;
  std::map<std::string, std::string> prepared_;
};

line_database::line_database(event_loop& loop, std::string id,
                             std::string group)
    : loop_(loop),
      id_(std::move(id)),
      group_(std::move(group)),
      listener_(loop, {process_ip(), 0},
                [this](int descriptor) { accept(descriptor); }) {}

line_database::~line_database() = default;

void line_database::accept(int descriptor) {
  sessions_.push_back(
      std::make_unique<session>(*this, descriptor, ++accepted_connections_));
}

void line_database::send_deferred_answers() {
  defer_answers = defer_begins = false;
  auto deferred = std::move(deferred_answers_);
  deferred_answers_.clear();
  for (const auto& send : deferred) send();
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
  out.version.revision = 10;
  return out;
}

}  // namespace toucanmux::standin
