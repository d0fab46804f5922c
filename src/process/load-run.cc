#include "process/load-run.h"

#include <nlohmann/json.hpp>

#include "process/clock.h"
#include "process/load-session.h"

namespace toucanmux {

namespace {

constexpr std::uint64_t session_numbers_per_second = 1'000'000;
constexpr std::chrono::milliseconds arrival_tick{1};
constexpr std::chrono::milliseconds audit_retry_delay{200};
constexpr std::chrono::milliseconds settle_time{500};

std::uint64_t first_session_number() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  auto start =
      std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
  return static_cast<std::uint64_t>(start) * session_numbers_per_second;
}

}  // namespace

load_run::load_run(const load_settings& settings, load_history& history)
    : settings_(settings),
      history_(history),
      health_(settings.targets.size()),
      random_(settings.seed),
      last_session_(first_session_number()),
      sessions_(settings.teams.size()),
      next_arrival_(settings.teams.size()) {}

load_run::~load_run() = default;

void load_run::start(std::function<void(const found_orders&)> done) {
  done_ = std::move(done);
  make_tables(0);
}

void load_run::make_tables(int shard) {
  if (shard == settings_.shards) return start_arrivals();
  query_primary(shard,
                "create table if not exists load_orders (id text, shard text, "
                "session text, sequence bigint)",
                [this, shard](const std::string&) { make_tables(shard + 1); });
}

void load_run::start_arrivals() {
  arrivals_end_at_ = now() + settings_.run_time;
  for (std::size_t i = 0; i < next_arrival_.size(); ++i) {
    next_arrival_[i] = now();
    schedule_arrival(i);
  }
  QObject::connect(&timer_, &QTimer::timeout, [this] { make_due_calls(); });
  timer_.setTimerType(Qt::PreciseTimer);
  timer_.start(arrival_tick);
}

void load_run::schedule_arrival(std::size_t team) {
  double offered = settings_.teams[team].offered;
  if (offered <= 0) {
    next_arrival_[team] = arrivals_end_at_;
    return;
  }
  std::exponential_distribution<double> gap(offered);
  next_arrival_[team] +=
      duration(static_cast<std::int64_t>(gap(random_) * 1e6));
}

void load_run::make_due_calls() {
  auto time = now();
  if (time >= arrivals_end_at_) {
    timer_.stop();
    timer_.disconnect();
    return finish();
  }
  for (std::size_t i = 0; i < next_arrival_.size(); ++i) {
    while (next_arrival_[i] <= time) {
      if (auto* session = idle_session(i)) session->call();
      schedule_arrival(i);
    }
  }
}

load_session* load_run::idle_session(std::size_t team) {
  auto& sessions = sessions_[team];
  auto limit = static_cast<std::size_t>(settings_.sessions_per_team);
  auto start = sessions.empty() ? 0 : random_() % sessions.size();
  for (std::size_t i = 0; i < sessions.size(); ++i) {
    auto& one = sessions[(start + i) % sessions.size()];
    if (!one->busy()) return one.get();
  }
  if (sessions.size() == limit) return nullptr;
  // Session numbers are unique among runs, because rows of earlier runs stay in
  // the databases.
  auto number = ++last_session_;
  sessions.push_back(std::make_unique<load_session>(
      settings_, history_, health_, team, number, random_()));
  return sessions.back().get();
}

void load_run::finish() {
  bool busy = false;
  for (const auto& team : sessions_) {
    for (const auto& one : team) busy = busy || one->busy();
  }
  if (busy) {
    QTimer::singleShot(arrival_tick, &timer_, [this] { finish(); });
    return;
  }
  // Waits, because a write with an unknown outcome may still be in progress.
  QTimer::singleShot(settle_time, &timer_, [this] { read_orders(0); });
}

void load_run::read_orders(int shard) {
  if (shard == settings_.shards) return done_(found_);
  query_primary(shard,
                "select id, count(*) from load_orders where shard = '" +
                    std::to_string(shard) + "' group by id",
                [this, shard](const std::string& body) {
                  auto json = nlohmann::json::parse(body);
                  for (const auto& row : json["result"]["rows"]) {
                    found_[row[0].get<std::string>()] = row[1].get<int>();
                  }
                  read_orders(shard + 1);
                });
}

// Runs a query on the shard's primary; retries at the next instance until it
// succeeds.
void load_run::query_primary(int shard, const std::string& sql,
                             const text_handler& done) {
  const auto& target =
      settings_.targets[audit_target_ % settings_.targets.size()];
  audit_client_ = std::make_unique<http_client>(target);
  nlohmann::json body{{"sql", sql}, {"shard", std::to_string(shard)}};
  http_request request;
  request.target = "/v1/" + settings_.service.value + "/write";
  request.body = body.dump();
  request.headers.emplace_back("Authorization",
                               "Bearer " + settings_.teams.front().key);
  audit_client_->post(request, [=, this](http_client::reply&& reply) {
    if (reply.answered && reply.response.status == 200) {
      return done(std::string(reply.response.body));
    }
    ++audit_target_;
    QTimer::singleShot(audit_retry_delay, &timer_,
                       [=, this] { query_primary(shard, sql, done); });
  });
}

}  // namespace toucanmux
