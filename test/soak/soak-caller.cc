#include "soak/soak-caller.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "soak/soak-plan.h"

namespace toucanmux::soak {

namespace {

using std::chrono::milliseconds;

bool promises_no_effect(std::string_view code) {
  constexpr std::array<std::string_view, 6> codes{
      "BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"};
  return std::find(codes.begin(), codes.end(), code) != codes.end();
}

bool has_prefix(std::string_view line, std::string_view prefix) {
  return line.substr(0, prefix.size()) == prefix;
}

// Reads the log number from a line `READY state TERM.NUMBER`; 0 if it has none.
std::uint64_t position_in(const std::string& ready_line) {
  auto dot = ready_line.rfind('.');
  return dot == std::string::npos ? 0 : std::stoull(ready_line.substr(dot + 1));
}

}  // namespace

soak_caller::soak_caller(event_loop& loop, caller_hooks hooks, std::string name,
                         std::uint32_t seed, caller_kind kind)
    : loop_(loop),
      hooks_(std::move(hooks)),
      name_(std::move(name)),
      random_(seed),
      kind_(kind),
      socket_(loop, *this),
      timer_([this] { socket_.closed() ? connect() : send_next(); }) {
  loop_.arm_in(timer_, milliseconds(draw(random_, 1, 200)));
}

void soak_caller::connect() {
  if (stopping_) return;
  connected_ = false;
  error_.clear();
  instance_ = draw(random_, 0, static_cast<int>(hooks_.instances.size()) - 1);
  const auto& address = hooks_.instances[static_cast<std::size_t>(instance_)];
  if (!socket_.connect(address, kind_ == caller_kind::slow_reader)) {
    loop_.arm_in(timer_, milliseconds(100));
  }
}

void soak_caller::expect_close(int instance, instant closes_at) {
  bool idle = connected_ && outstanding_.empty() && remaining_.empty();
  if (kind_ != caller_kind::idle || instance != instance_ || !idle) return;
  loop_.arm(timer_, closes_at + milliseconds(draw(random_, -40, 60)));
}

void soak_caller::on_open() {
  socket_.send("CONNECT orders " + hooks_.api_key() + "\r\n");
}

void soak_caller::choose_operation() {
  outcome_ = {};
  switch (kind_ == caller_kind::slow_reader ? 4 : draw(random_, 0, 3)) {
    case 0:
      remaining_ = {"PUT 1a4 x"};
      break;
    case 1:
      outcome_.transaction = true;
      remaining_ = {"BEGIN", "PUT 1a4 x", "PUT 1a5 y", "COMMIT"};
      return;
    case 4:
      remaining_ = {"FETCH large"};
      return;
    default:
      remaining_ = {draw(random_, 0, 9) == 0 ? "FETCH slow" : "FETCH 1a4"};
  }
  if (kind_ != caller_kind::pipelining) return;
  auto count = static_cast<std::size_t>(draw(random_, 1, 2));
  remaining_.insert(remaining_.begin(), count, "FETCH 1a4");
}

void soak_caller::send_next() {
  if (!second_half_.empty()) return send_whole(std::exchange(second_half_, {}));
  if (stopping_ || !connected_ || !outstanding_.empty()) return;
  if (remaining_.empty()) choose_operation();
  std::string bytes;
  do {
    bytes += add_statement();
  } while (!outcome_.transaction && !remaining_.empty());
  if (kind_ != caller_kind::halting) return send_whole(bytes);
  second_half_ = bytes.substr(bytes.size() / 2);
  socket_.send(bytes.substr(0, bytes.size() / 2));
  loop_.arm_in(timer_, milliseconds(draw(random_, 10, 150)));
}

// Returns the line of the next statement.
std::string soak_caller::add_statement() {
  auto text = remaining_.front();
  remaining_.erase(remaining_.begin());
  sent_statement statement;
  statement.id = name_ + '.' + std::to_string(++statement_count_);
  if (has_prefix(text, "PUT")) outcome_.write_ids.push_back(statement.id);
  if (has_prefix(text, "PUT") || text == "COMMIT")
    outcome_.commit_id = statement.id;
  if (has_prefix(text, "FETCH")) statement.check_position = hooks_.begin_read();
  outstanding_.push_back(statement);
  return "QUERY " + statement.id + ' ' + text + "\r\n";
}

// A broken connection accepts no bytes; its end is reported later.
void soak_caller::send_whole(const std::string& bytes) {
  if (!socket_.send(bytes)) return;
  for (auto& statement : outstanding_) statement.sent_at = boot_time();
}

void soak_caller::on_input() {
  std::string& input = socket_.input();
  for (auto line_end = input.find("\r\n"); line_end != std::string::npos;
       line_end = input.find("\r\n")) {
    auto line = input.substr(0, line_end);
    input.erase(0, line_end + 2);
    handle_line(line);
  }
}

void soak_caller::handle_line(const std::string& line) {
  if (has_prefix(line, "ERR ")) error_ = line.substr(4, line.find(' ', 4) - 4);
  if (!has_prefix(line, "READY")) return;
  if (connected_) return handle_ready(line);
  connected_ = true;
  send_next();
}

void soak_caller::handle_ready(const std::string& ready_line) {
  if (outstanding_.empty()) return;
  auto statement = std::move(outstanding_.front());
  outstanding_.pop_front();
  auto code = std::exchange(error_, {});
  auto position = position_in(ready_line);
  bool ends_operation = outcome_.transaction
                            ? remaining_.empty()
                            : statement.id == outcome_.commit_id;
  if (code.empty() && statement.check_position)
    statement.check_position(position);
  if (code.empty() && ends_operation && !outcome_.write_ids.empty()) {
    outcome_.acknowledged = true;
    hooks_.on_written(position);
  }
  if (!code.empty() && (outcome_.transaction || ends_operation))
    outcome_.promised_no_effect = promises_no_effect(code);
  if (!outstanding_.empty()) return;
  // Ends the open transaction, or takes the present key.
  bool leaves = outcome_.transaction ? !code.empty() : code == "NOAUTH";
  if (leaves) return leave();
  if (remaining_.empty()) return finish();
  // A transaction pauses between its statements.
  loop_.arm_in(timer_, milliseconds(draw(random_, 0, 30)));
}

void soak_caller::finish() {
  if (!outcome_.write_ids.empty()) hooks_.on_outcome(outcome_);
  outcome_ = {};
  bool idles = kind_ == caller_kind::idle;
  auto pause = idles ? draw(random_, 500, 3000) : draw(random_, 5, 60);
  loop_.arm_in(timer_, milliseconds(pause));
}

void soak_caller::leave() {
  if (!outcome_.write_ids.empty()) hooks_.on_outcome(outcome_);
  outcome_ = {};
  remaining_.clear();
  outstanding_.clear();
  second_half_.clear();
  socket_.close();
  loop_.arm_in(timer_, milliseconds(draw(random_, 20, 150)));
}

void soak_caller::on_closed() {
  for (const auto& statement : outstanding_) {
    if (statement.sent_at)
      hooks_.on_cut({statement.id, instance_, *statement.sent_at, {}, {}});
  }
  leave();
}

}  // namespace toucanmux::soak
