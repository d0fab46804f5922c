#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "toucanmux/proxy/rate-ledger.h"

namespace toucanmux::test {

using namespace std::chrono_literals;

inline const team_id team("glaziers");

inline team_plan plan_of(double rate, double burst) {
  return {team, rate, burst, {}};
}

inline member_id member_name(std::size_t i) {
  return member_id("edge-" + std::to_string(i));
}

/// Several instances with a ledger each, on one simulated clock.
class simulated_fleet {
 public:
  simulated_fleet(std::size_t count, duration report_check_interval)
      : ledgers_(count), report_check_interval_(report_check_interval) {}
  virtual ~simulated_fleet() = default;
  simulated_fleet(const simulated_fleet&) = delete;
  simulated_fleet(simulated_fleet&&) = delete;
  simulated_fleet& operator=(const simulated_fleet&) = delete;
  simulated_fleet& operator=(simulated_fleet&&) = delete;

  /// Offers operations to all instances, `per_second` in total.
  void run(duration length, double per_second, std::mt19937& random) {
    auto end = now + length;
    std::exponential_distribution<double> gap(per_second);
    auto next = now;
    while (now < end) {
      next += std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(gap(random)));
      while (report_due_ <= next) {
        now = report_due_;
        report_due_ += report_check_interval_;
        report();
      }
      now = next;
      auto index = pick_instance(random);
      ++requested;
      if (!ledgers_[index].admit(now, team).admitted) continue;
      ++admitted;
      admitted_at_.push_back(now);
    }
  }

  /// Advances the clock without operations or reports; the next report follows
  /// one interval later.
  void idle(duration length) {
    now += length;
    report_due_ = now + report_check_interval_;
  }

  /// The largest number of operations admitted in any window of this length.
  std::size_t max_admitted_within(duration window) const {
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted_at_.size(); ++last) {
      while (admitted_at_[last] - admitted_at_[first] >= window) ++first;
      largest = std::max(largest, last - first + 1);
    }
    return largest;
  }

  instant now{100s};
  std::size_t requested = 0;
  std::size_t admitted = 0;

 protected:
  /// Index of the instance that gets the next operation.
  virtual std::size_t pick_instance(std::mt19937& random) const = 0;
  /// Called at each check interval to send the reports that are due.
  virtual void report() = 0;

  std::vector<rate_ledger> ledgers_;

 private:
  duration report_check_interval_;
  instant report_due_{100s};
  std::vector<instant> admitted_at_;
};

/// Several instances that report to each other.
class fleet final : public simulated_fleet {
 public:
  fleet(std::size_t count, team_plan plan, duration interval)
      : simulated_fleet(count, 200ms),
        plan_(std::move(plan)),
        interval_(interval) {
    for (std::size_t i = 0; i < count; ++i) start(i);
  }

  void start(std::size_t i) {
    ledgers_[i] = rate_ledger();
    ++incarnations_[i];
    ledgers_[i].configure(now, std::span(&plan_, 1));
    for (std::size_t j = 0; j < ledgers_.size(); ++j) {
      if (j != i) ledgers_[i].add_peer(now, member_name(j));
    }
  }

  /// Instances below this index are partitioned from all others.
  std::size_t partition_index = 0;

 private:
  std::size_t pick_instance(std::mt19937& random) const override {
    return std::min<std::size_t>(random() % (ledgers_.size() + 2),
                                 ledgers_.size() - 1);
  }

  void report() override {
    for (std::size_t i = 0; i < ledgers_.size(); ++i) {
      bool due = now >= next_report_at_[i] || ledgers_[i].needs_report();
      if (!due) continue;
      next_report_at_[i] = now + interval_;
      auto uses = ledgers_[i].report(true);
      ledgers_[i].mark_reported();
      bool settled = ledgers_[i].settled(now);
      for (std::size_t j = 0; j < ledgers_.size(); ++j) {
        bool partitioned = (i < partition_index) != (j < partition_index);
        if (i == j || partitioned) continue;
        ledgers_[j].apply_report(now, member_name(i), incarnations_[i], settled,
                                 uses);
      }
    }
  }

  team_plan plan_;
  duration interval_;
  std::map<std::size_t, std::uint64_t> incarnations_;
  std::map<std::size_t, instant> next_report_at_;
};

// An overloading team sends 7.5 times its usual load, and its rate is 1.6 times
// that load.
inline constexpr double usual_load = 1 / 1.6;
inline constexpr double overload = 7.5 / 1.6;

// The platform's bound on a team's admitted operations within five seconds.
inline double bound(double rate, double burst) {
  return (rate * 5 + burst) * 1.1 + 20;
}

}  // namespace toucanmux::test
