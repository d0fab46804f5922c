#include "proxy/http-port.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "proxy/erase-deferred.h"

namespace toucanmux {

namespace {

namespace http = boost::beast::http;
// A client that sends no complete request in this time is disconnected.
constexpr duration request_timeout = std::chrono::seconds(10);
constexpr std::size_t max_request_size = 8'192;
constexpr std::size_t max_clients = 64;

}  // namespace

class http_port::client final : public stream_owner {
 public:
  client(http_port& port, int descriptor)
      : port_(port),
        stream_(port.loop_, *this),
        request_timer_([this] { on_closed(); }) {
    stream_.adopt(descriptor);
    port_.loop_.arm_in(request_timer_, request_timeout);
  }

  void on_input() override {
    std::string& input = stream_.input();
    auto header_end = input.find("\r\n\r\n");
    if (header_end == std::string::npos) {
      if (input.size() > max_request_size) on_closed();
      return;
    }
    http::request_parser<http::empty_body> parser;
    boost::system::error_code error;
    parser.put(boost::asio::buffer(input.data(), header_end + 4), error);
    input.erase(0, header_end + 4);
    if (error) return on_closed();
    auto target = parser.get().target();
    send_response(port_.respond_({target.data(), target.size()}));
    if (!parser.get().keep_alive()) stream_.finish();
    port_.loop_.arm_in(request_timer_, request_timeout);
  }
  void on_closed() override {
    request_timer_.disarm();
    stream_.close();
    erase_deferred(port_.loop_, port_.clients_, *this);
  }

 private:
  void send_response(const probe_response& response) {
    stream_.send("HTTP/1.1 " + std::to_string(response.status) +
                 (response.status == 200 ? " OK" : " Unavailable") +
                 "\r\nContent-Type: text/plain\r\nContent-Length: " +
                 std::to_string(response.body.size()) + "\r\n\r\n" +
                 response.body);
  }

  http_port& port_;
  tcp_stream stream_;
  timer request_timer_;
};

http_port::http_port(event_loop& loop, const inet_address& listen_address,
                     handler respond)
    : loop_(loop),
      respond_(std::move(respond)),
      listener_(loop, listen_address,
                [this](int descriptor) { accept(descriptor); }) {}

http_port::~http_port() = default;

void http_port::accept(int descriptor) {
  // At the limit the oldest connection is closed, so that probes still get in.
  if (clients_.size() >= max_clients) clients_.pop_front();
  clients_.push_back(std::make_unique<client>(*this, descriptor));
}

}  // namespace toucanmux
