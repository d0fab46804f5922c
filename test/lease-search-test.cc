#define BOOST_TEST_MODULE lease_search
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <string>
#include <unordered_map>

#include "lease-world.h"

using toucanmux::standin::lease_world;

namespace {

/// What a search has seen.
struct result {
  std::uint64_t states = 0;
  bool whole = true;  ///< No state within the depth was left out.
  std::string broken;
  std::vector<std::string> path;
};

std::string shown(const result& what) {
  std::string out = what.broken + " after:";
  for (const auto& name : what.path) out += ' ' + name + ';';
  return out;
}

/// Visits all states that are reached in so many events, each once for each
/// number of events that are left.
class search {
 public:
  search(unsigned depth, std::uint64_t most) : depth_(depth), most_(most) {}

  result run(const lease_world& start) {
    visit(start, depth_);
    found_.states = seen_.size();
    return found_;
  }

 private:
  void visit(const lease_world& world, unsigned left) {
    if (!found_.broken.empty()) return;
    found_.broken = world.violation();
    if (!found_.broken.empty()) {
      found_.path = path_;
      return;
    }
    auto [at, fresh] = seen_.try_emplace(world.fingerprint(), left);
    if (!fresh && at->second >= left) return;
    at->second = left;
    if (left == 0) return;
    if (seen_.size() >= most_) {
      found_.whole = false;
      return;
    }
    for (const auto& next : world.events()) {
      lease_world after = world;
      next.apply(after);
      path_.push_back(next.name);
      visit(after, left - 1);
      path_.pop_back();
    }
  }

  unsigned depth_;
  std::uint64_t most_;
  result found_;
  std::vector<std::string> path_;
  std::unordered_map<std::uint64_t, unsigned> seen_;
};

/// Walks at random; further than a search gets.
result walk(const lease_world& start, unsigned seed, unsigned length) {
  std::mt19937 random(seed);
  lease_world world = start;
  result out;
  for (unsigned i = 0; i < length; ++i) {
    auto all = world.events();
    const auto& next = all[random() % all.size()];
    out.path.push_back(next.name);
    next.apply(world);
    ++out.states;
    out.broken = world.violation();
    if (!out.broken.empty()) return out;
  }
  return out;
}

/// The first seed whose walk breaks something.
result walk_all(const lease_world& start, unsigned seeds, unsigned length) {
  result out;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    out = walk(start, seed, length);
    if (out.broken.empty()) continue;
    out.broken += " (seed " + std::to_string(seed) + ")";
    return out;
  }
  return out;
}

/// Plays the events of these names, as far as they may happen.
std::string play(lease_world world, const std::vector<std::string>& names) {
  for (const auto& name : names) {
    auto all = world.events();
    auto next = std::find_if(all.begin(), all.end(),
                             [&](const auto& one) { return one.name == name; });
    if (next == all.end()) break;
    next->apply(world);
    if (!world.violation().empty()) break;
  }
  return world.violation();
}

/// A larger search by hand: LEASE_SEARCH_SCALE=50.
unsigned scale() {
  const char* text = std::getenv("LEASE_SEARCH_SCALE");
  return text ? static_cast<unsigned>(std::max(1, std::atoi(text))) : 1;
}

constexpr unsigned walk_length = 120;

bool is_found(const lease_world::flaws& without, bool checked) {
  auto found = walk_all({without, checked, 4, 1}, 40000, walk_length);
  BOOST_TEST_MESSAGE(shown(found));
  return !found.broken.empty();
}

}  // namespace

BOOST_AUTO_TEST_CASE(no_order_of_a_few_events_breaks_the_lease) {
  for (bool checked : {true, false}) {
    search all(6 + (scale() > 1 ? 2 : 0), 150'000ULL * scale());
    auto found = all.run(lease_world({}, checked, 2, 1));
    BOOST_TEST_MESSAGE(found.states << " states, whole: " << found.whole);
    BOOST_TEST(found.broken.empty(), shown(found));
  }
}

BOOST_AUTO_TEST_CASE(no_long_walk_breaks_the_lease) {
  for (bool checked : {true, false}) {
    for (unsigned changes : {4U, 6U}) {
      lease_world world({}, checked, changes, changes / 3);
      auto found = walk_all(world, 4000 * scale(), walk_length);
      BOOST_TEST(found.broken.empty(), shown(found));
    }
  }
}

BOOST_AUTO_TEST_CASE(each_safeguard_is_missed_when_it_is_taken_out) {
  auto flawed = [](bool lease_world::flaws::*which) {
    lease_world::flaws out;
    out.*which = true;
    return out;
  };
  using flaws = lease_world::flaws;
  BOOST_TEST(is_found(flawed(&flaws::promotes_without_waiting), true));
  BOOST_TEST(is_found(flawed(&flaws::confirms_with_other_records), true));
  BOOST_TEST(is_found(flawed(&flaws::confirms_at_arrival), true));
  BOOST_TEST(is_found(flawed(&flaws::doubles_lease), true));
  BOOST_TEST(is_found(flawed(&flaws::writes_without_condition), true));
  BOOST_TEST(is_found(flawed(&flaws::serves_while_revoked), true));
}

// Too long for a walk to find.
BOOST_AUTO_TEST_CASE(an_open_order_undoes_nothing) {
  std::vector<std::string> names{
      "suspect 0", "write answered 0", "time", "time", "time", "time", "time",
      "confirm 0", "write answered 0", "order lost 0",
      // The database that it named is replaced in turn.
      "time", "time", "suspect 0", "write answered 0", "time", "time", "time",
      "time", "time", "confirm 0", "steps down 0", "write answered 0",
      "order answered 0", "read 1", "answer 1", "late order"};
  lease_world::flaws without;
  BOOST_TEST(play(lease_world(without, false, 4, 0), names) == "");
  without.overrides_pending_promotion = true;
  BOOST_TEST(play(lease_world(without, false, 4, 0), names) ==
             "a replaced leader is served by");
}

BOOST_AUTO_TEST_CASE(an_order_that_waited_is_not_given) {
  std::vector<std::string> names{
      "suspect 0", "write answered 0", "time", "time", "time", "time", "time",
      "confirm 0", "write done 0",
      // The instance pauses; another one goes on.
      "read 1", "answer 1", "time", "time", "suspect 1", "write answered 1",
      "time", "time", "time", "time", "time", "confirm 1", "steps down 1",
      "write answered 1", "order answered 1", "time", "write answered 0",
      "order answered 0"};
  lease_world::flaws without;
  BOOST_TEST(play(lease_world(without, false, 4, 0), names) == "");
  without.promotes_late = true;
  BOOST_TEST(play(lease_world(without, false, 4, 0), names) ==
             "an order had a lower token than one before");
}
