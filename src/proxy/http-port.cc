#include "proxy/http-port.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "proxy/let-go.h"

namespace toucanmux {

namespace {

namespace http = boost::beast::http;
// A probe that is not whole by then is dropped.
constexpr duration request_limit = std::chrono::seconds(10);
constexpr std::size_t largest_request = 8'192;
constexpr std::size_t most_clients = 64;

}  // namespace

class http_port::client final : public stream_owner {
 public:
  client(http_port& port, int descriptor)
      : port_(port),
        stream_(port.loop_, *this),
        limit_([this] { on_closed(); }) {
    stream_.adopt(descriptor);
    port_.loop_.arm_in(limit_, request_limit);
  }

  void on_input() override {
    std::string& input = stream_.input();
    auto stop = input.find("\r\n\r\n");
    if (stop == std::string::npos) {
      if (input.size() > largest_request) on_closed();
      return;
    }
    http::request_parser<http::empty_body> parser;
    boost::system::error_code failed;
    parser.put(boost::asio::buffer(input.data(), stop + 4), failed);
    input.erase(0, stop + 4);
    if (failed) return on_closed();
    auto target = parser.get().target();
    reply(port_.answer_({target.data(), target.size()}));
    if (!parser.get().keep_alive()) stream_.finish();
    port_.loop_.arm_in(limit_, request_limit);
  }
  void on_closed() override {
    limit_.disarm();
    stream_.close();
    erase_deferred(port_.loop_, port_.clients_, *this);
  }

 private:
  void reply(const probe_answer& what) {
    stream_.send("HTTP/1.1 " + std::to_string(what.status) +
                 (what.status == 200 ? " OK" : " Unavailable") +
                 "\r\nContent-Type: text/plain\r\nContent-Length: " +
                 std::to_string(what.body.size()) + "\r\n\r\n" + what.body);
  }

  http_port& port_;
  tcp_stream stream_;
  timer limit_;
};

http_port::http_port(event_loop& loop, const inet_address& at, handler answer)
    : loop_(loop),
      answer_(std::move(answer)),
      listener_(loop, at, [this](int descriptor) { accept(descriptor); }) {}

http_port::~http_port() = default;

void http_port::accept(int descriptor) {
  // The oldest one makes room.
  if (clients_.size() >= most_clients) clients_.pop_front();
  clients_.push_back(std::make_unique<client>(*this, descriptor));
}

}  // namespace toucanmux
