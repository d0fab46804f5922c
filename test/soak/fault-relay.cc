#include "soak/fault-relay.h"

#include "proxy/let-go.h"
#include "standin/proxy/loopback.h"

namespace toucanmux::soak {

namespace {

// What waits is looked at again after so long.
constexpr duration look_again = std::chrono::milliseconds(20);

}  // namespace

/// One connection and its continuation to the far side.
class fault_relay::pair {
 public:
  pair(fault_relay& relay, int descriptor)
      : relay_(relay), near_(*this), far_(*this), timer_([this] { move(); }) {
    near_.stream.adopt(descriptor);
    if (!far_.stream.connect(relay.to_)) end();
  }

  void silence() { silent_ = true; }
  void end() {
    near_.stream.close();
    far_.stream.close();
    erase_deferred(relay_.loop_, relay_.pairs_, *this);
  }

 private:
  /// One end; hands what it reads to the pair.
  class side final : public stream_owner {
   public:
    explicit side(pair& both) : stream(both.relay_.loop_, *this), both_(both) {}
    void on_input() override { both_.arrived(); }
    void on_closed() override { both_.end(); }

    tcp_stream stream;

   private:
    pair& both_;
  };

  void arrived() {
    if (timer_.armed()) return;
    relay_.loop_.arm_in(timer_, relay_.delay);
  }

  void move() {
    bool left = false;
    if (!silent_ && !relay_.drops_forward) {
      pass(near_, far_);
    } else {
      left = !near_.stream.input().empty();
    }
    if (!silent_ && !relay_.drops_back) {
      pass(far_, near_);
    } else {
      left = left || !far_.stream.input().empty();
    }
    if (left) relay_.loop_.arm_in(timer_, look_again);
  }

  static void pass(side& from, side& to) {
    if (from.stream.input().empty()) return;
    to.stream.send(from.stream.input());
    from.stream.input().clear();
  }

  fault_relay& relay_;
  side near_;
  side far_;
  timer timer_;
  bool silent_ = false;
};

fault_relay::fault_relay(event_loop& loop, const inet_address& to)
    : loop_(loop),
      to_(to),
      listener_(loop, {standin::loopback, 0},
                [this](int descriptor) { accept(descriptor); }) {}

fault_relay::~fault_relay() = default;

void fault_relay::accept(int descriptor) {
  pairs_.push_back(std::make_unique<pair>(*this, descriptor));
}

void fault_relay::reset_all() {
  while (!pairs_.empty()) pairs_.front()->end();
}

void fault_relay::silence_open() {
  for (auto& one : pairs_) one->silence();
}

}  // namespace toucanmux::soak
