#include "soak/soak-caller.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "soak/soak-plan.h"

namespace toucanmux::soak {

namespace {

using std::chrono::milliseconds;

bool is_promise(std::string_view code) {
  constexpr std::array<std::string_view, 6> promises{
      "BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"};
  return std::find(promises.begin(), promises.end(), code) != promises.end();
}

bool begins(std::string_view line, std::string_view with) {
  return line.substr(0, with.size()) == with;
}

// READY state TERM.NUMBER
std::uint64_t position_in(const std::string& ready) {
  auto dot = ready.rfind('.');
  return dot == std::string::npos ? 0 : std::stoull(ready.substr(dot + 1));
}

}  // namespace

soak_caller::soak_caller(event_loop& loop, caller_world world, std::string name,
                         std::uint32_t seed)
    : loop_(loop),
      world_(std::move(world)),
      name_(std::move(name)),
      random_(seed),
      stream_(loop, *this),
      timer_([this] { stream_.closed() ? connect() : next(); }) {
  loop_.arm_in(timer_, milliseconds(draw(random_, 1, 200)));
}

void soak_caller::connect() {
  if (stopping_) return;
  opened_ = asking_ = false;
  stream_.input().clear();
  if (!stream_.connect(world_.somewhere())) {
    loop_.arm_in(timer_, milliseconds(100));
  }
}

void soak_caller::on_open() {
  stream_.send("CONNECT orders " + world_.key() + "\r\n");
}

void soak_caller::next() {
  if (stopping_ || !opened_ || asking_) return;
  if (left_.empty()) {
    outcome_ = {};
    check_ = nullptr;
    switch (draw(random_, 0, 3)) {
      case 0:
        left_ = {"PUT 1a4 x"};
        break;
      case 1:
        outcome_.transaction = true;
        left_ = {"BEGIN", "PUT 1a4 x", "PUT 1a5 y", "COMMIT"};
        break;
      default:
        left_ = {"FETCH 1a4"};
        check_ = world_.read();
    }
  }
  auto text = left_.front();
  left_.erase(left_.begin());
  ask(text);
}

void soak_caller::ask(const std::string& text) {
  auto id = name_ + '.' + std::to_string(++count_);
  if (begins(text, "PUT")) outcome_.writes.push_back(id);
  if (begins(text, "PUT") || text == "COMMIT") outcome_.decisive = id;
  code_.clear();
  asking_ = true;
  stream_.send("QUERY " + id + ' ' + text + "\r\n");
}

void soak_caller::on_input() {
  std::string& input = stream_.input();
  for (auto stop = input.find("\r\n"); stop != std::string::npos;
       stop = input.find("\r\n")) {
    auto line = input.substr(0, stop);
    input.erase(0, stop + 2);
    take_line(line);
  }
}

void soak_caller::take_line(const std::string& line) {
  if (begins(line, "ERR ")) code_ = line.substr(4, line.find(' ', 4) - 4);
  if (!begins(line, "READY")) return;
  if (!opened_) {
    opened_ = true;
    return next();
  }
  asking_ = false;
  answered(line);
}

void soak_caller::answered(const std::string& ready) {
  if (!code_.empty()) return fail(code_);
  if (!left_.empty()) {
    // Transactions rest between their statements.
    loop_.arm_in(timer_, milliseconds(draw(random_, 0, 30)));
    return;
  }
  outcome_.acknowledged = true;
  if (check_) check_(position_in(ready));
  if (!outcome_.writes.empty()) world_.wrote(position_in(ready));
  finish();
}

void soak_caller::fail(const std::string& code) {
  outcome_.promised = is_promise(code);
  bool open = outcome_.transaction;
  finish();
  if (open) stream_.finish();  // Ends whatever is left of the transaction.
  if (open) on_closed();
}

void soak_caller::finish() {
  if (!outcome_.writes.empty()) world_.ended(outcome_);
  outcome_ = {};
  left_.clear();
  loop_.arm_in(timer_, milliseconds(draw(random_, 5, 60)));
}

void soak_caller::on_closed() {
  if (!outcome_.writes.empty()) world_.ended(outcome_);
  outcome_ = {};
  left_.clear();
  asking_ = false;
  stream_.close();
  loop_.arm_in(timer_, milliseconds(draw(random_, 20, 150)));
}

}  // namespace toucanmux::soak
