#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "toucanmux/codec.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/process/instance-limits.h"

namespace toucanmux::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One central token bucket that sees every request, for comparison.
class central_bucket {
 public:
  central_bucket(double rate, double burst)
      : rate_(rate), burst_(burst), tokens_(burst) {}

  bool admit(instant now) {
    double elapsed = std::chrono::duration<double>(now - at_).count();
    tokens_ = std::min(burst_, tokens_ + rate_ * elapsed);
    at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double rate_;
  double burst_;
  double tokens_;
  instant at_;
};

/// Checks the bound for every window that starts and ends with an admission,
/// and thereby for every window.
class bound_check {
 public:
  bound_check(double rate, double burst) : rate_(rate), burst_(burst) {}

  void admitted(instant now) {
    double at = std::chrono::duration<double>(now.time_since_epoch()).count();
    lowest_ = std::min(lowest_, count_ - rate_ * at);
    count_ += 1;
    worst_ = std::max(worst_, count_ - rate_ * at - lowest_ - burst_);
  }

  /// Requests above the bound in the worst window; at most 0 if the bound
  /// holds.
  double excess() const { return worst_; }
  double count() const { return count_; }

 private:
  double rate_;
  double burst_;
  double count_ = 0;
  double lowest_ = 1e18;
  double worst_ = -1e18;
};

struct fleet_options {
  std::size_t domains = 3;
  std::size_t instances = 4;  ///< In each failure domain.
  std::uint32_t seats = 4;
  std::vector<team_limit> teams;
  std::vector<double> offered_rates;  ///< Requests a second of each team.
  std::uint64_t seed = 1;
  double loss = 0;        ///< Share of datagrams lost.
  double duplicates = 0;  ///< Share of datagrams duplicated.
  double stragglers = 0;  ///< Share of datagrams delayed by up to 150 ms.
  duration jitter{0};
  double lost_answers = 0;  ///< Share of the platform's answers lost.
  /// Encodes every datagram and counts its bytes; costs time.
  bool check_size = false;
  limits_timing timing;
};

/// Simulates many instances, a network and a platform in one thread, in virtual
/// time.
class limits_fleet {
 public:
  explicit limits_fleet(const fleet_options& options)
      : options_(options), random_(options.seed) {
    for (std::size_t i = 0; i < options.domains; ++i) {
      domains_.emplace_back("d" + std::to_string(i));
    }
    for (const auto& team : options.teams) {
      bounds_.emplace_back(team.rate, team.burst);
    }
    load_shares_.assign(options.teams.size(), 1);
    domain_partitioned_.assign(options.domains, false);
    platform_unreachable_.assign(options.domains, false);
    nodes_.resize(options.domains * options.instances);
    for (std::size_t i = 0; i < nodes_.size(); ++i) start(i);
  }

  instant now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  std::size_t size() const { return nodes_.size(); }
  const std::vector<bound_check>& bounds() const { return bounds_; }
  const limits_timing& timing() const { return options_.timing; }

  /// Called when a request ends.
  std::function<void(std::size_t team, std::uint64_t request, bool admitted)>
      on_finished;
  /// Called for every request before its instance handles it.
  std::function<void(std::size_t team, std::uint64_t request, std::size_t node)>
      on_arrival;

  void at(instant due_at, std::function<void()> task) {
    queue_.push({std::max(due_at, now_), next_order_++, std::move(task)});
  }
  void after(duration wait, std::function<void()> task) {
    at(now_ + wait, std::move(task));
  }

  void run_until(instant end) {
    while (!queue_.empty() && queue_.top().due_at <= end) {
      auto task = std::move(const_cast<scheduled_task&>(queue_.top()).task);
      now_ = queue_.top().due_at;
      queue_.pop();
      task();
    }
    now_ = end;
  }

  /// Starts Poisson arrivals for each team.
  void offer_load() {
    for (std::size_t i = 0; i < options_.teams.size(); ++i) next_arrival(i);
  }

  void kill(std::size_t node) {
    nodes_[node].limits.reset();
    nodes_[node].inbox.clear();
  }
  void start(std::size_t node) {
    auto& state = nodes_[node];
    ++state.incarnation;
    state.paused = false;
    instance_limits::settings values;
    values.self = id(node);
    values.incarnation = state.incarnation;
    values.domain = domains_[domain_of(node)];
    values.domains = domains_;
    values.seats = options_.seats;
    values.timing = options_.timing;
    state.limits = std::make_unique<instance_limits>(values);
    std::vector<member_id> members;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (domain_of(i) == domain_of(node)) members.push_back(id(i));
    }
    deliver(node, members_known{members});
    deliver(node, limits_configured{options_.teams});
    auto incarnation = state.incarnation;
    after(uniform(milliseconds(50)),
          [=, this] { tick_node(node, incarnation); });
    after(uniform(milliseconds(200)),
          [=, this] { send_heartbeats(node, incarnation); });
  }
  bool alive(std::size_t node) const { return nodes_[node].limits != nullptr; }
  bool paused(std::size_t node) const { return nodes_[node].paused; }
  std::size_t open_seat_count(std::size_t node) const {
    return alive(node) ? nodes_[node].limits->open_seat_count() : 0;
  }
  void pause(std::size_t node, duration length) {
    auto& state = nodes_[node];
    if (!state.limits || state.paused) return;
    state.paused = true;
    auto incarnation = state.incarnation;
    after(length, [=, this] { resume(node, incarnation); });
  }
  /// Partitions a failure domain from all other domains, or heals it.
  void set_partitioned(std::size_t domain, bool value) {
    domain_partitioned_[domain] = value;
  }
  /// Isolates an instance from all peers and from the platform, or heals it.
  void isolate(std::size_t node, bool value) { nodes_[node].isolated = value; }
  void platform_down(bool value) { platform_down_ = value; }
  void set_platform_unreachable(std::size_t domain, bool value) {
    platform_unreachable_[domain] = value;
  }
  /// Sets the share of a team's offered load that arrives from now on.
  void set_load_share(std::size_t team, double share) {
    load_shares_[team] = share;
  }
  /// Configures the instances at random times within the given duration.
  void configure(const std::vector<team_limit>& teams, duration within) {
    options_.teams = teams;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      after(uniform(within),
            [=, this] { deliver(i, limits_configured{teams}); });
    }
  }

  struct counters {
    std::uint64_t messages = 0;
    std::uint64_t holder_messages = 0;  ///< Sent by a seat's holder or to one.
    std::uint64_t bytes = 0;
    std::uint64_t steps = 0;
    double seconds = 0;  ///< Wall-clock time of all steps, if `measure` is set.
    std::uint64_t platform_calls = 0;
    std::uint64_t waited = 0;  ///< Requests that did not end on arrival.
    double wait_seconds = 0;
  };
  counters count;
  bool measure = false;

 private:
  struct scheduled_task {
    instant due_at;
    std::uint64_t order;
    std::function<void()> task;
    bool operator<(const scheduled_task& other) const {
      return std::tie(due_at, order) > std::tie(other.due_at, other.order);
    }
  };
  struct fleet_node {
    std::unique_ptr<instance_limits> limits;
    std::uint64_t incarnation = 0;
    bool paused = false;
    bool isolated = false;
    std::vector<instance_limits::event> inbox;
    bool ticking = false;
  };
  struct object {
    std::uint64_t version = 0;
    std::string value;
  };

  std::size_t domain_of(std::size_t node) const {
    return node / options_.instances;
  }
  member_id id(std::size_t node) const {
    return member_id("d" + std::to_string(domain_of(node)) + "-" +
                     std::to_string(node) + "/entry");
  }
  std::size_t node_of(const member_id& member) const {
    auto dash = member.value.find('-');
    return std::stoul(member.value.substr(dash + 1));
  }
  duration uniform(duration limit) {
    if (limit <= duration(0)) return duration(0);
    return duration(static_cast<std::int64_t>(
        random_() % static_cast<std::uint64_t>(limit.count())));
  }
  bool chance(double share) {
    return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share;
  }

  bool connected(std::size_t a, std::size_t b) const {
    if (nodes_[a].isolated || nodes_[b].isolated) return false;
    auto da = domain_of(a);
    auto db = domain_of(b);
    return da == db || (!domain_partitioned_[da] && !domain_partitioned_[db]);
  }
  bool drops(std::size_t a, std::size_t b) {
    if (options_.loss <= 0) return false;
    // Partial partitions are not simulated inside a failure domain: at most two
    // datagrams in a row are lost.
    auto& losses = consecutive_losses_[a * nodes_.size() + b];
    if (losses >= 2 || !chance(options_.loss)) {
      losses = 0;
      return false;
    }
    ++losses;
    return true;
  }
  duration delay(std::size_t a, std::size_t b) {
    bool near = domain_of(a) == domain_of(b);
    return duration(near ? 250 : 1000) + uniform(duration(100)) +
           uniform(options_.jitter);
  }

  void deliver(std::size_t to, instance_limits::event event) {
    auto& receiver = nodes_[to];
    if (!receiver.limits) {
      if (auto* arrived = std::get_if<team_arrival>(&event)) {
        finish_request(arrived->request, false);
      }
      return;
    }
    if (receiver.paused) {
      receiver.inbox.push_back(std::move(event));
      return;
    }
    run_step(to, event);
  }

  void run_step(std::size_t node, const instance_limits::event& event) {
    auto& state = nodes_[node];
    ++count.steps;
    std::vector<instance_limits::action> actions;
    if (measure) {
      auto before = std::chrono::steady_clock::now();
      actions = state.limits->step(now_, event);
      count.seconds += std::chrono::duration<double>(
                           std::chrono::steady_clock::now() - before)
                           .count();
    } else {
      actions = state.limits->step(now_, event);
    }
    for (auto& action : actions) {
      std::visit([&](auto& output) { apply_action(node, output); }, action);
    }
    if (state.limits->has_waiting_requests() && !state.ticking) {
      state.ticking = true;
      auto incarnation = state.incarnation;
      after(milliseconds(1), [=, this] {
        if (nodes_[node].incarnation != incarnation) return;
        nodes_[node].ticking = false;
        if (!nodes_[node].paused) deliver(node, tick{});
      });
    }
  }

  void apply_action(std::size_t, const admitted& action) {
    finish_request(action.request, true);
  }
  void apply_action(std::size_t, const refused& action) {
    finish_request(action.request, false);
  }
  void apply_action(std::size_t from, send_limits& action) {
    ++count.messages;
    auto to = node_of(action.to);
    bool holder = open_seat_count(from) > 0 || open_seat_count(to) > 0;
    if (holder) ++count.holder_messages;
    if (options_.check_size) {
      datagram encoded;
      encoded.part = control_part::limits;
      encoded.from = id(from);
      encoded.payload = encode(action.message);
      count.bytes += pack(encoded).size();
    }
    if (!connected(from, to) || drops(from, to)) return;
    limits_received received{id(from), nodes_[from].incarnation,
                             std::move(action.message)};
    if (chance(options_.duplicates)) transmit(from, to, received);
    transmit(from, to, std::move(received));
  }
  void transmit(std::size_t from, std::size_t to, limits_received received) {
    auto wait = delay(from, to);
    if (chance(options_.stragglers)) wait += uniform(milliseconds(150));
    after(wait, [this, from, to, received = std::move(received)] {
      if (connected(from, to)) deliver(to, received);
    });
  }
  void apply_action(std::size_t from, const read_object& action) {
    ++count.platform_calls;
    after(milliseconds(2), [=, this] {
      object_read answer{action.kind, action.key, read_result::unreachable, 0,
                         ""};
      bool up = reaches_platform(from) && !chance(options_.lost_answers);
      if (up) {
        auto it = objects_.find(action.key);
        answer.result =
            it == objects_.end() ? read_result::absent : read_result::found;
        if (it != objects_.end()) {
          answer.version = it->second.version;
          answer.value = it->second.value;
        }
      }
      answer_platform(from, answer, up);
    });
  }
  void apply_action(std::size_t from, const write_object& action) {
    ++count.platform_calls;
    bool lost_answer = chance(options_.lost_answers);
    // A write whose answer is lost may also take effect late.
    auto wait =
        milliseconds(2) + (lost_answer ? uniform(seconds(3)) : duration(0));
    if (!reaches_platform(from)) {
      object_written answer{action.kind, action.key, write_result::unknown, 0};
      return answer_platform(from, answer, false);
    }
    after(wait, [=, this] {
      object_written answer{action.kind, action.key, write_result::conflict, 0};
      auto& stored = objects_[action.key];
      if (stored.version == action.if_version) {
        stored = {stored.version + 1, action.value};
        answer.result = write_result::written;
        answer.version = stored.version;
      } else if (stored.version == 0) {
        objects_.erase(action.key);
      }
      if (!lost_answer) answer_platform(from, answer, true);
    });
    if (!lost_answer) return;
    object_written answer{action.kind, action.key, write_result::unknown, 0};
    answer_platform(from, answer, false);
  }
  template <class Answer>
  void answer_platform(std::size_t to, const Answer& answer, bool answered) {
    auto incarnation = nodes_[to].incarnation;
    after(answered ? milliseconds(1) : milliseconds(300), [=, this] {
      if (nodes_[to].incarnation == incarnation) deliver(to, answer);
    });
  }
  bool reaches_platform(std::size_t node) const {
    return !platform_down_ && !platform_unreachable_[domain_of(node)] &&
           !nodes_[node].isolated;
  }

  void tick_node(std::size_t node, std::uint64_t incarnation) {
    if (nodes_[node].incarnation != incarnation || !nodes_[node].limits) return;
    if (!nodes_[node].paused) deliver(node, tick{});
    after(milliseconds(50), [=, this] { tick_node(node, incarnation); });
  }

  // Heartbeats of the membership, which count as contact for the limits.
  void send_heartbeats(std::size_t node, std::uint64_t incarnation) {
    if (nodes_[node].incarnation != incarnation || !nodes_[node].limits) return;
    if (!nodes_[node].paused) {
      auto first = domain_of(node) * options_.instances;
      auto stride = std::max<std::size_t>(1, options_.instances / 8);
      for (auto to = first + random_() % stride;
           to < first + options_.instances; to += stride) {
        if (to == node || !connected(node, to) || drops(node, to)) continue;
        after(delay(node, to),
              [=, this] { deliver(to, peer_heard{id(node)}); });
      }
    }
    after(milliseconds(200), [=, this] { send_heartbeats(node, incarnation); });
  }

  void resume(std::size_t node, std::uint64_t incarnation) {
    auto& state = nodes_[node];
    if (state.incarnation != incarnation || !state.limits) return;
    state.paused = false;
    auto inbox = std::exchange(state.inbox, {});
    for (auto& event : inbox) run_step(node, event);
  }

  void next_arrival(std::size_t team) {
    double rate = options_.offered_rates[team];
    double wait = std::exponential_distribution<>(rate)(random_);
    after(duration(static_cast<std::int64_t>(wait * 1e6)), [=, this] {
      if (load_shares_[team] >= 1 || chance(load_shares_[team])) arrive(team);
      next_arrival(team);
    });
  }
  void arrive(std::size_t team) {
    // The load balancer sends no requests to instances that are down.
    std::size_t node = random_() % nodes_.size();
    for (int i = 0; i < 20 && !alive(node); ++i) {
      node = random_() % nodes_.size();
    }
    auto request = ++requests_;
    open_requests_[request] = {team, now_};
    if (on_arrival) on_arrival(team, request, node);
    deliver(node, team_arrival{options_.teams[team].team, request});
  }
  void finish_request(std::uint64_t request, bool was_admitted) {
    auto it = open_requests_.find(request);
    auto [team, arrived] = it->second;
    open_requests_.erase(it);
    if (now_ > arrived) {
      ++count.waited;
      count.wait_seconds +=
          std::chrono::duration<double>(now_ - arrived).count();
    }
    if (was_admitted) bounds_[team].admitted(now_);
    if (on_finished) on_finished(team, request, was_admitted);
  }

  fleet_options options_;
  std::mt19937_64 random_;
  instant now_{seconds(1000)};
  std::uint64_t next_order_ = 0;
  std::priority_queue<scheduled_task> queue_;
  std::vector<domain_id> domains_;
  std::vector<fleet_node> nodes_;
  std::vector<double> load_shares_;  ///< Share of the offered load.
  std::vector<bool> domain_partitioned_;
  std::vector<bool> platform_unreachable_;
  bool platform_down_ = false;
  std::map<std::string, object> objects_;
  std::unordered_map<std::uint64_t, int> consecutive_losses_;
  std::uint64_t requests_ = 0;
  std::unordered_map<std::uint64_t, std::pair<std::size_t, instant>>
      open_requests_;
  std::vector<bound_check> bounds_;
};

}  // namespace toucanmux::test
