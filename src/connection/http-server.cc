#include "connection/http-server.h"

#include "process/clock.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds timeout_check_interval{500};

}  // namespace

http_server::http_server(http_limits limits,
                         http_connection::request_handler on_request,
                         std::function<void(http_connection&)> on_closed)
    : limits_(limits),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)),
      listener_([this](qintptr descriptor) { adopt(descriptor); }) {
  QObject::connect(&timer_, &QTimer::timeout, [this] { enforce_timeouts(); });
  timer_.start(timeout_check_interval);
}

http_server::~http_server() {
  connections_.clear_and_dispose(
      [](http_connection* connection) { delete connection; });
}

void http_server::listen(const std::string& address, std::uint16_t port) {
  listener_.open(address, port);
}

void http_server::adopt(qintptr descriptor) {
  auto handle_close = [this](http_connection& connection) {
    if (on_closed_) on_closed_(connection);
    --count_;
    delete &connection;
  };
  auto new_connection =
      std::make_unique<http_connection>(static_cast<int>(descriptor), limits_,
                                        on_request_, std::move(handle_close));
  connections_.push_back(*new_connection.release());
  ++count_;
}

void http_server::drain() {
  listener_.close();
  for (auto it = connections_.begin(); it != connections_.end();) {
    (it++)->drain();
  }
}

void http_server::enforce_timeouts() {
  auto current_time = now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    (it++)->enforce_timeouts(current_time);
  }
}

}  // namespace toucanmux
