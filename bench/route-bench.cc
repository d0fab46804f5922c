// Simulated time: which reads go to replicas, how many answers are stale and
// what it costs, over the replicas' lag. The decisions are the entry's own.
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

constexpr std::size_t places = 3;
constexpr std::size_t sessions = 200;
constexpr double write_share = 0.1;
constexpr double roam_share = 0.1;
constexpr duration between_places = milliseconds(1);
constexpr duration within_place = microseconds(200);
constexpr duration service = milliseconds(1);
constexpr duration hint_interval = milliseconds(100);
constexpr duration run_time = std::chrono::seconds(60);

struct policy {
  const char* name;
  duration short_wait;
  bool ask_any;  ///< Every replica is taken for fresh.
};

struct totals {
  std::size_t reads = 0;
  std::size_t from_replica = 0;
  std::size_t behind = 0;
  std::size_t stale = 0;
  std::vector<double> latency_ms;
};

/// Runs what is due in the order of time.
class schedule {
 public:
  instant now() const { return now_; }

  void at(instant time, std::function<void()> work) {
    due_.push({time, ++last_, std::move(work)});
  }
  void after(duration d, std::function<void()> work) {
    at(now_ + d, std::move(work));
  }
  void run_until(instant end) {
    while (!due_.empty() && due_.top().at < end) {
      auto next = due_.top();
      due_.pop();
      now_ = next.at;
      next.work();
    }
  }

 private:
  struct entry {
    instant at;
    std::uint64_t turn;
    std::function<void()> work;
    bool operator<(const entry& other) const {
      return at != other.at ? at > other.at : turn > other.turn;
    }
  };

  instant now_{};
  std::uint64_t last_ = 0;
  std::priority_queue<entry> due_;
};

/// One database group, an entry and a database at each place. The primary is
/// at the first; a write is acknowledged when a replica has received it.
class fleet {
 public:
  fleet(const policy& how, duration lag, duration think)
      : how_(how), lag_(lag), think_(think) {
    for (std::size_t i = 0; i < places; ++i) {
      database d;
      d.id = database_id("db-" + std::to_string(i));
      d.domain = domain_id("place-" + std::to_string(i));
      databases_.push_back(d);
    }
  }

  totals run() {
    for (std::size_t i = 0; i < sessions; ++i) {
      sessions_.push_back({i % places, {}});
      pause(i);
    }
    publish();
    schedule_.run_until(instant(run_time));
    return std::move(totals_);
  }

 private:
  struct session {
    std::size_t home = 0;
    log_position written;
  };

  struct request {
    std::size_t who = 0;
    std::size_t entry = 0;
    bool read = true;
    instant began;
    log_position required;
    request_attempts attempts;
  };
  using request_ptr = std::shared_ptr<request>;

  double uniform() { return std::uniform_real_distribution<>()(random_); }

  static duration distance(std::size_t a, std::size_t b) {
    return a == b ? within_place : between_places;
  }

  void pause(std::size_t who) {
    double mean = static_cast<double>(think_.count());
    std::exponential_distribution<double> gap(1 / mean);
    schedule_.after(duration(static_cast<std::int64_t>(gap(random_))),
                    [this, who] { begin(who); });
  }

  void begin(std::size_t who) {
    const auto& s = sessions_[who];
    auto entry = uniform() < roam_share
                     ? static_cast<std::size_t>(uniform() * places)
                     : s.home;
    request_attempts::settings settings;
    settings.max_replica_wait = how_.short_wait;
    auto made = std::make_shared<request>(
        request{who, entry, uniform() >= write_share, schedule_.now(),
                s.written, request_attempts(settings)});
    request_started e;
    e.request = ++last_request_;
    e.access = made->read ? access_class::read : access_class::write;
    if (made->read) e.required = s.written;
    e.time_left = std::chrono::seconds(5);
    e.candidates = candidates(*made);
    step(made, e);
  }

  std::vector<candidate> candidates(const request& r) {
    auto out =
        rank_candidates(known_[r.entry], databases_, databases_[r.entry].domain,
                        {r.required}, schedule_.now());
    for (auto& c : out) {
      if (how_.ask_any) c.wait = duration(0);
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

  // The database stands where it stands when the statement begins there.
  void send(const request_ptr& r, const send_attempt& s) {
    auto place = static_cast<std::size_t>(s.database.value.back() - '0');
    auto way = distance(r->entry, place) + within_place;
    schedule_.after(way, [this, r, id = s.id, place, way] {
      attempt_answered e;
      e.id = id;
      if (!r->read) {
        written_.push_back({schedule_.now()});
        e.position = {1, written_.size()};
        auto acknowledged = 2 * between_places;
        return answer(r, e, place, service + acknowledged + way);
      }
      e.position = position_of(place);
      position_read check;
      check.required = r->required;
      check.position = e.position;
      check.replica = place != 0;
      auto found = position_check::step(schedule_.now(), check);
      if (std::holds_alternative<answer_behind>(found[0])) {
        ++totals_.behind;
        e.outcome = outcome_code::behind;
        return answer(r, e, place, way);
      }
      answer(r, e, place, service + way);
    });
  }

  void answer(const request_ptr& r, const attempt_answered& e,
              std::size_t place, duration after) {
    schedule_.after(after, [this, r, e, place] {
      observe_position(known_[r->entry], databases_[place].id, e.position);
      if (r->read && e.outcome == outcome_code::done && place != 0) {
        ++totals_.from_replica;
      }
      step(r, e);
    });
  }

  void finish(const request_ptr& r, const answer_caller& a) {
    if (a.outcome == outcome_code::done && !r->read) {
      sessions_[r->who].written = a.position;
    }
    if (r->read) {
      ++totals_.reads;
      bool stale = a.outcome != outcome_code::done ||
                   !a.position.covers(sessions_[r->who].written);
      if (stale) ++totals_.stale;
      std::chrono::duration<double, std::milli> took =
          schedule_.now() - r->began;
      totals_.latency_ms.push_back(took.count());
    }
    pause(r->who);
  }

  // A write arrives after half to one and a half times the lag, in order.
  log_position position_of(std::size_t place) {
    if (place == 0) return {1, written_.size()};
    auto& reached = reached_[place];
    while (reached < written_.size()) {
      auto& delay = written_[reached].delay[place];
      if (delay == duration(0)) {
        delay = duration(static_cast<std::int64_t>(
            static_cast<double>(lag_.count()) * (0.5 + uniform())));
      }
      if (written_[reached].at + delay > schedule_.now()) break;
      ++reached;
    }
    return {1, reached};
  }

  void publish() {
    group_hint hint;
    hint.term = 1;
    hint.primary = databases_[0].id;
    for (std::size_t i = 0; i < places; ++i) {
      auto age = i == 0 ? duration(0) : lag_ * 3 / 2;
      hint.databases.push_back({databases_[i].id, position_of(i), age, true});
    }
    schedule_.after(between_places, [this, hint] {
      for (auto& known : known_) merge_hint(known, hint, schedule_.now());
    });
    schedule_.after(hint_interval, [this] { publish(); });
  }

  struct write {
    instant at;
    duration delay[places] = {};
  };

  policy how_;
  duration lag_;
  duration think_;
  std::mt19937_64 random_{7};
  schedule schedule_;
  std::vector<database> databases_;
  std::vector<session> sessions_;
  std::vector<write> written_;
  std::size_t reached_[places] = {};
  known_hint known_[places];
  std::uint64_t last_request_ = 0;
  totals totals_;
};

void report(const policy& how, duration lag, duration think) {
  auto got = fleet(how, lag, think).run();
  std::sort(got.latency_ms.begin(), got.latency_ms.end());
  double sum = 0;
  for (double ms : got.latency_ms) sum += ms;
  auto reads = static_cast<double>(got.reads);
  std::printf(
      "lag %3lld ms  %-22s replicas %5.1f%%  behind %4.1f%%  stale %zu  "
      "mean %5.2f ms  p99 %6.2f ms\n",
      static_cast<long long>(lag.count() / 1000), how.name,
      100 * static_cast<double>(got.from_replica) / reads,
      100 * static_cast<double>(got.behind) / reads, got.stale, sum / reads,
      got.latency_ms[got.latency_ms.size() * 99 / 100]);
}

}  // namespace

int main() {
  const policy policies[] = {
      {"primary if unsure", duration(0), false},
      {"ask replica, primary", duration(0), true},
      {"wait up to 5 ms", milliseconds(5), false},
      {"wait up to 15 ms", milliseconds(15), false},
  };
  for (int think_ms : {20, 500}) {
    std::printf("sessions pause %d ms on average\n", think_ms);
    for (int lag_ms : {1, 10, 50, 200}) {
      for (const auto& how : policies) {
        report(how, milliseconds(lag_ms), milliseconds(think_ms));
      }
    }
  }
}
