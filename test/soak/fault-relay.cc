#include "soak/fault-relay.h"

#include <algorithm>

#include "proxy/erase-deferred.h"
#include "standin/process-address.h"

namespace toucanmux::soak {

namespace {

// Interval at which held-back bytes are checked again.
constexpr duration retry_interval = std::chrono::milliseconds(20);

}  // namespace

/// A client's connection and the relay's own connection to the target.
class fault_relay::relayed_connection {
 public:
  relayed_connection(fault_relay& relay, int descriptor)
      : relay_(relay),
        client_(*this),
        server_(*this),
        timer_([this] { transfer(); }) {
    client_.stream.adopt(descriptor);
    if (!server_.stream.connect(relay.target_)) end();
  }

  void mute() { muted_ = true; }
  bool muted() const { return muted_; }
  void end() {
    client_.stream.close();
    server_.stream.close();
    erase_deferred(relay_.loop_, relay_.connections_, *this);
  }

 private:
  /// One of the two connections. Reports input and closing to the
  /// relayed_connection.
  class side final : public stream_owner {
   public:
    explicit side(relayed_connection& connection)
        : stream(connection.relay_.loop_, *this), connection_(connection) {}
    void on_input() override { connection_.schedule_transfer(); }
    void on_closed() override { connection_.end(); }

    tcp_stream stream;

   private:
    relayed_connection& connection_;
  };

  void schedule_transfer() {
    if (timer_.armed()) return;
    relay_.loop_.arm_in(timer_, relay_.delay);
  }

  void transfer() {
    bool pending = false;
    if (!muted_ && !relay_.holds_to_target) {
      forward(client_, server_);
    } else {
      pending = !client_.stream.input().empty();
    }
    if (!muted_ && !relay_.holds_to_client) {
      forward(server_, client_);
    } else {
      pending = pending || !server_.stream.input().empty();
    }
    if (pending) relay_.loop_.arm_in(timer_, retry_interval);
  }

  static void forward(side& from, side& target) {
    if (from.stream.input().empty()) return;
    target.stream.send(from.stream.input());
    from.stream.input().clear();
  }

  fault_relay& relay_;
  side client_;
  side server_;
  timer timer_;
  bool muted_ = false;
};

fault_relay::fault_relay(event_loop& loop, const inet_address& target)
    : loop_(loop),
      target_(target),
      listener_(loop, {standin::process_ip(), 0},
                [this](int descriptor) { accept(descriptor); }) {}

fault_relay::~fault_relay() = default;

void fault_relay::accept(int descriptor) {
  connections_.push_back(
      std::make_unique<relayed_connection>(*this, descriptor));
}

void fault_relay::reset_all() {
  while (!connections_.empty()) connections_.front()->end();
}

void fault_relay::mute_open_connections() {
  for (auto& connection : connections_) connection->mute();
}

bool fault_relay::in_trouble() const {
  return delay > duration{0} || holds_to_target || holds_to_client ||
         std::any_of(
             connections_.begin(), connections_.end(),
             [](const auto& connection) { return connection->muted(); });
}

}  // namespace toucanmux::soak
