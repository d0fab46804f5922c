#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <vector>

#include "toucanmux/proxy/placement/group-placement.h"
#include "toucanmux/proxy/placement/load-meter.h"
#include "toucanmux/proxy/placement/outcome-score.h"

namespace toucanmux::test {

using namespace std::chrono_literals;

inline constexpr std::size_t databases = 3;
inline constexpr std::size_t choosers = 136;
inline constexpr std::size_t slots = 4;
inline constexpr duration step = 2ms;
inline constexpr duration report_interval = 400ms;
inline constexpr duration settling = 4s;
// As long as a burst.
inline constexpr duration window = 4s;
// The target of the specification.
inline constexpr double max_imbalance = 1.3;

struct pattern {
  double per_s = 100;  ///< Reads of the whole group.
  double writes_per_s = 0;
  double slowness = 1;      ///< Of database 1.
  double failed_share = 0;  ///< Of the reads at database 1.
  /// Database 1 fails only every other 3 s.
  bool flaps = false;
  /// One instance claims that database 2 is overloaded, slow and failing.
  bool false_report = false;
  double lost_reports = 0;        ///< Share.
  bool fleet_has_gap = false;     ///< No report reaches anybody for 2 s.
  double first_domain = 1 / 3.0;  ///< Share of the choosers in domain 0.
  bool domains = true;            ///< False: all choosers are far from all.
  double burst = 1;               ///< Load from 8 s to 11 s.
};

struct running {
  std::size_t chooser = 0;
  instant arrived;
  duration work_left;
  bool is_read = true;
  bool fails = false;
};

struct result {
  std::array<double, databases> busy{};  ///< Statements in progress, summed.
  std::array<int, databases> reads{};
  int away = 0;  ///< Reads at databases of other domains.
  int failed = 0;
  std::vector<std::array<double, databases>> windows;
  double imbalance() const { return ratio(busy); }
  /// Mean of the windows; high if the databases are overloaded in turn.
  double imbalance_in_turn() const {
    double sum = 0;
    for (const auto& work : windows) sum += ratio(work);
    return sum / static_cast<double>(windows.size());
  }
  static double ratio(const std::array<double, databases>& work) {
    auto sum = work[0] + work[1] + work[2];
    return *std::max_element(work.begin(), work.end()) / (sum / databases);
  }
};

// One group that many instances use, each with reports of its own age.
class replay {
 public:
  replay(const pattern& values, bool by_load, unsigned seed)
      : pattern_(values), by_load_(by_load), random_(seed) {
    std::uniform_int_distribution<int> delay(200, 1500);
    for (std::size_t i = 0; i < choosers; ++i) {
      auto& one = choosers_.emplace_back();
      one.delay = std::chrono::milliseconds(delay(random_));
      one.next_report = start + one.delay % report_interval;
      auto place = static_cast<double>(i) / choosers;
      if (place >= values.first_domain) one.domain = 1 + i % (databases - 1);
    }
  }

  result run(duration length) {
    for (now_ = start; now_ < start + length; now_ += step) {
      bool measured = now_ >= start + settling;
      if (measured && (now_ - start) % window == 0ms)
        result_.windows.emplace_back();
      work(measured);
      arrive(measured);
      report();
    }
    return result_;
  }

 private:
  struct instance {
    duration delay{};
    std::size_t domain = 0;
    instant next_report;
    load_view view;
    group_placement placement;
    std::array<load_meter, databases> meters;
    std::array<unsigned, databases> in_flight{};
    std::array<duration, databases> response{15ms, 15ms, 15ms};
    std::array<duration, databases> deviation{7ms, 7ms, 7ms};
    std::array<instant, databases> answered_at{start, start, start};
    std::array<outcome_score, databases> outcomes;
  };
  static constexpr instant start{10s};

  bool chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  void work(bool measured) {
    for (std::size_t d = 0; d < databases; ++d) {
      auto& queue = queues_[d];
      if (measured) {
        auto in_progress = static_cast<double>(queue.size());
        result_.busy[d] += in_progress;
        result_.windows.back()[d] += in_progress;
      }
      for (std::size_t i = 0; i < std::min(slots, queue.size()); ++i)
        queue[i].work_left -= step;
      std::erase_if(queue, [&](const running& item) {
        if (item.work_left > 0ms) return false;
        finish(d, item);
        return true;
      });
    }
  }

  void finish(std::size_t d, const running& item) {
    auto& one = choosers_[item.chooser];
    auto taken = now_ - item.arrived;
    --one.in_flight[d];
    one.meters[d].add_work(now_, taken);
    one.outcomes[d].record(now_, item.fails);
    if (!item.is_read) return;
    result_.failed += item.fails ? 1 : 0;
    one.meters[d].record_read(
        now_,
        item.fails ? load_meter::outcome::failed : load_meter::outcome::served,
        taken);
    if (item.fails) return;
    auto error = taken - one.response[d];
    one.response[d] += error / 5;
    one.deviation[d] += (std::chrono::abs(error) - one.deviation[d]) / 5;
    one.answered_at[d] = now_;
  }

  void arrive(bool measured) {
    bool bursts = now_ > start + 8s && now_ < start + 11s;
    auto seconds = std::chrono::duration<double>(step).count();
    auto mean = pattern_.per_s * seconds * (bursts ? pattern_.burst : 1);
    auto reads = std::poisson_distribution<int>(mean)(random_);
    for (int i = 0; i < reads; ++i) start_statement(true, measured);
    if (pattern_.writes_per_s <= 0) return;
    auto writes = std::poisson_distribution<int>(pattern_.writes_per_s *
                                                 seconds)(random_);
    for (int i = 0; i < writes; ++i) start_statement(false, measured);
  }

  void start_statement(bool is_read, bool measured) {
    running item;
    item.chooser =
        std::uniform_int_distribution<std::size_t>(0, choosers - 1)(random_);
    item.is_read = is_read;
    auto& one = choosers_[item.chooser];
    std::vector<upstream_candidate> candidates(databases);
    for (std::size_t d = 0; d < databases; ++d) {
      auto& candidate = candidates[d];
      candidate.index = d;
      candidate.leader = d == 0;
      candidate.usable = candidate.warm = candidate.can_open = true;
      candidate.same_domain = pattern_.domains && one.domain == d;
      candidate.in_flight = one.in_flight[d];
      candidate.response_time = one.response[d];
      candidate.response_deviation = one.deviation[d];
      candidate.idle_time = now_ - one.answered_at[d];
      candidate.open_time = 15ms;
      candidate.late_after = 250ms;
      candidate.slots = slots;
      candidate.failure_rate = one.outcomes[d].failure_rate(now_);
    }
    upstream_requirements requirements{!is_read, 0};
    auto chosen =
        by_load_ ? one.placement.choose(now_, candidates, requirements, ++seed_)
                 : choose_upstream(candidates, requirements);
    std::size_t d = chosen.value();
    double work_ms = std::lognormal_distribution<double>(
        std::log(is_read ? 15.0 : 4.0), 0.6)(random_);
    if (d == 1) work_ms *= pattern_.slowness;
    item.work_left = std::chrono::microseconds(std::lround(work_ms * 1000));
    bool in_failure = !pattern_.flaps || (now_ - start) % 6s < 3s;
    item.fails = d == 1 && in_failure && chance(pattern_.failed_share);
    item.arrived = now_;
    ++one.in_flight[d];
    queues_[d].push_back(item);
    if (!measured || !is_read) return;
    ++result_.reads[d];
    result_.away += candidates[d].same_domain ? 0 : 1;
  }

  // The sums of all instances' loads are kept and reach each of them late.
  void report() {
    if ((now_ - start) % 100ms == 0ms) history_.push_back(sums());
    bool gap =
        pattern_.fleet_has_gap && now_ > start + 8s && now_ < start + 10s;
    for (auto& one : choosers_) {
      if (now_ < one.next_report) continue;
      one.next_report += report_interval;
      auto index =
          static_cast<std::ptrdiff_t>(history_.size()) - 1 - one.delay / 100ms;
      if (index >= 0 && !gap && !chance(pattern_.lost_reports)) {
        auto loads = history_[static_cast<std::size_t>(index)];
        for (auto& load : loads) load.age = one.delay;
        one.view.apply(now_, 0, load_view::source_kind::fleet, loads);
      }
      std::array<group_placement::database_state, databases> states;
      for (std::size_t d = 0; d < databases; ++d)
        states[d] = {true, one.meters[d].load(now_, reference(d), {})};
      one.placement.update(now_, one.view, states);
    }
  }

  std::vector<database_load> sums() {
    load_view hub;
    for (std::size_t i = 0; i < choosers; ++i) {
      std::vector<database_load> own;
      for (std::size_t d = 0; d < databases; ++d) {
        const auto& meter = choosers_[i].meters[d];
        if (meter.used(now_)) own.push_back(meter.load(now_, reference(d), {}));
      }
      if (i == 0 && pattern_.false_report)
        own = {{reference(2), 60, 0, 1, 30000, 10s, 0s}};
      hub.apply(now_, i, load_view::source_kind::instance, own);
    }
    auto out = hub.sums(now_, {}, true);
    for (auto& load : out) load = database_load::unpack(load.packed());
    return out;
  }
  static std::uint32_t reference(std::size_t d) {
    return static_cast<std::uint32_t>(d + 1);
  }

  pattern pattern_;
  bool by_load_;
  std::mt19937 random_;
  std::uint64_t seed_ = 0;
  instant now_;
  std::vector<instance> choosers_;
  std::array<std::vector<running>, databases> queues_;
  std::vector<std::vector<database_load>> history_;
  result result_;
};

}  // namespace toucanmux::test
