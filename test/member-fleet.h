#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "toucanmux/codec.h"
#include "toucanmux/process/config-follower.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/process/membership.h"

namespace toucanmux {

/// Simulates the membership and configuration decisions of many members in one
/// process, with a simulated network and platform. Every datagram is packed and
/// unpacked as on the wire.
class member_fleet {
 public:
  struct options {
    std::size_t members = 12;
    std::size_t domains = 3;
    double loss = 0;  ///< Fraction of datagrams that are lost.
    std::uint64_t seed = 1;
    duration tick_interval = std::chrono::milliseconds(100);
    /// The first members serve as seeds: all others know their addresses at the
    /// start.
    std::size_t seeds = 3;
  };

  struct counters {
    std::uint64_t datagrams = 0;
    std::uint64_t datagram_bytes = 0;
    std::uint64_t largest_datagram_bytes = 0;
    std::uint64_t fetches = 0;
    std::uint64_t fetch_bytes = 0;
    std::uint64_t platform_calls = 0;
  };

  struct node {
    member self;
    std::unique_ptr<membership> members;
    std::unique_ptr<config_follower> config;
    bool running = false;
    bool paused = false;
    bool members_changed = true;
    /// Changes when the member is started or killed; events of an earlier
    /// generation are dropped.
    std::uint64_t generation = 0;
    std::map<std::string, std::uint64_t> active_versions;
    /// Events that arrived while the process was paused.
    std::vector<std::function<void()>> deferred;
  };

  explicit member_fleet(const options& values);

  void start(std::size_t index);
  void start_all();
  /// Ends a process abruptly; its peers get no message.
  void kill(std::size_t index);
  void pause(std::size_t index);
  void resume(std::size_t index);
  /// Partitions a domain from all others, and optionally from the platform.
  void partition(const domain_id& domain, bool from_platform);
  void heal(const domain_id& domain);
  void set_platform_up(bool up) { platform_up_ = up; }
  /// Writes an object to the platform and answers the waiting watches of its
  /// kind.
  /// @return the new revision.
  std::uint64_t write_object(const std::string& kind, const std::string& key,
                             const std::string& value);
  void run_for(duration time);
  void step_members(std::size_t index, const membership::event& new_event);

  instant now() const { return now_; }
  std::vector<node>& nodes() { return nodes_; }
  counters& counts() { return counts_; }
  std::size_t waiting_watches() const { return waiting_watches_.size(); }

  /// True if every running member knows exactly the running members of its
  /// domain and the running pools of the other domains.
  bool converged() const;
  /// The number of running members in which this version is not active.
  std::size_t members_without(const std::string& name,
                              std::uint64_t version) const;
  /// The last violated invariant; empty if none.
  const std::string& violation() const { return violation_; }

 private:
  struct scheduled {
    instant due_at;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator>(const scheduled& other) const {
      return std::pair(due_at, sequence) >
             std::pair(other.due_at, other.sequence);
    }
  };
  struct waiting_watch {
    std::uint64_t id = 0;
    std::size_t index = 0;
    std::uint64_t generation = 0;
    config_follower::watch_kind request;
  };

  void schedule_after(duration time, std::function<void()> action);
  /// Runs the action if the member is still in this generation. While its
  /// process is paused, the action is deferred until it resumes.
  void run_on_member(std::size_t index, std::uint64_t generation,
                     std::function<void()> action);
  void tick(std::size_t index, std::uint64_t generation);
  void step_config(std::size_t index, const config_follower::event& new_event);
  void execute_actions(std::size_t index,
                       const std::vector<membership::action>& actions);
  void execute_actions(std::size_t index,
                       const std::vector<config_follower::action>& actions);
  void transmit(std::size_t index, std::uint16_t port,
                const member_message& message);
  void deliver(std::size_t index, const std::string& bytes);
  void watch(std::size_t index, const config_follower::watch_kind& request);
  void end_watch(const waiting_watch& watch, bool reached);
  void fetch(std::size_t index,
             const config_follower::fetch_from_peer& request);
  void record_activation(std::size_t index, const config_object& object);
  bool connected(const domain_id& a, const domain_id& b) const;
  bool reaches_platform(std::size_t index) const;
  static std::string domain_name(std::size_t domain);

  options values_;
  std::mt19937_64 random_;
  instant now_;
  std::uint64_t last_event_number_ = 0;
  std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>>
      scheduled_events_;
  std::vector<node> nodes_;
  std::set<domain_id> partitioned_domains_;
  std::set<domain_id> domains_without_platform_;
  bool platform_up_ = true;
  std::uint64_t revision_ = 0;
  std::map<std::pair<std::string, std::string>, config_object>
      platform_objects_;
  std::vector<waiting_watch> waiting_watches_;
  counters counts_;
  std::string violation_;
  std::vector<config_object> fetched_objects_;
};

// Ports identify members: member i listens on port i + 1.

inline member_fleet::member_fleet(const options& values)
    : values_(values), random_(values.seed), nodes_(values.members) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    member& self = nodes_[i].self;
    auto domain = i % values.domains;
    // Each instance has two processes, an entry and a pool.
    auto instance = i / values.domains / 2;
    bool pool = i / values.domains % 2 == 0;
    self.domain = domain_id(domain_name(domain));
    self.id = member_id(self.domain.value + "-" + std::to_string(instance) +
                        (pool ? "/pool" : "/entry"));
    self.role = pool ? member_role::pool : member_role::entry;
    self.address = "127.0.0.1";
    self.control_port = static_cast<std::uint16_t>(i + 1);
  }
}

inline std::string member_fleet::domain_name(std::size_t domain) {
  return "domain-" + std::to_string(domain);
}

inline void member_fleet::start(std::size_t index) {
  node& node_state = nodes_[index];
  node_state.running = true;
  node_state.paused = false;
  node_state.deferred.clear();
  ++node_state.generation;
  ++node_state.self.incarnation;
  membership::settings settings;
  settings.self = node_state.self;
  settings.random_seed = random_();
  for (std::size_t i = 0; i < values_.seeds; ++i) {
    settings.seeds.push_back({"127.0.0.1", static_cast<std::uint16_t>(i + 1)});
  }
  node_state.members = std::make_unique<membership>(settings);
  config_follower::settings follower;
  follower.self = node_state.self.id;
  follower.random_seed = random_();
  node_state.config = std::make_unique<config_follower>(follower);
  node_state.active_versions.clear();
  node_state.members_changed = true;
  auto phase = duration(static_cast<duration::rep>(
      random_() % static_cast<std::uint64_t>(values_.tick_interval.count())));
  schedule_after(phase, [this, index, generation = node_state.generation] {
    tick(index, generation);
  });
}

inline void member_fleet::start_all() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) start(i);
}

inline void member_fleet::kill(std::size_t index) {
  nodes_[index].running = false;
  ++nodes_[index].generation;
}

inline void member_fleet::pause(std::size_t index) {
  nodes_[index].paused = true;
}

inline void member_fleet::resume(std::size_t index) {
  nodes_[index].paused = false;
  auto deferred = std::exchange(nodes_[index].deferred, {});
  for (auto& action : deferred) action();
}

inline void member_fleet::partition(const domain_id& domain,
                                    bool from_platform) {
  partitioned_domains_.insert(domain);
  if (from_platform) domains_without_platform_.insert(domain);
}

inline void member_fleet::heal(const domain_id& domain) {
  partitioned_domains_.erase(domain);
  domains_without_platform_.erase(domain);
}

inline std::uint64_t member_fleet::write_object(const std::string& kind,
                                                const std::string& key,
                                                const std::string& value) {
  platform_objects_[{kind, key}] = {kind, key, ++revision_, value};
  auto waiting = std::exchange(waiting_watches_, {});
  for (const auto& waiting_request : waiting) {
    if (waiting_request.request.kind == kind) {
      end_watch(waiting_request, true);
    } else {
      waiting_watches_.push_back(waiting_request);
    }
  }
  return revision_;
}

inline void member_fleet::run_for(duration time) {
  instant end = now_ + time;
  while (!scheduled_events_.empty() && scheduled_events_.top().due_at <= end) {
    auto next = scheduled_events_.top();
    scheduled_events_.pop();
    now_ = next.due_at;
    next.action();
  }
  now_ = end;
}

inline void member_fleet::step_members(std::size_t index,
                                       const membership::event& new_event) {
  execute_actions(index, nodes_[index].members->step(now_, new_event));
}

inline bool member_fleet::converged() const {
  std::map<domain_id, std::set<member_id>> running_members;
  std::map<domain_id, std::set<member_id>> running_pools;
  for (const auto& node_state : nodes_) {
    if (!node_state.running) continue;
    running_members[node_state.self.domain].insert(node_state.self.id);
    if (node_state.self.role == member_role::pool) {
      running_pools[node_state.self.domain].insert(node_state.self.id);
    }
  }
  std::size_t known = 0;
  for (const auto& [domain, ids] : running_pools) known += ids.size();
  // Comparing the counts is cheap and nearly always detects disagreement.
  for (const auto& node_state : nodes_) {
    if (!node_state.running) continue;
    std::size_t live = 0;
    for (const auto& [key, view] : node_state.members->table().domains()) {
      live += view.live.size();
    }
    auto own = node_state.self.domain;
    if (live != known - running_pools[own].size() + running_members[own].size())
      return false;
  }
  for (const auto& node_state : nodes_) {
    if (!node_state.running) continue;
    std::map<domain_id, std::set<member_id>> live_members;
    for (const auto& [key, view] : node_state.members->table().domains()) {
      for (const auto* record : view.live) {
        live_members[record->known.info.domain].insert(record->known.info.id);
      }
    }
    auto expected = running_pools;
    expected[node_state.self.domain] = running_members[node_state.self.domain];
    if (live_members != expected) return false;
  }
  return true;
}

inline std::size_t member_fleet::members_without(const std::string& name,
                                                 std::uint64_t version) const {
  std::size_t count = 0;
  for (const auto& node_state : nodes_) {
    if (!node_state.running) continue;
    auto it = node_state.active_versions.find(name);
    if (it == node_state.active_versions.end() || it->second < version) ++count;
  }
  return count;
}

inline void member_fleet::schedule_after(duration time,
                                         std::function<void()> action) {
  scheduled_events_.push(
      {now_ + time, ++last_event_number_, std::move(action)});
}

inline void member_fleet::run_on_member(std::size_t index,
                                        std::uint64_t generation,
                                        std::function<void()> action) {
  node& node_state = nodes_[index];
  if (!node_state.running || node_state.generation != generation) return;
  if (node_state.paused) {
    node_state.deferred.push_back(
        [this, index, generation, action = std::move(action)] {
          run_on_member(index, generation, action);
        });
    return;
  }
  action();
}

inline void member_fleet::tick(std::size_t index, std::uint64_t generation) {
  run_on_member(index, generation, [this, index, generation] {
    node& node_state = nodes_[index];
    execute_actions(index, node_state.members->step(now_, membership::tick()));
    if (node_state.members_changed) {
      node_state.members_changed = false;
      config_follower::domain_members live;
      for (const auto* record : node_state.members->table().own().live) {
        if (record->known.info.state != member_state::leaving) {
          live.members.push_back(record->known.info.id);
        }
      }
      step_config(index, live);
    }
    step_config(index, config_follower::tick());
    schedule_after(values_.tick_interval,
                   [this, index, generation] { tick(index, generation); });
  });
}

inline void member_fleet::step_config(std::size_t index,
                                      const config_follower::event& new_event) {
  node& node_state = nodes_[index];
  bool was_ready = node_state.config->ready();
  execute_actions(index, node_state.config->step(now_, new_event));
  if (was_ready || !node_state.config->ready()) return;
  if (!node_state.active_versions.contains("lists/teams") ||
      !node_state.active_versions.contains("lists/plans")) {
    violation_ = node_state.self.id.value + " is ready without active lists";
  }
}

inline void member_fleet::execute_actions(
    std::size_t index, const std::vector<membership::action>& actions) {
  for (const auto& action : actions) {
    std::visit(
        overloaded{
            [&](const membership::member_changed&) {
              nodes_[index].members_changed = true;
            },
            [&](const membership::peer_digest& received) {
              step_config(index, config_follower::peer_digest{received.from,
                                                              received.digest});
            },
            [](const membership::told_to_leave&) {},
            [&](const auto& sent) { transmit(index, sent.port, sent.message); },
        },
        action);
  }
}

inline void member_fleet::execute_actions(
    std::size_t index, const std::vector<config_follower::action>& actions) {
  for (const auto& action : actions) {
    std::visit(overloaded{
                   [&](const config_follower::watch_kind& request) {
                     watch(index, request);
                   },
                   [&](const config_follower::fetch_from_peer& request) {
                     fetch(index, request);
                   },
                   [&](const config_follower::send_objects& given) {
                     fetched_objects_ = given.objects;
                   },
                   [&](const config_follower::activate_object& taken) {
                     record_activation(index, taken.object);
                   },
                   [&](const config_follower::set_digest& set) {
                     step_members(
                         index, membership::set_digest{set.digest, set.urgent});
                   },
                   [](const config_follower::refuse_object&) {},
                   [](const config_follower::become_ready&) {},
               },
               action);
  }
}

inline void member_fleet::record_activation(std::size_t index,
                                            const config_object& object) {
  auto name = object.kind + "/" + object.key;
  auto& version = nodes_[index].active_versions[name];
  if (object.version <= version) {
    violation_ =
        nodes_[index].self.id.value + " activated an older version of " + name;
  }
  version = object.version;
}

inline bool member_fleet::connected(const domain_id& a,
                                    const domain_id& b) const {
  return a == b || (!partitioned_domains_.contains(a) &&
                    !partitioned_domains_.contains(b));
}

inline bool member_fleet::reaches_platform(std::size_t index) const {
  return platform_up_ &&
         !domains_without_platform_.contains(nodes_[index].self.domain);
}

inline void member_fleet::transmit(std::size_t index, std::uint16_t port,
                                   const member_message& message) {
  const member& from = nodes_[index].self;
  datagram envelope;
  envelope.part = control_part::membership;
  envelope.from = from.id;
  envelope.incarnation = from.incarnation;
  envelope.payload = encode(message);
  auto bytes = pack(envelope);
  ++counts_.datagrams;
  counts_.datagram_bytes += bytes.size();
  counts_.largest_datagram_bytes =
      std::max<std::uint64_t>(counts_.largest_datagram_bytes, bytes.size());
  std::size_t to = port - 1U;
  bool lost =
      static_cast<double>(random_() % 1'000'000) < values_.loss * 1'000'000;
  if (lost || !connected(from.domain, nodes_[to].self.domain)) return;
  bool far = from.domain != nodes_[to].self.domain;
  auto delay =
      std::chrono::microseconds(100 + random_() % 100 + (far ? 1000 : 0));
  schedule_after(delay, [this, to, generation = nodes_[to].generation,
                         bytes = std::move(bytes)] {
    run_on_member(to, generation, [this, to, bytes] { deliver(to, bytes); });
  });
}

inline void member_fleet::deliver(std::size_t index, const std::string& bytes) {
  auto received = unpack_datagram(bytes);
  auto message = decode<member_message>(received.payload);
  std::visit(
      [&](auto& payload) {
        using type = std::decay_t<decltype(payload)>;
        step_members(index, membership::received<type>{received.from,
                                                       std::move(payload)});
      },
      message);
}

inline void member_fleet::watch(std::size_t index,
                                const config_follower::watch_kind& request) {
  ++counts_.platform_calls;
  waiting_watch new_watch{++last_event_number_, index, nodes_[index].generation,
                          request};
  if (!reaches_platform(index)) {
    schedule_after(std::chrono::seconds(1),
                   [this, new_watch] { end_watch(new_watch, false); });
    return;
  }
  bool newer = request.since == 0;
  for (const auto& [name, object] : platform_objects_) {
    if (object.kind == request.kind && object.version > request.since)
      newer = true;
  }
  if (newer) return end_watch(new_watch, true);
  waiting_watches_.push_back(new_watch);
  schedule_after(request.wait, [this, new_watch] {
    if (std::erase_if(waiting_watches_, [&](const auto& waiting) {
          return waiting.id == new_watch.id;
        }) > 0) {
      end_watch(new_watch, true);
    }
  });
}

inline void member_fleet::end_watch(const waiting_watch& watch, bool reached) {
  config_follower::watch_ended ended{
      watch.request.kind, reached, revision_, {}};
  for (const auto& [name, object] : platform_objects_) {
    if (object.kind == watch.request.kind &&
        object.version > watch.request.since) {
      ended.objects.push_back(object);
    }
  }
  ended.reached = reached && reaches_platform(watch.index);
  if (!ended.reached) ended.objects.clear();
  schedule_after(std::chrono::milliseconds(3), [this, watch, ended] {
    run_on_member(watch.index, watch.generation,
                  [this, watch, ended] { step_config(watch.index, ended); });
  });
}

inline void member_fleet::fetch(
    std::size_t index, const config_follower::fetch_from_peer& request) {
  ++counts_.fetches;
  std::size_t peer = 0;
  while (nodes_[peer].self.id != request.peer) ++peer;
  auto generation = nodes_[index].generation;
  const node& peer_state = nodes_[peer];
  bool reached = peer_state.running && !peer_state.paused &&
                 connected(nodes_[index].self.domain, peer_state.self.domain);
  auto delay = std::chrono::milliseconds(reached ? 3 : 1000);
  config_follower::fetch_ended ended{request.peer, reached, {}};
  if (reached) {
    step_config(peer, config_follower::peer_fetches{1, request.newer_than});
    ended.objects = std::exchange(fetched_objects_, {});
    counts_.fetch_bytes += encode(ended.objects).size();
  }
  schedule_after(delay, [this, index, generation, ended] {
    run_on_member(index, generation,
                  [this, index, ended] { step_config(index, ended); });
  });
}

}  // namespace toucanmux
