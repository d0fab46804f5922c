#include "proxy/connections/relay-server.h"

#include <unistd.h>

#include <algorithm>

#include "proxy/erase-deferred.h"
#include "proxy/proxy-state.h"

namespace toucanmux {

namespace {

constexpr duration max_lateness = std::chrono::milliseconds(50);
// The descriptors that the platform leaves for them; see `max_sessions`.
constexpr std::size_t max_relay_sessions = 300;
// A session that was used within this time is not closed to make room: its
// sender may have sent a statement that has not arrived.
constexpr duration min_idle = std::chrono::seconds(2);

}  // namespace

relay_server::relay_server(proxy_state& state, const inet_address& address)
    : state_(state), listener_(state.loop, address, [this](int descriptor) {
        accept(descriptor);
      }) {}

relay_server::~relay_server() { finish(); }

void relay_server::finish() {
  auto sessions = sessions_;
  for (const auto& session : sessions) session->finish();
}

void relay_server::accept(int descriptor) {
  if (sessions_.size() >= max_relay_sessions && !make_room()) {
    close(descriptor);
    count_refusal();
    return;
  }
  sessions_.emplace_back(new relay_session(state_, *this, descriptor));
}

// Closes the session that was unused for the longest time.
bool relay_server::make_room() {
  relay_session_ptr oldest;
  for (const auto& session : sessions_) {
    if (session->in_use()) continue;
    if (!oldest || session->used_at() < oldest->used_at()) oldest = session;
  }
  if (!oldest || state_.loop.now() - oldest->used_at() < min_idle) return false;
  oldest->finish();
  on_session_ended(*oldest);
  return true;
}

void relay_server::tick(duration lateness) {
  ticked_late_ = lateness > max_lateness;
}

bool relay_server::is_late() const {
  return ticked_late_ || boot_time() - state_.loop.now() > max_lateness;
}

std::size_t relay_server::busy_sessions() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const auto& session) { return session->in_use(); }));
}

void relay_server::on_session_ended(relay_session& session) {
  erase_deferred(state_.loop, sessions_, session);
}

}  // namespace toucanmux
