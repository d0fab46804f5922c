#include <chrono>
#include <cmath>
#include <iostream>

#include "../test/promotion-fleet.h"

// The failover gap in simulated time, false promotions, messages and the
// processor time of a group's promoters.

using namespace toucanmux;
using fake::fleet;
using fake::fleet_settings;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t gap_seeds = 300;
constexpr std::uint64_t calm_seeds = 100;

double ms(duration time) { return static_cast<double>(time.count()) / 1000; }

class samples {
 public:
  void add(duration value) { values_.push_back(ms(value)); }
  double at(double share) {
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

void measure_gap(const fleet_settings& values, const fault& strike,
                 gap_samples& out) {
  fleet f(values);
  f.run(milliseconds(1000) + milliseconds(values.seed * 7 % 100));
  auto struck = f.now();
  instant fenced{};
  instant recorded{};
  f.on_action([&](std::size_t, const promoter::action& action) {
    bool fences = std::holds_alternative<fence_database>(action);
    bool brings = std::holds_alternative<promote_database>(action);
    if (fences && fenced == instant{}) fenced = f.now();
    if (brings && recorded == instant{}) recorded = f.now();
  });
  strike(f);
  auto limit = struck + std::chrono::seconds(14);
  while (f.now() < limit) {
    f.run(milliseconds(1));
    auto ack = f.last_client_ack();
    if (recorded == instant{} || ack < recorded) continue;
    out.detection.add(fenced - struck);
    out.agreement.add(recorded - fenced);
    out.resumption.add(ack - recorded);
    out.total.add(ack - struck);
    return;
  }
  ++out.unfinished;
}

void print_gap(const std::string& title, fleet_settings values,
               const fault& strike) {
  gap_samples out;
  for (std::uint64_t seed = 1; seed <= gap_seeds; ++seed) {
    values.seed = seed;
    measure_gap(values, strike, out);
  }
  auto show = [](const char* what, samples& s) {
    std::cout << "  " << what << " " << s.at(0.5) << "/" << s.at(0.99);
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
  fault instance = [](fleet& f) {
    f.kill(0);
    f.kill_pool(0);
  };
  fault frozen = [](fleet& f) { f.freeze(0, std::chrono::seconds(60)); };
  fault cut = [](fleet& f) { f.set_isolated(0, true); };
  fault planned = [](fleet& f) { f.inject(0, hand_over{database_id("db2")}); };
  fleet_settings values;
  print_gap("killed", values, killed);
  print_gap("killed with its owner", values, instance);
  print_gap("frozen", values, frozen);
  print_gap("domain cut off", values, cut);
  print_gap("planned", values, planned);
  values.loss_rate = 0.05;
  print_gap("killed, 5% loss", values, killed);
  print_gap("domain cut off, 5% loss", values, cut);
  values.loss_rate = 0;
  values.databases = 5;
  print_gap("killed, 5 databases", values, killed);
  values.databases = 3;
  values.platform_delay = milliseconds(50);
  print_gap("killed, platform 50-62 ms", values, killed);
  values.platform_delay = milliseconds(4);
  for (int after : {1000, 2000}) {
    values.decision.detector.silent_after = milliseconds(after);
    print_gap("frozen, silent_after " + std::to_string(after) + " ms", values,
              frozen);
  }
}

void count_false(const std::string& title, fleet_settings values,
                 const fault& disturb) {
  int promotions = 0;
  for (std::uint64_t seed = 1; seed <= calm_seeds; ++seed) {
    values.seed = seed;
    fleet f(values);
    f.run(milliseconds(1000));
    for (int i = 0; i < 5; ++i) {
      disturb(f);
      f.run(milliseconds(6000));
    }
    promotions += static_cast<int>(f.stored_group().term) - 1;
  }
  std::cout << title << ": " << promotions << " promotions in "
            << calm_seeds * 5 << " disturbances\n";
}

milliseconds draw(fleet& f, int low, int high) {
  return milliseconds(
      std::uniform_int_distribution<int>(low, high)(f.random()));
}

void print_false() {
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
  fleet_settings values;
  count_false("a pool pauses 1-3 s", values, pool_pause);
  count_false("all pools pause 1-3 s", values, all_pause);
  count_false("the primary stands still 1-3 s", values, freeze);
  count_false("replicas receive up to 0.9 s late", values, lag);
  count_false("a pool dies and comes back after 4 s", values, owner);
  values.loss_rate = 0.3;
  count_false("30% loss between pools", values, none);
  values.late_rate = 0.3;
  count_false("30% loss, 30% up to 3 s late, a pool pauses", values,
              pool_pause);
  for (int after : {1000, 2000}) {
    fleet_settings eager;
    eager.decision.detector.silent_after = milliseconds(after);
    count_false("the primary stands still 1-3 s, silent_after " +
                    std::to_string(after) + " ms",
                eager, freeze);
  }
}

void print_messages() {
  fleet_settings values;
  values.count_bytes = true;
  fleet f(values);
  f.run(milliseconds(1000));
  auto messages = f.messages();
  auto bytes = f.message_bytes();
  auto calls = f.platform_calls();
  f.run(milliseconds(60000));
  auto per_pool = 60.0 * static_cast<double>(f.pools().size());
  std::cout << "calm, per pool, group and second: "
            << static_cast<double>(f.messages() - messages) / per_pool
            << " messages, "
            << static_cast<double>(f.message_bytes() - bytes) / per_pool
            << " bytes, "
            << static_cast<double>(f.platform_calls() - calls) / per_pool
            << " platform calls\n";
}

// The events of one calm pool, played to as many promoters as there are
// groups: the models' own time is not counted.
void print_processor_time() {
  using event = promoter::event;
  std::vector<std::pair<instant, event>> events;
  fleet_settings values;
  fleet f(values);
  f.on_event([&](std::size_t pool, const event& what) {
    if (pool == 0) events.emplace_back(f.now(), what);
  });
  f.run(milliseconds(5000));
  std::cout << "events per pool, group and second: "
            << static_cast<double>(events.size()) / 5 << "\n";
  for (std::size_t groups : {1, 100, 1000}) {
    promoter::settings own;
    own.self = member_id("pool0");
    own.group = group_id("g");
    std::vector<promoter> all(groups, promoter(own));
    std::size_t actions = 0;
    auto start = std::chrono::steady_clock::now();
    for (const auto& [at, what] : events) {
      for (auto& one : all) actions += one.step(at, what).size();
    }
    std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - start;
    std::cout << "processor time with " << groups
              << " groups: " << spent.count() / static_cast<double>(groups) / 5
              << " us per group and second, " << actions / groups
              << " actions\n";
  }
}

}  // namespace

int main() {
  print_gaps();
  print_false();
  print_messages();
  print_processor_time();
  return 0;
}
