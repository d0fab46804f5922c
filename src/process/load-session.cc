#include "process/load-session.h"

#include <nlohmann/json.hpp>

#include "process/clock.h"

namespace toucanmux {

namespace {

constexpr int lines_per_transaction = 2;
constexpr int roll_back_percent = 20;

outcome_code read_outcome(const std::string& word) {
  if (word == "not_run") return outcome_code::not_run;
  if (word == "failed") return outcome_code::failed;
  return outcome_code::unknown;
}

}  // namespace

struct load_session::parsed_answer {
  bool answered = false;
  outcome_code how = outcome_code::unknown;
  std::string why;
  bool replica = false;
  std::uint64_t transaction = 0;
  nlohmann::json rows;
};

load_session::load_session(const load_settings& settings, load_history& history,
                           target_health& health, std::size_t team,
                           std::uint64_t number, std::uint64_t seed)
    : settings_(settings),
      history_(history),
      health_(health),
      number_(number),
      random_(seed) {
  now_.team = team;
  now_.session = number;
  shard_ =
      static_cast<int>(random_() % static_cast<std::uint64_t>(settings.shards));
  now_.shard = shard_;
  target_ = random_() % settings.targets.size();
}

load_session::~load_session() = default;

void load_session::call() {
  busy_ = true;
  choose_target();
  load_call fresh;
  fresh.team = now_.team;
  fresh.session = number_;
  fresh.shard = shard_;
  fresh.kind = draw_kind();
  fresh.sent = now();
  now_ = fresh;
  switch (now_.kind) {
    case call_kind::read:
    case call_kind::aged_read:
      return read();
    case call_kind::write:
      return write();
    case call_kind::transaction:
      return begin();
  }
}

call_kind load_session::draw_kind() {
  const auto& mix = settings_.mix;
  std::discrete_distribution<int> draw(
      {static_cast<double>(mix.read), static_cast<double>(mix.aged_read),
       static_cast<double>(mix.write), static_cast<double>(mix.transaction)});
  return static_cast<call_kind>(draw(random_));
}

void load_session::choose_target() {
  bool roam =
      random_() % 100 < static_cast<std::uint64_t>(settings_.mix.roam_percent);
  auto count = settings_.targets.size();
  if (roam) target_ = random_() % count;
  for (std::size_t i = 0; i < count && !health_.up(target_, now()); ++i) {
    target_ = (target_ + 1) % count;
  }
  const auto& to = settings_.targets[target_];
  if (!client_ || client_->server() != to) {
    client_ = std::make_unique<http_client>(to);
  }
}

void load_session::read() {
  auto echo = static_cast<std::int64_t>(random_() >> 2U);
  nlohmann::json body{
      {"sql",
       "select coalesce(max(sequence), 0), $2 from load_orders "
       "where session = $1"},
      {"params", {std::to_string(number_), std::to_string(echo)}},
      {"shard", std::to_string(shard_)}};
  auto least = acknowledged_;
  send("/v1/" + settings_.service.value + "/read", body.dump(),
       [this, echo, least](parsed_answer&& got) {
         if (got.how == outcome_code::done) check_read(got, echo, least);
         finish(got);
       });
}

void load_session::check_read(const parsed_answer& got, std::int64_t echo,
                              std::int64_t least) {
  auto number = [](const nlohmann::json& value) {
    return value.is_string() ? std::stoll(value.get<std::string>())
                             : value.get<std::int64_t>();
  };
  bool whole = got.rows.is_array() && got.rows.size() == 1 &&
               got.rows[0].is_array() && got.rows[0].size() == 2;
  std::string who = "session " + std::to_string(number_);
  history_.check("a caller gets the whole answer to its own request",
                 whole && number(got.rows[0][1]) == echo, who);
  if (!whole) return;
  auto seen = number(got.rows[0][0]);
  history_.check(
      "a session reads its own writes", seen >= least,
      who + " saw " + std::to_string(seen) + " after " + std::to_string(least));
}

std::string load_session::order_body(std::int64_t sequence,
                                     const std::string& order) {
  nlohmann::json body{{"sql",
                       "insert into load_orders (id, shard, session, sequence) "
                       "values ($1, $2, $3, $4)"},
                      {"params",
                       {order, std::to_string(shard_), std::to_string(number_),
                        std::to_string(sequence)}},
                      {"shard", std::to_string(shard_)}};
  return body.dump();
}

void load_session::write() {
  auto sequence = ++last_sequence_;
  now_.order = std::to_string(number_) + "-" + std::to_string(sequence);
  send("/v1/" + settings_.service.value + "/write",
       order_body(sequence, now_.order), [this, sequence](parsed_answer&& got) {
         if (got.how == outcome_code::done) acknowledged_ = sequence;
         finish(got);
       });
}

void load_session::begin() {
  now_.rolled_back = random_() % 100 < roll_back_percent;
  transaction_failed_ = false;
  transaction_ = 0;
  nlohmann::json body{{"shard", std::to_string(shard_)}};
  send("/v1/" + settings_.service.value + "/begin", body.dump(),
       [this](parsed_answer&& got) {
         if (got.how != outcome_code::done) return finish(got);
         transaction_ = got.transaction;
         ++last_sequence_;
         now_.order = std::to_string(number_) + "-" +
                      std::to_string(last_sequence_) + "-t";
         insert_in_transaction(1);
       });
}

std::string load_session::transaction_path(const char* step) const {
  return "/v1/transactions/" + std::to_string(transaction_) + "/" + step;
}

void load_session::insert_in_transaction(int line) {
  auto order = now_.order + (line == 1 ? "" : std::to_string(line));
  auto body = nlohmann::json::parse(order_body(last_sequence_, order));
  body.erase("shard");
  ++now_.statements;
  send(transaction_path("run"), body.dump(), [this, line](parsed_answer&& got) {
    if (got.how != outcome_code::done) {
      // Nothing of it may be kept: the rest is only rolled back.
      now_.rolled_back = true;
      return end_transaction();
    }
    if (line < lines_per_transaction) {
      return insert_in_transaction(line + 1);
    }
    end_transaction();
  });
}

void load_session::end_transaction() {
  ++now_.statements;
  const char* step = now_.rolled_back ? "rollback" : "commit";
  auto sequence = last_sequence_;
  send(transaction_path(step), "{}", [this, sequence](parsed_answer&& got) {
    bool committed = got.how == outcome_code::done && !now_.rolled_back;
    if (committed) acknowledged_ = sequence;
    finish(got);
  });
}

void load_session::send(const std::string& path, const std::string& body,
                        const answer_handler& done) {
  http_request request;
  request.target = path;
  request.body = body;
  const auto& key = settings_.teams[now_.team].key;
  request.headers.emplace_back("Authorization", "Bearer " + key);
  auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(settings_.deadline);
  request.headers.emplace_back("Toucan-Deadline-Ms",
                               std::to_string(deadline.count()));
  if (!token_.empty()) request.headers.emplace_back("Toucan-Session", token_);
  if (now_.kind == call_kind::aged_read) {
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        settings_.max_age);
    request.headers.emplace_back("Toucan-Max-Age-Ms",
                                 std::to_string(age.count()));
  }
  client_->post(request, [this, done](http_client::reply&& reply) {
    parsed_answer got;
    got.answered = reply.answered;
    if (!reply.answered) {
      got.how = reply.sent ? outcome_code::unknown : outcome_code::not_run;
      got.why = "no_connection";
      if (!reply.sent) health_.refused(target_, now());
      return done(std::move(got));
    }
    auto token = reply.header("Toucan-Session");
    if (!token.empty()) token_ = token;
    auto json = nlohmann::json::parse(reply.response.body, nullptr, false);
    if (json.is_object() && json.contains("error")) {
      got.how = read_outcome(json["error"].value("outcome", ""));
      got.why = json["error"].value("kind", "");
    } else if (json.is_object()) {
      got.how = outcome_code::done;
      got.replica = json.value("replica", false);
      got.transaction = json.value("transaction", std::uint64_t{0});
      if (json.contains("result")) got.rows = json["result"]["rows"];
    }
    done(std::move(got));
  });
}

void load_session::finish(const parsed_answer& got) {
  now_.ended = now();
  now_.answered = got.answered;
  now_.how = got.how;
  now_.why = got.why;
  now_.from_replica = got.replica;
  history_.add(load_call(now_));
  busy_ = false;
}

}  // namespace toucanmux
