// In simulated time: which reads go to replicas, how many answers are stale
// and what the routing costs, by the replicas' lag. The entry's own decision
// classes are used.
#include <algorithm>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "toucanmux/request/position-check.h"
#include "toucanmux/request/request-attempts.h"

using namespace toucanmux;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t domain_count = 3;
constexpr std::size_t sessions = 200;
constexpr double write_share = 0.1;
constexpr double roaming_share = 0.1;
constexpr duration latency_between_domains = milliseconds(1);
constexpr duration latency_within_domain = microseconds(200);
constexpr duration service = milliseconds(1);
constexpr duration hint_interval = milliseconds(100);
constexpr duration run_time = std::chrono::seconds(60);

struct policy {
  const char* name;
  duration short_wait;  ///< Longest wait for a replica to catch up.
  bool assume_fresh;    ///< Treat every replica as fresh.
};

struct totals {
  std::size_t reads = 0;
  std::size_t from_replica = 0;
  std::size_t too_stale = 0;
  std::size_t stale = 0;
  std::vector<double> latency_ms;
};

/// Runs scheduled functions in the order of their times.
class schedule {
 public:
  instant now() const { return now_; }

  void at(instant time, std::function<void()> task) {
    scheduled_.push({time, ++last_sequence_, std::move(task)});
  }
  void after(duration d, std::function<void()> task) {
    at(now_ + d, std::move(task));
  }
  void run_until(instant end) {
    while (!scheduled_.empty() && scheduled_.top().at < end) {
      auto next = scheduled_.top();
      scheduled_.pop();
      now_ = next.at;
      next.task();
    }
  }

 private:
  struct entry {
    instant at;
    std::uint64_t sequence;
    std::function<void()> task;
    bool operator<(const entry& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  instant now_{};
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<entry> scheduled_;
};

/// One database group, with an entry and a database in each domain. The primary
/// is in the first domain; a write is acknowledged when a replica has received
/// it.
class fleet {
 public:
  fleet(const policy& routing, duration lag, duration think_time)
      : routing_(routing), lag_(lag), think_time_(think_time) {
    for (std::size_t i = 0; i < domain_count; ++i) {
      database d;
      d.id = database_id("db-" + std::to_string(i));
      d.domain = domain_id("place-" + std::to_string(i));
      databases_.push_back(d);
    }
  }

  totals run() {
    for (std::size_t i = 0; i < sessions; ++i) {
      sessions_.push_back({i % domain_count, {}});
      schedule_next_request(i);
    }
    publish_hint();
    schedule_.run_until(instant(run_time));
    return std::move(totals_);
  }

 private:
  struct session {
    std::size_t home = 0;
    log_position written;
  };

  struct request {
    std::size_t session_index = 0;
    std::size_t entry = 0;
    bool read = true;
    instant started_at;
    log_position required;
    request_attempts attempts;
  };
  using request_ptr = std::shared_ptr<request>;

  double random_fraction() {
    return std::uniform_real_distribution<>()(random_);
  }

  static duration network_latency(std::size_t a, std::size_t b) {
    return a == b ? latency_within_domain : latency_between_domains;
  }

  void schedule_next_request(std::size_t session_index) {
    double mean = static_cast<double>(think_time_.count());
    std::exponential_distribution<double> gap(1 / mean);
    schedule_.after(duration(static_cast<std::int64_t>(gap(random_))),
                    [this, session_index] { start_request(session_index); });
  }

  void start_request(std::size_t session_index) {
    const auto& s = sessions_[session_index];
    auto entry =
        random_fraction() < roaming_share
            ? static_cast<std::size_t>(random_fraction() * domain_count)
            : s.home;
    request_attempts::settings settings;
    settings.max_replica_wait = routing_.short_wait;
    auto new_request = std::make_shared<request>(
        request{session_index, entry, random_fraction() >= write_share,
                schedule_.now(), s.written, request_attempts(settings)});
    request_started e;
    e.request = ++last_request_;
    e.access = new_request->read ? access_class::read : access_class::write;
    if (new_request->read) e.required = s.written;
    e.time_left = std::chrono::seconds(5);
    e.candidates = candidates(*new_request);
    step(new_request, e);
  }

  std::vector<candidate> candidates(const request& r) {
    auto out = rank_candidates(known_hints_[r.entry], databases_,
                               databases_[r.entry].domain, {r.required},
                               schedule_.now());
    for (auto& c : out) {
      if (routing_.assume_fresh) c.wait = duration(0);
    }
    return out;
  }

  void step(const request_ptr& r, const request_attempts::event& e) {
    for (const auto& a : r->attempts.step(schedule_.now(), e)) {
      std::visit(overloaded{[&](const send_attempt& s) { send(r, s); },
                            [&](const answer_caller& c) { finish(r, c); },
                            [&](const wake_at& w) {
                              schedule_.at(w.at, [this, r] {
                                step(r, attempt_timer());
                              });
                            },
                            [](const auto&) {}},
                 a);
    }
  }

  // The database's position is that at which the statement begins there.
  void send(const request_ptr& r, const send_attempt& s) {
    auto domain_index = static_cast<std::size_t>(s.database.value.back() - '0');
    auto one_way =
        network_latency(r->entry, domain_index) + latency_within_domain;
    schedule_.after(one_way, [this, r, id = s.id, domain_index, one_way] {
      attempt_answered e;
      e.id = id;
      if (!r->read) {
        writes_.push_back({schedule_.now()});
        e.position = {1, writes_.size()};
        auto acknowledged = 2 * latency_between_domains;
        return answer(r, e, domain_index, service + acknowledged + one_way);
      }
      e.position = position_of(domain_index);
      position_read check;
      check.required = r->required;
      check.position = e.position;
      check.replica = domain_index != 0;
      auto decision = position_check::step(schedule_.now(), check);
      if (std::holds_alternative<answer_behind>(decision[0])) {
        ++totals_.too_stale;
        e.outcome = outcome_code::behind;
        return answer(r, e, domain_index, one_way);
      }
      answer(r, e, domain_index, service + one_way);
    });
  }

  void answer(const request_ptr& r, const attempt_answered& e,
              std::size_t domain_index, duration after) {
    schedule_.after(after, [this, r, e, domain_index] {
      observe_position(known_hints_[r->entry], databases_[domain_index].id,
                       e.position);
      if (r->read && e.outcome == outcome_code::done && domain_index != 0) {
        ++totals_.from_replica;
      }
      step(r, e);
    });
  }

  void finish(const request_ptr& r, const answer_caller& a) {
    if (a.outcome == outcome_code::done && !r->read) {
      sessions_[r->session_index].written = a.position;
    }
    if (r->read) {
      ++totals_.reads;
      bool stale = a.outcome != outcome_code::done ||
                   !a.position.covers(sessions_[r->session_index].written);
      if (stale) ++totals_.stale;
      std::chrono::duration<double, std::milli> latency =
          schedule_.now() - r->started_at;
      totals_.latency_ms.push_back(latency.count());
    }
    schedule_next_request(r->session_index);
  }

  // A write reaches a replica after 0.5 to 1.5 times the lag, in order.
  log_position position_of(std::size_t domain_index) {
    if (domain_index == 0) return {1, writes_.size()};
    auto& replicated = replicated_writes_[domain_index];
    while (replicated < writes_.size()) {
      auto& delay = writes_[replicated].delay[domain_index];
      if (delay == duration(0)) {
        delay = duration(static_cast<std::int64_t>(
            static_cast<double>(lag_.count()) * (0.5 + random_fraction())));
      }
      if (writes_[replicated].at + delay > schedule_.now()) break;
      ++replicated;
    }
    return {1, replicated};
  }

  void publish_hint() {
    group_hint hint;
    hint.term = 1;
    hint.primary = databases_[0].id;
    for (std::size_t i = 0; i < domain_count; ++i) {
      auto age = i == 0 ? duration(0) : lag_ * 3 / 2;
      hint.databases.push_back({databases_[i].id, position_of(i), age, true});
    }
    schedule_.after(latency_between_domains, [this, hint] {
      for (auto& known : known_hints_) merge_hint(known, hint, schedule_.now());
    });
    schedule_.after(hint_interval, [this] { publish_hint(); });
  }

  struct write {
    instant at;
    duration delay[domain_count] = {};
  };

  policy routing_;
  duration lag_;
  duration think_time_;
  std::mt19937_64 random_{7};
  schedule schedule_;
  std::vector<database> databases_;
  std::vector<session> sessions_;
  std::vector<write> writes_;
  std::size_t replicated_writes_[domain_count] = {};
  known_hint known_hints_[domain_count];
  std::uint64_t last_request_ = 0;
  totals totals_;
};

void report(const policy& routing, duration lag, duration think_time) {
  auto result = fleet(routing, lag, think_time).run();
  std::sort(result.latency_ms.begin(), result.latency_ms.end());
  double sum = 0;
  for (double ms : result.latency_ms) sum += ms;
  auto reads = static_cast<double>(result.reads);
  std::printf(
      "lag %3lld ms  %-22s replicas %5.1f%%  too stale %4.1f%%  stale %zu  "
      "mean %5.2f ms  p99 %6.2f ms\n",
      static_cast<long long>(lag.count() / 1000), routing.name,
      100 * static_cast<double>(result.from_replica) / reads,
      100 * static_cast<double>(result.too_stale) / reads, result.stale,
      sum / reads, result.latency_ms[result.latency_ms.size() * 99 / 100]);
}

}  // namespace

int main() {
  const policy policies[] = {
      {"primary unless fresh", duration(0), false},
      {"replica, then primary", duration(0), true},
      {"wait up to 5 ms", milliseconds(5), false},
      {"wait up to 15 ms", milliseconds(15), false},
  };
  for (int think_ms : {20, 500}) {
    std::printf("sessions pause %d ms on average\n", think_ms);
    for (int lag_ms : {1, 10, 50, 200}) {
      for (const auto& routing : policies) {
        report(routing, milliseconds(lag_ms), milliseconds(think_ms));
      }
    }
  }
}
