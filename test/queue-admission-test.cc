#define BOOST_TEST_MODULE queue_admission
#include "toucanmux/proxy/admission/queue-admission.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr duration latency_goal = 150ms;
constexpr std::size_t connections = 3;

struct outcome {
  std::size_t arrived = 0;
  std::size_t in_time = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
  duration longest_refusal{0};  ///< Longest wait before a refusal.
};

/// Simulates arrivals at a few connections, with admission control or, as the
/// baseline, with a queue that all statements join until their deadline.
class queue_simulation {
 public:
  queue_simulation(bool with_admission, unsigned seed)
      : with_admission_(with_admission), random_(seed) {}

  /// Simulates arrivals at this rate for `length`.
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
  struct queued_statement {
    instant arrived_at;
    instant wait_deadline;
  };

  void arrive() {
    ++result_.arrived;
    admission_request request{now_, now_ + 800ms, latency_goal, false};
    auto decision = admission_.decide(
        now_, request,
        {queue_.size(), connections, std::chrono::milliseconds(20)});
    if (with_admission_ && !decision.admitted) {
      ++result_.refused;
      return;
    }
    queue_.push_back(
        {now_, with_admission_ ? decision.wait_deadline : request.deadline});
    start();
  }

  void serve_until(instant end) {
    for (;;) {
      start();
      auto next = end;
      for (auto free_at : busy_until_) next = std::min(next, free_at);
      now_ = next;
      std::erase_if(busy_until_, [&](instant at) { return at <= now_; });
      if (next == end) return;
    }
  }

  void start() {
    while (!queue_.empty() && queue_.front().wait_deadline < now_) {
      ++result_.refused;
      result_.longest_refusal =
          std::max(result_.longest_refusal,
                   queue_.front().wait_deadline - queue_.front().arrived_at);
      queue_.pop_front();
    }
    std::exponential_distribution<double> work(1 / 0.020);
    while (!queue_.empty() && busy_until_.size() < connections) {
      auto done_at = now_ + std::chrono::duration_cast<duration>(
                                std::chrono::duration<double>(work(random_)));
      ++(done_at - queue_.front().arrived_at <= latency_goal ? result_.in_time
                                                             : result_.late);
      busy_until_.push_back(done_at);
      queue_.pop_front();
    }
  }

  bool with_admission_;
  std::mt19937 random_;
  queue_admission admission_;
  instant now_{10s};
  std::deque<queued_statement> queue_;
  std::vector<instant> busy_until_;
  outcome result_;
};

// Three connections that take 20 ms for a statement serve 150 a second.
outcome simulate_burst(bool with_admission, unsigned seed) {
  queue_simulation simulation(with_admission, seed);
  simulation.load(80, 3s);
  simulation.load(260, 3s);
  simulation.load(80, 3s);
  return simulation.result();
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_statement_joins_a_short_queue) {
  queue_admission admission;
  instant now{10s};
  auto decision = admission.decide(now, {now, now + 800ms, latency_goal, false},
                                   {2, 3, 20ms});
  BOOST_TEST(decision.admitted);
  BOOST_TEST((decision.wait_deadline == now + 90ms));
}

BOOST_AUTO_TEST_CASE(a_long_queue_refuses_with_the_expected_wait) {
  queue_admission admission;
  instant now{10s};
  auto decision = admission.decide(now, {now, now + 800ms, latency_goal, false},
                                   {30, 3, 20ms});
  BOOST_TEST(!decision.admitted);
  BOOST_TEST((decision.retry_after == 200ms));
  decision = admission.decide(now, {now, now + 800ms, latency_goal, false},
                              {0, 0, 20ms});
  BOOST_TEST(!decision.admitted);
}

BOOST_AUTO_TEST_CASE(a_retry_may_wait_a_shorter_time_from_now_on) {
  queue_admission admission;
  instant now{10s};
  auto decision = admission.decide(
      now, {now - 300ms, now + 500ms, latency_goal, true}, {1, 3, 20ms});
  BOOST_TEST(decision.admitted);
  BOOST_TEST((decision.wait_deadline == now + 45ms));
}

BOOST_AUTO_TEST_CASE(a_wait_ends_at_the_deadline) {
  queue_admission admission;
  instant now{10s};
  auto decision = admission.decide(now, {now, now + 10ms, latency_goal, false},
                                   {1, 3, 20ms});
  BOOST_TEST((decision.wait_deadline == now + 10ms));
}

// Guards against a queue in which every statement is late: for 3 s, 1.7 times
// as many statements arrive as the connections can serve.
BOOST_AUTO_TEST_CASE(in_a_burst_more_are_served_in_time_than_by_a_plain_queue) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    auto with_admission = simulate_burst(true, seed);
    auto plain_queue = simulate_burst(false, seed);
    BOOST_TEST(with_admission.in_time > plain_queue.in_time * 1.2);
    BOOST_TEST(with_admission.late < plain_queue.late);
    // No statement waits longer than its part of the latency goal.
    BOOST_TEST((with_admission.longest_refusal <= 90ms));
  }
}

BOOST_AUTO_TEST_CASE(below_capacity_hardly_any_statement_is_refused) {
  queue_simulation simulation(true, 5);
  simulation.load(70, 20s);
  auto result = simulation.result();
  BOOST_TEST(result.refused * 200 <= result.arrived);
}
