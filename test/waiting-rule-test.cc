#define BOOST_TEST_MODULE waiting_rule
#include "toucanmux/proxy/waiting-rule.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr duration goal = 150ms;
constexpr std::size_t connections = 3;

struct outcome {
  std::size_t asked = 0;
  std::size_t in_time = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  duration longest_refusal{0};  ///< How long a refused one was held.
};

/// Plays arrivals against a few connections, with the rule or, as the
/// baseline, with a line that everybody joins until the deadline.
class queue_play {
 public:
  queue_play(bool with_rule, unsigned seed)
      : with_rule_(with_rule), random_(seed) {}

  /// Statements arrive at this rate for so long.
  void load(double per_second, duration length) {
    std::exponential_distribution<double> gap(per_second);
    auto end = now_ + length;
    while (now_ < end) {
      serve_until(now_ + std::chrono::duration_cast<duration>(
                             std::chrono::duration<double>(gap(random_))));
      arrive();
    }
  }
  outcome result() {
    serve_until(now_ + 10s);
    return result_;
  }

 private:
  struct waiting {
    instant arrived;
    instant until;
  };

  void arrive() {
    ++result_.asked;
    admission_request what{now_, now_ + 800ms, goal, false};
    auto verdict = rule_.decide(
        now_, what, {line_.size(), connections, std::chrono::milliseconds(20)});
    if (with_rule_ && !verdict.admitted) {
      ++result_.refused;
      return;
    }
    line_.push_back({now_, with_rule_ ? verdict.wait_deadline : what.deadline});
    start();
  }

  void serve_until(instant end) {
    for (;;) {
      start();
      auto next = end;
      for (auto free : busy_until_) next = std::min(next, free);
      now_ = next;
      std::erase_if(busy_until_, [&](instant at) { return at <= now_; });
      if (next == end) return;
    }
  }

  void start() {
    while (!line_.empty() && line_.front().until < now_) {
      ++result_.refused;
      result_.longest_refusal = std::max(
          result_.longest_refusal, line_.front().until - line_.front().arrived);
      line_.pop_front();
    }
    std::exponential_distribution<double> work(1 / 0.020);
    while (!line_.empty() && busy_until_.size() < connections) {
      auto done = now_ + std::chrono::duration_cast<duration>(
                             std::chrono::duration<double>(work(random_)));
      ++(done - line_.front().arrived <= goal ? result_.in_time : result_.late);
      busy_until_.push_back(done);
      line_.pop_front();
    }
  }

  bool with_rule_;
  std::mt19937 random_;
  queue_admission rule_;
  instant now_{10s};
  std::deque<waiting> line_;
  std::vector<instant> busy_until_;
  outcome result_;
};

// Three connections of 20 ms carry 150 a second.
outcome play_burst(bool with_rule, unsigned seed) {
  queue_play play(with_rule, seed);
  play.load(80, 3s);
  play.load(260, 3s);
  play.load(80, 3s);
  return play.result();
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_short_line_is_joined) {
  queue_admission rule;
  instant now{10s};
  auto verdict =
      rule.decide(now, {now, now + 800ms, goal, false}, {2, 3, 20ms});
  BOOST_TEST(verdict.admitted);
  BOOST_TEST((verdict.wait_deadline == now + 90ms));
}

BOOST_AUTO_TEST_CASE(a_long_line_is_refused_with_the_time_to_come_back) {
  queue_admission rule;
  instant now{10s};
  auto verdict =
      rule.decide(now, {now, now + 800ms, goal, false}, {30, 3, 20ms});
  BOOST_TEST(!verdict.admitted);
  BOOST_TEST((verdict.retry_after == 200ms));
  verdict = rule.decide(now, {now, now + 800ms, goal, false}, {0, 0, 20ms});
  BOOST_TEST(!verdict.admitted);
}

BOOST_AUTO_TEST_CASE(a_second_try_waits_from_now_on_but_less) {
  queue_admission rule;
  instant now{10s};
  auto verdict =
      rule.decide(now, {now - 300ms, now + 500ms, goal, true}, {1, 3, 20ms});
  BOOST_TEST(verdict.admitted);
  BOOST_TEST((verdict.wait_deadline == now + 45ms));
}

BOOST_AUTO_TEST_CASE(the_deadline_ends_every_wait) {
  queue_admission rule;
  instant now{10s};
  auto verdict = rule.decide(now, {now, now + 10ms, goal, false}, {1, 3, 20ms});
  BOOST_TEST((verdict.wait_deadline == now + 10ms));
}

// The burst of the platform's days: 1.7 times the usual for three seconds, on
// an instance whose connections carry less.
BOOST_AUTO_TEST_CASE(in_a_burst_more_are_served_in_time_than_in_a_plain_line) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    auto with = play_burst(true, seed);
    auto plain = play_burst(false, seed);
    BOOST_TEST(with.in_time > plain.in_time * 1.2);
    BOOST_TEST(with.late < plain.late);
    // Nobody is held for longer than the part of the objective.
    BOOST_TEST((with.longest_refusal <= 90ms));
  }
}

BOOST_AUTO_TEST_CASE(below_capacity_nobody_is_refused_for_nothing) {
  queue_play play(true, 5);
  play.load(70, 20s);
  auto result = play.result();
  BOOST_TEST(result.refused * 200 <= result.asked);
}
