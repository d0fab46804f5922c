#include "soak/soak-caller.h"

#include <algorithm>
#include <array>
#include <string_view>

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
                         std::uint32_t seed)
    : loop_(loop),
      hooks_(std::move(hooks)),
      name_(std::move(name)),
      random_(seed),
      stream_(loop, *this),
      timer_([this] { stream_.closed() ? connect() : send_next(); }) {
  loop_.arm_in(timer_, milliseconds(draw(random_, 1, 200)));
}

void soak_caller::connect() {
  if (stopping_) return;
  connected_ = in_flight_ = false;
  stream_.input().clear();
  if (!stream_.connect(hooks_.pick_instance())) {
    loop_.arm_in(timer_, milliseconds(100));
  }
}

void soak_caller::on_open() {
  stream_.send("CONNECT orders " + hooks_.api_key() + "\r\n");
}

void soak_caller::send_next() {
  if (stopping_ || !connected_ || in_flight_) return;
  if (remaining_.empty()) {
    outcome_ = {};
    position_check_ = nullptr;
    switch (draw(random_, 0, 3)) {
      case 0:
        remaining_ = {"PUT 1a4 x"};
        break;
      case 1:
        outcome_.transaction = true;
        remaining_ = {"BEGIN", "PUT 1a4 x", "PUT 1a5 y", "COMMIT"};
        break;
      default:
        remaining_ = {"FETCH 1a4"};
        position_check_ = hooks_.begin_read();
    }
  }
  auto text = remaining_.front();
  remaining_.erase(remaining_.begin());
  send_statement(text);
}

void soak_caller::send_statement(const std::string& text) {
  auto id = name_ + '.' + std::to_string(++statement_count_);
  if (has_prefix(text, "PUT")) outcome_.write_ids.push_back(id);
  if (has_prefix(text, "PUT") || text == "COMMIT") outcome_.commit_id = id;
  error_.clear();
  in_flight_ = true;
  stream_.send("QUERY " + id + ' ' + text + "\r\n");
}

void soak_caller::on_input() {
  std::string& input = stream_.input();
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
  if (!connected_) {
    connected_ = true;
    return send_next();
  }
  in_flight_ = false;
  handle_ready(line);
}

void soak_caller::handle_ready(const std::string& ready_line) {
  if (!error_.empty()) return handle_error(error_);
  if (!remaining_.empty()) {
    // A transaction pauses between its statements.
    loop_.arm_in(timer_, milliseconds(draw(random_, 0, 30)));
    return;
  }
  outcome_.acknowledged = true;
  if (position_check_) position_check_(position_in(ready_line));
  if (!outcome_.write_ids.empty()) hooks_.on_written(position_in(ready_line));
  finish();
}

void soak_caller::handle_error(const std::string& code) {
  outcome_.promised_no_effect = promises_no_effect(code);
  bool in_transaction = outcome_.transaction;
  finish();
  if (in_transaction) stream_.finish();  // Ends the open transaction.
  if (in_transaction) on_closed();
}

void soak_caller::finish() {
  if (!outcome_.write_ids.empty()) hooks_.on_outcome(outcome_);
  outcome_ = {};
  remaining_.clear();
  loop_.arm_in(timer_, milliseconds(draw(random_, 5, 60)));
}

void soak_caller::on_closed() {
  if (!outcome_.write_ids.empty()) hooks_.on_outcome(outcome_);
  outcome_ = {};
  remaining_.clear();
  in_flight_ = false;
  stream_.close();
  loop_.arm_in(timer_, milliseconds(draw(random_, 20, 150)));
}

}  // namespace toucanmux::soak
