#include "connection/http-connection.h"

#include <QTimer>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "process/clock.h"

namespace toucanmux {

namespace http = boost::beast::http;

// Exists only while a request is being received, so that idle connections use
// little memory.
struct http_connection::parser_state {
  http::request_parser<http::string_body> parser;
};

namespace {

http_request convert_request(http::request<http::string_body>&& parsed) {
  http_request out;
  out.method = std::string(parsed.method_string());
  out.target = std::string(parsed.target());
  out.keep_alive = parsed.keep_alive();
  for (const auto& field : parsed) {
    out.headers.emplace_back(field.name_string(), field.value());
  }
  out.body = std::move(parsed.body());
  return out;
}

std::string format_response(const http_response& response, bool keep_alive) {
  auto reason_phrase =
      http::obsolete_reason(static_cast<http::status>(response.status));
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out.append(reason_phrase.data(), reason_phrase.size());
  out += "\r\nContent-Type: ";
  out += response.type;
  out += "\r\nContent-Length: " + std::to_string(response.body.size());
  for (const auto& [name, value] : response.headers) {
    out.append("\r\n").append(name).append(": ").append(value);
  }
  out += keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
  out += response.body;
  return out;
}

}  // namespace

http_connection::http_connection(int descriptor, const http_limits& limits,
                                 request_handler on_request,
                                 close_handler on_closed)
    : socket_(descriptor),
      limits_(limits),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)),
      phase_started_at_(now()) {
  socket_.on([this] { handle_readable(); }, [this] { handle_close(); });
}

http_connection::~http_connection() = default;

bool http_connection::in_request() const {
  return serving_request_ || parser_ != nullptr || !input_.empty();
}

void http_connection::handle_readable() {
  if (ended_) return;
  if (closing_) return socket_.discard();
  // Pipelined requests stay in the bounded receive buffer of the socket.
  may_have_unread_ = serving_request_;
  if (serving_request_) return;
  if (!in_request()) phase_started_at_ = now();
  auto limit = limits_.header_bytes + limits_.body_bytes;
  socket_.read(input_, limit);
  may_have_unread_ = input_.size() == limit;
  if (!input_.empty()) parse();
}

void http_connection::parse() {
  if (!parser_) {
    parser_ = std::make_unique<parser_state>();
    parser_->parser.header_limit(
        static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->parser.body_limit(limits_.body_bytes);
    parser_->parser.eager(true);
  }
  boost::system::error_code error;
  auto used = parser_->parser.put(
      boost::asio::buffer(input_.data(), input_.size()), error);
  input_.erase(0, used);
  if (input_.empty()) input_ = std::string();
  if (error == http::error::need_more) return;
  if (error == http::error::body_limit) {
    return refuse(413, "body too large: send less than a megabyte");
  }
  if (error == http::error::header_limit) {
    return refuse(431, "headers too large: send less than 8 KiB");
  }
  if (error) return refuse(400, "not HTTP/1.1: " + error.message());
  if (!parser_->parser.is_done()) return;
  auto request = convert_request(parser_->parser.release());
  parser_.reset();
  serving_request_ = true;
  keep_alive_ = request.keep_alive;
  on_request_(*this, std::move(request));
}

void http_connection::respond(http_response&& response) {
  if (ended_) return;
  bool leaves = draining_ && !held_;
  bool keep_open = keep_alive_ && !leaves && !response.close;
  std::string bytes = format_response(response, keep_open);
  socket_.write(bytes);
  serving_request_ = false;
  phase_started_at_ = now();
  if (!keep_open) return start_close();
  if (may_have_unread_ || !input_.empty()) {
    QTimer::singleShot(0, &context_, [this] { handle_readable(); });
  }
}

void http_connection::refuse(unsigned status, std::string_view remedy) {
  serving_request_ = true;
  http_response response;
  response.status = status;
  response.close = true;
  response.body = R"({"error":{"kind":"bad_request","outcome":"not_run",)"
                  R"("remedy":")" +
                  std::string(remedy) + "\"}}";
  respond(std::move(response));
}

// Serves a request that has arrived and was not noticed yet.
void http_connection::drain() {
  draining_ = true;
  if (!in_request()) handle_readable();
  if (!in_request() && !held_) start_close();
}

void http_connection::release() {
  held_ = false;
  if (draining_ && !in_request()) start_close();
}

void http_connection::enforce_timeouts(instant current_time) {
  if (serving_request_) return;
  if (closing_) return enforce_close(current_time);
  bool reading_request = in_request();
  auto timeout =
      reading_request ? limits_.request_timeout : limits_.idle_timeout;
  if (current_time - phase_started_at_ < timeout) return;
  if (reading_request) return refuse(408, "request too slow: send it whole");
  start_close();
}

// Shuts down the sending side behind the responses. The connection ends when
// the caller closes its side, because closing it earlier could reset it and
// destroy responses in flight.
void http_connection::start_close() {
  if (closing_ || ended_) return;
  closing_ = true;
  socket_.finish();
  delivery_.check(now(), socket_.undelivered());
}

void http_connection::enforce_close(instant current_time) {
  auto undelivered = socket_.undelivered();
  auto timeout = undelivered > 0 ? limits_.send_timeout : limits_.close_timeout;
  if (delivery_.check(current_time, undelivered) < timeout) return;
  socket_.abort();
  handle_close();
}

void http_connection::handle_close() {
  if (ended_) return;
  ended_ = true;
  QTimer::singleShot(0, &context_, [this] { on_closed_(*this); });
}

}  // namespace toucanmux
