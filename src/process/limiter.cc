#include "process/limiter.h"

#include <algorithm>

#include "process/clock.h"
#include "process/log.h"
#include "process/timeline.h"
#include "toucanmux/codec.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds tick_interval{50};
constexpr std::chrono::milliseconds quick_tick_interval{2};
constexpr std::chrono::milliseconds heartbeat_interval{200};
// Number of peers that get a heartbeat in each interval.
constexpr std::size_t peers_per_heartbeat = 3;

}  // namespace

team_id open_route_team(const service_id& service, access_class access) {
  return team_id("open:" + service.value + ":" +
                 std::to_string(static_cast<int>(access)));
}

std::vector<team_limit> limits_of(const team_index& lists) {
  std::vector<team_limit> out;
  for (const auto& team : lists.teams().teams) {
    auto limits = lists.limits(team);
    out.push_back({team.id, limits.rate, limits.burst});
  }
  for (const auto& open : lists.plans().open_routes) {
    out.push_back(
        {open_route_team(open.service, open.access), open.rate, open.burst});
  }
  return out;
}

limiter::limiter(const instance_limits::settings& values, control_bus& bus,
                 platform_client& platform)
    : bus_(bus), platform_(platform), settings_(values), limits_(values) {
  bus_.on(control_part::limits,
          [this](const member_id& from, std::uint64_t incarnation,
                 std::span<const char> payload) {
            receive(from, incarnation, payload);
          });
  quick_tick_timer_.setSingleShot(true);
  quick_tick_timer_.setTimerType(Qt::PreciseTimer);
  auto tick_now = [this] { control_step(tick{}); };
  QObject::connect(&tick_timer_, &QTimer::timeout, tick_now);
  QObject::connect(&quick_tick_timer_, &QTimer::timeout, tick_now);
  QObject::connect(&heartbeat_timer_, &QTimer::timeout,
                   [this] { send_heartbeats(); });
  tick_timer_.start(tick_interval);
  heartbeat_timer_.start(heartbeat_interval);
}

void limiter::set_members(const std::vector<member>& entries) {
  members_known known;
  peers_.clear();
  for (const auto& entry : entries) {
    if (entry.role != member_role::entry) continue;
    addresses_[entry.id] = {entry.address, entry.control_port};
    if (entry.domain != settings_.domain) continue;
    known.members.push_back(entry.id);
    if (entry.id != settings_.self) peers_.push_back(entry.id);
  }
  control_step(known);
}

void limiter::update(const team_index& lists) {
  control_step(limits_configured{limits_of(lists)});
}

void limiter::handle_peer_message(const member_id& from) {
  auto known = std::find(peers_.begin(), peers_.end(), from);
  if (known != peers_.end()) control_step(peer_heard{from});
}

bool limiter::ready() {
  std::lock_guard lock(mutex_);
  ready_ = ready_ || limits_.ready();
  return ready_;
}

std::optional<admission> limiter::admit(const team_id& team,
                                        handler on_decision) {
  std::uint64_t request = 0;
  effects results;
  {
    std::lock_guard lock(mutex_);
    request = ++last_request_;
    waiting_.emplace(request, nullptr);
    sort_actions(limits_.step(now(), team_arrival{team, request}), results);
    auto it = waiting_.find(request);
    if (it != waiting_.end()) it->second = std::move(on_decision);
    results.requests_waiting = limits_.has_waiting_requests();
  }
  std::optional<admission> decision;
  auto without_handler = std::find_if(
      results.finished_requests.begin(), results.finished_requests.end(),
      [](const auto& one) { return !one.on_decision; });
  if (without_handler != results.finished_requests.end()) {
    decision = without_handler->result;
    results.finished_requests.erase(without_handler);
  }
  bool control_work =
      !results.control_actions.empty() || !results.finished_requests.empty();
  if (control_work || !decision) {
    QMetaObject::invokeMethod(
        &tick_timer_,
        [this, results = std::move(results)]() mutable {
          apply_effects(std::move(results));
        },
        Qt::QueuedConnection);
  }
  return decision;
}

limiter::effects limiter::step(const instance_limits::event& event) {
  effects out;
  std::lock_guard lock(mutex_);
  sort_actions(limits_.step(now(), event), out);
  out.requests_waiting = limits_.has_waiting_requests();
  return out;
}

void limiter::sort_actions(std::vector<instance_limits::action>&& actions,
                           effects& out) {
  auto finish_request = [&](std::uint64_t request, const admission& result) {
    auto it = waiting_.find(request);
    if (it == waiting_.end()) return;
    out.finished_requests.push_back({std::move(it->second), result});
    waiting_.erase(it);
  };
  for (auto& action : actions) {
    if (auto* allowed = std::get_if<admitted>(&action)) {
      finish_request(allowed->request, {true, duration(0)});
    } else if (auto* denied = std::get_if<refused>(&action)) {
      finish_request(denied->request, {false, denied->retry_after});
    } else {
      out.control_actions.push_back(std::move(action));
    }
  }
}

void limiter::control_step(const instance_limits::event& event) {
  apply_effects(step(event));
}

void limiter::apply_effects(effects&& results) {
  for (auto& one : results.finished_requests) one.on_decision(one.result);
  for (auto& action : results.control_actions) {
    std::visit(
        overloaded{[&](const send_limits& message) { send(message); },
                   [&](const read_object& request) {
                     platform_.read(request, [this](object_read result) {
                       control_step(result);
                     });
                   },
                   [&](const write_object& request) {
                     process_timeline().record(
                         "seat_claimed",
                         {{"seat", request.key}, {"record", request.value}});
                     platform_.write(request, [this](object_written result) {
                       control_step(result);
                     });
                   },
                   [](const auto&) {}},
        action);
  }
  if (results.requests_waiting && !quick_tick_timer_.isActive()) {
    quick_tick_timer_.start(quick_tick_interval);
  }
}

void limiter::receive(const member_id& from, std::uint64_t incarnation,
                      std::span<const char> payload) {
  auto message = decode<limits_message>(payload);
  control_step(limits_received{from, incarnation, std::move(message)});
}

void limiter::send(const send_limits& outgoing) {
  auto it = addresses_.find(outgoing.to);
  if (it == addresses_.end()) return;
  bus_.send(it->second, control_part::limits, encode(outgoing.message));
}

// An empty message tells peers that this instance runs and can be reached.
void limiter::send_heartbeats() {
  auto count = std::min(peers_per_heartbeat, peers_.size());
  for (std::size_t i = 0; i < count; ++i) {
    next_heartbeat_peer_ = (next_heartbeat_peer_ + 1) % peers_.size();
    send({peers_[next_heartbeat_peer_], seats_held{}});
  }
}

}  // namespace toucanmux
