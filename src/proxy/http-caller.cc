#include "proxy/http-caller.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace toucanmux {

namespace {

namespace http = boost::beast::http;
constexpr std::uint64_t largest_body = 8'388'608;
// Times the limit that an answer may take while it goes on.
constexpr int longest_answer = 4;

}  // namespace

struct http_caller::parser_state {
  http::response_parser<http::string_body> parser;
};

http_caller::http_caller(event_loop& loop, const inet_address& to)
    : loop_(loop),
      to_(to),
      stream_(loop, *this),
      limit_([this] { end({}, false); }) {}

http_caller::~http_caller() = default;

void http_caller::call(http_call what, duration limit, handler done) {
  line_.push_back({std::move(what), limit, std::move(done)});
  if (!running_) start_next();
}

void http_caller::start_next() {
  if (running_ || line_.empty()) return;
  current_ = std::move(line_.front());
  line_.pop_front();
  running_ = true;
  written_ = false;
  parser_ = std::make_unique<parser_state>();
  parser_->parser.body_limit(largest_body);
  ++calls_;
  loop_.arm_in(limit_, current_.limit);
  reused_ = stream_.open();
  if (reused_) return write_request();
  if (!stream_.connect(to_)) loop_.arm_in(limit_, duration{0});
}

void http_caller::write_request() {
  const http_call& what = current_.what;
  std::string& out = stream_.output();
  out += what.method + ' ' + what.target +
         " HTTP/1.1\r\nHost: " + to_text(to_) + "\r\n" + what.headers;
  if (!what.body.empty()) {
    out += "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(what.body.size()) + "\r\n";
  }
  out += "\r\n" + what.body;
  stream_.schedule_flush();
  written_ = true;
  asked_ = boot_time();
}

void http_caller::on_open() { write_request(); }

void http_caller::on_input() {
  std::string& input = stream_.input();
  if (!running_) {
    // Nothing was asked: whatever this is, it belongs to no call.
    stream_.close();
    return;
  }
  boost::system::error_code failed;
  auto& parser = parser_->parser;
  parser.eager(true);
  auto used = parser.put(boost::asio::buffer(input), failed);
  input.erase(0, used);
  if (failed && failed != http::error::need_more) return end({}, false);
  if (!parser.is_done()) {
    // A large answer that comes slowly is no silence.
    auto last = asked_ + current_.limit * longest_answer;
    loop_.arm(limit_, std::min(loop_.now() + current_.limit, last));
    return;
  }
  http_result result;
  result.answered = true;
  result.status = parser.get().result_int();
  result.body = std::move(parser.get().body());
  end(std::move(result), parser.get().keep_alive());
}

void http_caller::on_closed() {
  if (running_) end({}, false);
}

void http_caller::end(http_result&& how, bool keep) {
  limit_.disarm();
  if (!keep) stream_.close();
  how.sent = written_;
  how.asked = asked_;
  running_ = false;
  auto done = std::move(current_.done);
  loop_.defer([this] { start_next(); });
  done(std::move(how));
}

}  // namespace toucanmux
