#include "proxy/http-caller.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace toucanmux {

namespace {

namespace http = boost::beast::http;
constexpr std::uint64_t max_body_bytes = 8'388'608;
// A response that keeps arriving may take this multiple of the timeout.
constexpr int max_timeout_multiple = 4;

}  // namespace

struct http_caller::parser_state {
  http::response_parser<http::string_body> parser;
};

http_caller::http_caller(event_loop& loop, const inet_address& server)
    : loop_(loop),
      server_(server),
      stream_(loop, *this),
      timeout_timer_([this] { finish({}, false); }) {}

http_caller::~http_caller() = default;

void http_caller::call(http_call request, duration timeout,
                       result_handler on_done) {
  queue_.push_back({std::move(request), timeout, std::move(on_done)});
  if (!call_in_flight_) start_next();
}

void http_caller::start_next() {
  if (call_in_flight_ || queue_.empty()) return;
  current_ = std::move(queue_.front());
  queue_.pop_front();
  call_in_flight_ = true;
  request_written_ = false;
  parser_ = std::make_unique<parser_state>();
  parser_->parser.body_limit(max_body_bytes);
  ++calls_;
  loop_.arm_in(timeout_timer_, current_.timeout);
  reused_ = stream_.open();
  if (reused_) return write_request();
  if (!stream_.connect(server_)) loop_.arm_in(timeout_timer_, duration{0});
}

void http_caller::write_request() {
  const http_call& request = current_.request;
  std::string& out = stream_.output();
  out += request.method + ' ' + request.target +
         " HTTP/1.1\r\nHost: " + to_text(server_) + "\r\n" + request.headers;
  if (!request.body.empty()) {
    out += "Content-Type: application/json\r\nContent-Length: " +
           std::to_string(request.body.size()) + "\r\n";
  }
  out += "\r\n" + request.body;
  stream_.schedule_flush();
  request_written_ = true;
  sent_at_ = boot_time();
}

void http_caller::on_open() { write_request(); }

void http_caller::on_input() {
  std::string& input = stream_.input();
  if (!call_in_flight_) {
    // Input without a call in flight belongs to no request.
    stream_.close();
    return;
  }
  boost::system::error_code error;
  auto& parser = parser_->parser;
  parser.eager(true);
  auto consumed = parser.put(boost::asio::buffer(input), error);
  input.erase(0, consumed);
  if (error && error != http::error::need_more) return finish({}, false);
  if (!parser.is_done()) {
    // Every chunk of a large response extends the deadline.
    auto latest_deadline = sent_at_ + current_.timeout * max_timeout_multiple;
    loop_.arm(timeout_timer_,
              std::min(loop_.now() + current_.timeout, latest_deadline));
    return;
  }
  http_result result;
  result.answered = true;
  result.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    result.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  result.body = std::move(parser.get().body());
  finish(std::move(result), parser.get().keep_alive());
}

void http_caller::on_closed() {
  if (call_in_flight_) finish({}, false);
}

void http_caller::finish(http_result&& result, bool keep_open) {
  timeout_timer_.disarm();
  if (!keep_open) stream_.close();
  result.sent = request_written_;
  result.sent_at = sent_at_;
  call_in_flight_ = false;
  auto on_done = std::move(current_.on_done);
  loop_.defer([this] { start_next(); });
  on_done(std::move(result));
}

}  // namespace toucanmux
