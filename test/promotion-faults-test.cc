#define BOOST_TEST_MODULE promotion_faults
#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "promotion-fleet.h"

using namespace toucanmux;
using fake::fleet;
using fake::fleet_settings;
using std::chrono::milliseconds;

namespace {

// Injects one random fault. It heals after a delay, or by `heal` at the end.
void inject_random_fault(fleet& f) {
  auto& random = f.random();
  auto pick = [&](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  };
  auto time = [&](int limit) {
    return milliseconds(
        100 + static_cast<int>(pick(static_cast<std::size_t>(limit))));
  };
  auto db = pick(2) == 0 ? f.primary_index() : pick(f.databases().size());
  auto pool = pick(f.pools().size());
  auto recovery_delay = time(6000);
  switch (pick(11)) {
    case 0:
      f.kill(db);
      return f.after(recovery_delay, [&f, db] { f.restart(db); });
    case 1:
      return f.freeze(db, recovery_delay);
    case 2:
      f.set_isolated(db, true);
      return f.after(recovery_delay, [&f, db] { f.set_isolated(db, false); });
    case 3:
      f.set_lag(db, time(500));
      return f.after(recovery_delay,
                     [&f, db] { f.set_lag(db, milliseconds(0)); });
    case 4:
      f.kill_pool(pool);
      return f.after(recovery_delay, [&f, pool] { f.start_pool(pool); });
    case 5:
      return f.pause_pool(pool, time(4000));
    case 6:
      f.set_platform_down(true);
      return f.after(recovery_delay, [&f] { f.set_platform_down(false); });
    case 7:
      f.slow_platform(time(2000));
      return f.after(recovery_delay,
                     [&f] { f.slow_platform(milliseconds(0)); });
    case 8:
      f.lose_platform_answers(0.5);
      return f.after(recovery_delay, [&f] { f.lose_platform_answers(0); });
    case 9:
      return f.edit_group([](auto& group) { ++group.databases[0].slots; });
    default:
      return f.inject(pool, hand_over{f.databases()[db].id});
  }
}

std::string run_seed(std::uint64_t seed) {
  fleet_settings values;
  values.seed = seed;
  values.databases = seed % 3 == 0 ? 5 : 3;
  values.pools_per_domain = 1 + seed % 2;
  values.loss_rate = seed % 4 == 0 ? 0.1 : 0;
  values.late_rate = seed % 5 == 0 ? 0.05 : 0;
  values.tick = milliseconds(25);
  values.write_interval = milliseconds(23);
  fleet f(values);
  f.run(milliseconds(1000));
  int faults = 1 + static_cast<int>(seed % 6);
  for (int i = 0; i < faults; ++i) {
    inject_random_fault(f);
    f.run(
        milliseconds(std::uniform_int_distribution<int>(5, 1500)(f.random())));
  }
  f.run(milliseconds(6200));
  f.heal();
  f.run(milliseconds(9000));
  return f.check_end();
}

std::uint64_t from_environment(const char* variable,
                               std::uint64_t default_value) {
  const char* text = std::getenv(variable);
  return text ? std::stoull(text) : default_value;
}

}  // namespace

// TOUCANMUX_SEED sets the first seed and TOUCANMUX_SEEDS the number of seeds.
BOOST_AUTO_TEST_CASE(no_acknowledged_write_is_lost_under_random_faults) {
  auto first = from_environment("TOUCANMUX_SEED", 1);
  auto count = from_environment("TOUCANMUX_SEEDS", 1000);
  BOOST_TEST_MESSAGE("seeds " << first << " to " << first + count - 1);
  for (auto seed = first; seed < first + count; ++seed) {
    auto violation = run_seed(seed);
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
  }
}
