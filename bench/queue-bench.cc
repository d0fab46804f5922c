// In simulated time: how one team at ten times its rate affects the other
// teams, and the processor time of a step of the queue.
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "toucanmux/process/fair-queue.h"

using namespace toucanmux;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t slots = 3;
constexpr double service_mean_s = 0.005;
// With eight teams, each can have 75 per second.
constexpr double team_rate = 60;
constexpr double run_s = 60;
constexpr duration time_left = milliseconds(1000);

instant to_instant(double seconds) {
  return instant(duration(static_cast<std::int64_t>(seconds * 1e6)));
}

struct job {
  std::size_t team = 0;
  instant arrived;
  double service_s = 0;
};

struct team_result {
  std::size_t offered = 0;
  std::size_t timed_out = 0;  ///< Refused after waiting in the queue.
  std::vector<double> latency_ms;

  double served_share() const {
    return static_cast<double>(latency_ms.size()) /
           static_cast<double>(std::max<std::size_t>(offered, 1));
  }
  double p99() {
    if (latency_ms.empty()) return 0;
    std::sort(latency_ms.begin(), latency_ms.end());
    return latency_ms[(latency_ms.size() - 1) * 99 / 100];
  }
};

/// A FIFO queue. A statement whose deadline has passed is refused when it
/// reaches the front.
class fifo_queue {
 public:
  explicit fifo_queue(std::size_t limit) : limit_(limit) {}

  fair_queue::actions step(instant now, const fair_queue::event& new_event) {
    fair_queue::actions out;
    if (const auto* e = std::get_if<slot_wanted>(&new_event)) {
      if (waiting_.size() >= limit_) {
        out.push_back(refuse_slot{e->id, reason_code::queue_full, {}});
      } else {
        waiting_.push_back({e->id, now + e->time_left});
      }
    }
    if (std::holds_alternative<slot_released>(new_event)) --running_;
    while (running_ < slots && !waiting_.empty()) {
      auto [id, deadline] = waiting_.front();
      waiting_.pop_front();
      if (deadline <= now) {
        out.push_back(refuse_slot{id, reason_code::deadline, {}});
        continue;
      }
      ++running_;
      out.push_back(grant_slot{id});
    }
    return out;
  }

 private:
  struct waiting_statement {
    std::uint64_t id;
    instant deadline;
  };

  std::size_t limit_;
  std::uint32_t running_ = 0;
  std::deque<waiting_statement> waiting_;
};

std::vector<job> make_jobs(std::size_t teams, double large_factor) {
  std::mt19937_64 random(11);
  std::exponential_distribution<double> service(1 / service_mean_s);
  std::vector<job> out;
  for (std::size_t team = 0; team < teams; ++team) {
    double rate = team_rate * (team == 0 ? large_factor : 1);
    std::exponential_distribution<double> gap(rate);
    for (double t = gap(random); t < run_s; t += gap(random)) {
      out.push_back({team, to_instant(t), service(random)});
    }
  }
  std::sort(out.begin(), out.end(),
            [](const job& a, const job& b) { return a.arrived < b.arrived; });
  return out;
}

/// Replays all jobs against a queue in simulated time.
template <class Queue>
class simulation {
 public:
  simulation(Queue& queue, const std::vector<job>& jobs)
      : queue_(queue), jobs_(jobs), results_(8) {}

  std::vector<team_result> run() {
    std::size_t next = 0;
    while (next < jobs_.size() || !completions_.empty()) {
      bool arrival =
          next < jobs_.size() &&
          (completions_.empty() || jobs_[next].arrived < completions_.top().at);
      auto now = arrival ? jobs_[next].arrived : completions_.top().at;
      run_timers(now);
      if (arrival) {
        submit(next++);
        continue;
      }
      auto id = completions_.top().id;
      completions_.pop();
      apply_actions(now, queue_.step(now, slot_released{id}));
    }
    return std::move(results_);
  }

 private:
  struct completion {
    instant at;
    std::uint64_t id;
    bool operator>(const completion& other) const { return at > other.at; }
  };

  void run_timers(instant now) {
    while (!timers_.empty() && *timers_.begin() <= now) {
      auto at = *timers_.begin();
      timers_.erase(timers_.begin());
      apply_actions(at, queue_.step(at, queue_timer()));
    }
  }

  void submit(std::size_t index) {
    const auto& entry = jobs_[index];
    ++results_[entry.team].offered;
    slot_wanted e;
    e.id = index + 1;
    e.team = team_id("team-" + std::to_string(entry.team));
    e.time_left = time_left;
    apply_actions(entry.arrived, queue_.step(entry.arrived, e));
  }

  void apply_actions(instant now, const fair_queue::actions& actions) {
    for (const auto& a : actions) {
      std::visit(overloaded{[&](const grant_slot& g) { grant(now, g.id); },
                            [&](const refuse_slot& r) { refuse(now, r); },
                            [&](const queue_wake& w) { timers_.insert(w.at); },
                            [](const end_transaction&) {}},
                 a);
    }
  }

  void grant(instant now, std::uint64_t id) {
    const auto& entry = jobs_[id - 1];
    auto at = now + duration(static_cast<std::int64_t>(entry.service_s * 1e6));
    completions_.push({at, id});
    auto latency =
        std::chrono::duration<double, std::milli>(at - entry.arrived);
    results_[entry.team].latency_ms.push_back(latency.count());
  }

  void refuse(instant now, const refuse_slot& r) {
    const auto& entry = jobs_[r.id - 1];
    if (now > entry.arrived) ++results_[entry.team].timed_out;
  }

  Queue& queue_;
  const std::vector<job>& jobs_;
  std::vector<team_result> results_;
  std::set<instant> timers_;
  std::priority_queue<completion, std::vector<completion>, std::greater<>>
      completions_;
};

template <class Queue>
void report(const char* name, Queue& queue, const std::vector<job>& jobs) {
  auto results = simulation<Queue>(queue, jobs).run();
  double served_share = 1;
  double p99 = 0;
  std::size_t timed_out = 0;
  std::size_t served = 0;
  for (std::size_t i = 0; i < results.size(); ++i) {
    served += results[i].latency_ms.size();
    timed_out += results[i].timed_out;
    if (i == 0) continue;
    served_share = std::min(served_share, results[i].served_share());
    p99 = std::max(p99, results[i].p99());
  }
  std::printf(
      "%-12s worst of the other teams: %5.1f%% served, p99 %7.1f ms; "
      "large team %5.1f%% served; %3.0f/s in total; %zu refused after "
      "waiting\n",
      name, served_share * 100, p99, results[0].served_share() * 100,
      static_cast<double>(served) / run_s, timed_out);
}

void compare(double large_factor) {
  auto jobs = make_jobs(8, large_factor);
  std::printf("one team at %.0f times its rate, %zu statements\n", large_factor,
              jobs.size());
  fair_queue::settings s;
  s.slots = slots;
  fair_queue fair(s);
  report("fair_queue", fair, jobs);
  fifo_queue fifo(static_cast<std::size_t>(-1));
  report("fifo", fifo, jobs);
  fifo_queue bounded(100);
  report("fifo of 100", bounded, jobs);
}

/// Measures the processor time per statement while all teams have statements
/// waiting.
void measure_cost(std::size_t teams) {
  constexpr std::size_t statements = 400000;
  constexpr std::size_t waiting_per_team = 4;
  fair_queue::settings s;
  s.slots = slots;
  s.total_limit = 100000;
  fair_queue queue(s);
  std::vector<team_id> names;
  for (std::size_t i = 0; i < teams; ++i) {
    names.emplace_back("team-" + std::to_string(i));
  }
  std::deque<std::uint64_t> running;
  std::uint64_t id = 0;
  auto apply_actions = [&](const fair_queue::actions& actions) {
    for (const auto& a : actions) {
      if (const auto* g = std::get_if<grant_slot>(&a)) running.push_back(g->id);
    }
  };
  instant now(milliseconds(1));
  auto submit = [&] {
    slot_wanted e;
    e.id = ++id;
    e.team = names[id % teams];
    e.time_left = std::chrono::hours(1);
    apply_actions(queue.step(now, e));
  };
  for (std::size_t i = 0; i < teams * waiting_per_team; ++i) submit();
  auto start = std::clock();
  for (std::size_t i = 0; i < statements; ++i) {
    now += std::chrono::microseconds(100);
    submit();
    auto done = running.front();
    running.pop_front();
    apply_actions(queue.step(now, slot_released{done}));
  }
  double processor_seconds =
      static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  std::printf(
      "%4zu teams, %5zu waiting: %.2f us of processor time per statement\n",
      teams, queue.waiting(), processor_seconds / statements * 1e6);
}

}  // namespace

int main() {
  compare(1);
  compare(10);
  for (std::size_t teams : {8, 80, 800}) measure_cost(teams);
}
