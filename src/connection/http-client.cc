#include "connection/http-client.h"

#include <QTimer>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace toucanmux {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_response_bytes = 64U << 20U;

}  // namespace

struct http_client::parser_state {
  http::response_parser<http::string_body> parser;
};

std::string http_client::reply::header(std::string_view name) const {
  for (const auto& [key, value] : response.headers) {
    bool same =
        QString::fromStdString(key).compare(
            QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size())),
            Qt::CaseInsensitive) == 0;
    if (same) return value;
  }
  return {};
}

http_client::http_client(const endpoint& server) : server_(server) {}

http_client::~http_client() = default;

void http_client::post(const http_request& request, reply_handler on_done) {
  on_done_ = std::move(on_done);
  request_sent_ = false;
  output_ = "POST " + request.target + " HTTP/1.1\r\nHost: toucanmux\r\n";
  for (const auto& [name, value] : request.headers) {
    output_.append(name).append(": ").append(value).append("\r\n");
  }
  output_ += "Content-Length: " + std::to_string(request.body.size()) +
             "\r\n\r\n" + request.body;
  parser_ = std::make_unique<parser_state>();
  parser_->parser.body_limit(max_response_bytes);
  parser_->parser.eager(true);
  if (socket_ && socket_->connected()) return send_request();
  connect();
}

void http_client::connect() {
  input_.clear();
  socket_ = std::make_unique<stream_socket>(server_);
  socket_->on([this] { handle_readable(); }, [this] { handle_close(); },
              [this] { send_request(); });
}

void http_client::send_request() {
  request_sent_ = true;
  socket_->write(output_);
}

void http_client::handle_close() {
  if (on_done_) finish({false, request_sent_, {}});
}

void http_client::handle_readable() {
  socket_->read(input_, max_response_bytes);
  if (!on_done_) return;
  boost::system::error_code error;
  auto used = parser_->parser.put(
      boost::asio::buffer(input_.data(), input_.size()), error);
  input_.erase(0, used);
  if (error && error != http::error::need_more) {
    return finish({false, true, {}});
  }
  if (!parser_->parser.is_done()) return;
  auto parsed = parser_->parser.release();
  reply out{true, true, {}};
  out.response.status = parsed.result_int();
  for (const auto& field : parsed) {
    out.response.headers.emplace_back(field.name_string(), field.value());
  }
  out.response.body = std::move(parsed.body());
  if (!parsed.keep_alive()) socket_->abort();
  finish(std::move(out));
}

void http_client::finish(reply&& result) {
  // The handler may send the next request or destroy this client.
  auto on_done = std::exchange(on_done_, nullptr);
  QTimer::singleShot(0, &context_,
                     [on_done, result = std::move(result)]() mutable {
                       on_done(std::move(result));
                     });
}

}  // namespace toucanmux
