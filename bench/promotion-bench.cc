#include <chrono>
#include <cmath>
#include <iostream>

#include "../test/promotion-fleet.h"

// Measures the failover gap in simulated time, false promotions, messages, and
// the processor time of a group's promoters.

using namespace toucanmux;
using fake::fleet;
using fake::fleet_settings;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t gap_seeds = 300;
constexpr std::uint64_t false_promotion_seeds = 100;

double ms(duration time) { return static_cast<double>(time.count()) / 1000; }

class samples {
 public:
  void add(duration value) { values_.push_back(ms(value)); }
  double quantile(double share) {
    std::sort(values_.begin(), values_.end());
    if (values_.empty()) return 0;
    auto last = static_cast<double>(values_.size() - 1);
    return values_[static_cast<std::size_t>(std::lround(share * last))];
  }

 private:
  std::vector<double> values_;
};

struct gap_samples {
  samples detection, agreement, resumption, total;
  int unfinished = 0;
};

using fault = std::function<void(fleet&)>;

void measure_gap(const fleet_settings& settings, const fault& inject,
                 gap_samples& out) {
  fleet f(settings);
  f.run(milliseconds(1000) + milliseconds(settings.seed * 7 % 100));
  auto injected_at = f.now();
  instant fenced_at{};
  instant recorded_at{};
  f.on_action([&](std::size_t, const promoter::action& action) {
    bool fences = std::holds_alternative<fence_database>(action);
    bool promotes = std::holds_alternative<promote_database>(action);
    if (fences && fenced_at == instant{}) fenced_at = f.now();
    if (promotes && recorded_at == instant{}) recorded_at = f.now();
  });
  inject(f);
  auto limit = injected_at + std::chrono::seconds(14);
  while (f.now() < limit) {
    f.run(milliseconds(1));
    auto acknowledged_at = f.last_client_ack();
    if (recorded_at == instant{} || acknowledged_at < recorded_at) continue;
    out.detection.add(fenced_at - injected_at);
    out.agreement.add(recorded_at - fenced_at);
    out.resumption.add(acknowledged_at - recorded_at);
    out.total.add(acknowledged_at - injected_at);
    return;
  }
  ++out.unfinished;
}

void print_gap(const std::string& title, fleet_settings settings,
               const fault& inject) {
  gap_samples out;
  for (std::uint64_t seed = 1; seed <= gap_seeds; ++seed) {
    settings.seed = seed;
    measure_gap(settings, inject, out);
  }
  auto show = [](const char* label, samples& s) {
    std::cout << "  " << label << " " << s.quantile(0.5) << "/"
              << s.quantile(0.99);
  };
  std::cout << title << ":";
  show("detection", out.detection);
  show("agreement", out.agreement);
  show("resumption", out.resumption);
  show("gap", out.total);
  std::cout << "  unfinished " << out.unfinished << "\n";
}

void print_gaps() {
  std::cout << "failover gap, median/99th percentile in ms over " << gap_seeds
            << " seeds; 1 ms one way between domains, platform 4-5 ms\n";
  fault killed = [](fleet& f) { f.kill(0); };
  fault killed_with_owner = [](fleet& f) {
    f.kill(0);
    f.kill_pool(0);
  };
  fault frozen = [](fleet& f) { f.freeze(0, std::chrono::seconds(60)); };
  fault partitioned = [](fleet& f) { f.set_isolated(0, true); };
  fault planned = [](fleet& f) { f.inject(0, hand_over{database_id("db2")}); };
  fleet_settings settings;
  print_gap("killed", settings, killed);
  print_gap("killed with its owner", settings, killed_with_owner);
  print_gap("frozen", settings, frozen);
  print_gap("domain partitioned", settings, partitioned);
  print_gap("planned", settings, planned);
  settings.loss_rate = 0.05;
  print_gap("killed, 5% loss", settings, killed);
  print_gap("domain partitioned, 5% loss", settings, partitioned);
  settings.loss_rate = 0;
  settings.databases = 5;
  print_gap("killed, 5 databases", settings, killed);
  settings.databases = 3;
  settings.platform_delay = milliseconds(50);
  print_gap("killed, platform 50-62 ms", settings, killed);
  settings.platform_delay = milliseconds(4);
  for (int after : {1000, 2000}) {
    settings.decision.detector.silent_after = milliseconds(after);
    print_gap("frozen, silent_after " + std::to_string(after) + " ms", settings,
              frozen);
  }
}

void count_false_promotions(const std::string& title, fleet_settings settings,
                            const fault& inject) {
  int promotions = 0;
  for (std::uint64_t seed = 1; seed <= false_promotion_seeds; ++seed) {
    settings.seed = seed;
    fleet f(settings);
    f.run(milliseconds(1000));
    for (int i = 0; i < 5; ++i) {
      inject(f);
      f.run(milliseconds(6000));
    }
    promotions += static_cast<int>(f.stored_group().term) - 1;
  }
  std::cout << title << ": " << promotions << " promotions in "
            << false_promotion_seeds * 5 << " faults\n";
}

milliseconds draw(fleet& f, int low, int high) {
  return milliseconds(
      std::uniform_int_distribution<int>(low, high)(f.random()));
}

void print_false_promotions() {
  std::cout << "false promotions, 30 s of simulated time per seed\n";
  fault pool_pause = [](fleet& f) {
    auto pool = f.random()() % f.pools().size();
    f.pause_pool(pool, draw(f, 1000, 3000));
  };
  fault all_pause = [](fleet& f) {
    for (std::size_t i = 0; i < f.pools().size(); ++i) {
      f.pause_pool(i, draw(f, 1000, 3000));
    }
  };
  fault freeze = [](fleet& f) {
    f.freeze(f.primary_index(), draw(f, 1000, 3000));
  };
  fault lag = [](fleet& f) {
    for (std::size_t i = 0; i < f.databases().size(); ++i) {
      f.set_lag(i, draw(f, 0, 900));
    }
  };
  fault owner = [](fleet& f) {
    auto pool = f.random()() % f.pools().size();
    f.kill_pool(pool);
    f.after(milliseconds(4000), [&f, pool] { f.start_pool(pool); });
  };
  fault none = [](fleet&) {};
  fleet_settings settings;
  count_false_promotions("a pool pauses for 1-3 s", settings, pool_pause);
  count_false_promotions("all pools pause for 1-3 s", settings, all_pause);
  count_false_promotions("the primary freezes for 1-3 s", settings, freeze);
  count_false_promotions("replicas receive up to 0.9 s late", settings, lag);
  count_false_promotions("a pool dies and restarts after 4 s", settings, owner);
  settings.loss_rate = 0.3;
  count_false_promotions("30% loss between pools", settings, none);
  settings.late_rate = 0.3;
  count_false_promotions("30% loss, 30% up to 3 s late, a pool pauses",
                         settings, pool_pause);
  for (int after : {1000, 2000}) {
    fleet_settings short_timeout;
    short_timeout.decision.detector.silent_after = milliseconds(after);
    count_false_promotions("the primary freezes for 1-3 s, silent_after " +
                               std::to_string(after) + " ms",
                           short_timeout, freeze);
  }
}

void print_messages() {
  fleet_settings settings;
  settings.count_bytes = true;
  fleet f(settings);
  f.run(milliseconds(1000));
  auto messages = f.messages();
  auto bytes = f.message_bytes();
  auto calls = f.platform_calls();
  f.run(milliseconds(60000));
  auto per_pool = 60.0 * static_cast<double>(f.pools().size());
  std::cout << "without faults, per pool, group and second: "
            << static_cast<double>(f.messages() - messages) / per_pool
            << " messages, "
            << static_cast<double>(f.message_bytes() - bytes) / per_pool
            << " bytes, "
            << static_cast<double>(f.platform_calls() - calls) / per_pool
            << " platform calls\n";
}

// Replays the events of one pool without faults to one promoter per group; the
// processor time of the simulation is not counted.
void print_processor_time() {
  using event = promoter::event;
  std::vector<std::pair<instant, event>> events;
  fleet_settings settings;
  fleet f(settings);
  f.on_event([&](std::size_t pool, const event& received) {
    if (pool == 0) events.emplace_back(f.now(), received);
  });
  f.run(milliseconds(5000));
  std::cout << "events per pool, group and second: "
            << static_cast<double>(events.size()) / 5 << "\n";
  for (std::size_t groups : {1, 100, 1000}) {
    promoter::settings promoter_settings;
    promoter_settings.self = member_id("pool0");
    promoter_settings.group = group_id("g");
    std::vector<promoter> promoters(groups, promoter(promoter_settings));
    std::size_t actions = 0;
    auto start = std::chrono::steady_clock::now();
    for (const auto& [at, received] : events) {
      for (auto& each : promoters) actions += each.step(at, received).size();
    }
    std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    std::cout << "processor time with " << groups << " groups: "
              << elapsed.count() / static_cast<double>(groups) / 5
              << " us per group and second, " << actions / groups
              << " actions\n";
  }
}

}  // namespace

int main() {
  print_gaps();
  print_false_promotions();
  print_messages();
  print_processor_time();
  return 0;
}
