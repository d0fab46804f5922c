#include "process/load-session.h"

#include <nlohmann/json.hpp>

#include "process/clock.h"

namespace toucanmux {

namespace {

constexpr int rows_per_transaction = 2;
constexpr int roll_back_percent = 20;

outcome parse_outcome(const std::string& word) {
  if (word == "not_run") return outcome::not_run;
  if (word == "failed") return outcome::failed;
  return outcome::unknown;
}

}  // namespace

struct load_session::parsed_answer {
  bool answered = false;
  outcome result = outcome::unknown;
  std::string error_kind;
  bool from_replica = false;
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
  current_call_.team = team;
  current_call_.session = number;
  shard_ =
      static_cast<int>(random_() % static_cast<std::uint64_t>(settings.shards));
  current_call_.shard = shard_;
  target_ = random_() % settings.targets.size();
}

load_session::~load_session() = default;

void load_session::call() {
  busy_ = true;
  choose_target();
  load_call fresh;
  fresh.team = current_call_.team;
  fresh.session = number_;
  fresh.shard = shard_;
  fresh.kind = draw_kind();
  fresh.sent_at = now();
  current_call_ = fresh;
  switch (current_call_.kind) {
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
  for (std::size_t i = 0; i < count && !health_.is_up(target_, now()); ++i) {
    target_ = (target_ + 1) % count;
  }
  const auto& to = settings_.targets[target_];
  if (!client_ || client_->to() != to) {
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
  auto least = acknowledged_sequence_;
  send("/v1/" + settings_.service.value + "/read", body.dump(),
       [this, echo, least](parsed_answer&& got) {
         if (got.result == outcome::done) check_read(got, echo, least);
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
  current_call_.order_id =
      std::to_string(number_) + "-" + std::to_string(sequence);
  send("/v1/" + settings_.service.value + "/write",
       order_body(sequence, current_call_.order_id),
       [this, sequence](parsed_answer&& got) {
         if (got.result == outcome::done) acknowledged_sequence_ = sequence;
         finish(got);
       });
}

void load_session::begin() {
  current_call_.rolled_back = random_() % 100 < roll_back_percent;
  transaction_failed_ = false;
  transaction_id_ = 0;
  nlohmann::json body{{"shard", std::to_string(shard_)}};
  send("/v1/" + settings_.service.value + "/begin", body.dump(),
       [this](parsed_answer&& got) {
         if (got.result != outcome::done) return finish(got);
         transaction_id_ = got.transaction;
         ++last_sequence_;
         current_call_.order_id = std::to_string(number_) + "-" +
                                  std::to_string(last_sequence_) + "-t";
         insert_in_transaction(1);
       });
}

std::string load_session::transaction_path(const char* step) const {
  return "/v1/transactions/" + std::to_string(transaction_id_) + "/" + step;
}

void load_session::insert_in_transaction(int line) {
  auto order = current_call_.order_id + (line == 1 ? "" : std::to_string(line));
  auto body = nlohmann::json::parse(order_body(last_sequence_, order));
  body.erase("shard");
  ++current_call_.statements;
  send(transaction_path("run"), body.dump(), [this, line](parsed_answer&& got) {
    if (got.result != outcome::done) {
      // Nothing of it may be kept: the rest is only rolled back.
      current_call_.rolled_back = true;
      return end_transaction();
    }
    if (line < rows_per_transaction) {
      return insert_in_transaction(line + 1);
    }
    end_transaction();
  });
}

void load_session::end_transaction() {
  ++current_call_.statements;
  const char* step = current_call_.rolled_back ? "rollback" : "commit";
  auto sequence = last_sequence_;
  send(transaction_path(step), "{}", [this, sequence](parsed_answer&& got) {
    bool committed = got.result == outcome::done && !current_call_.rolled_back;
    if (committed) acknowledged_sequence_ = sequence;
    finish(got);
  });
}

void load_session::send(const std::string& path, const std::string& body,
                        const answer_handler& done) {
  http_request request;
  request.target = path;
  request.body = body;
  const auto& key = settings_.teams[current_call_.team].key;
  request.headers.emplace_back("Authorization", "Bearer " + key);
  auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      settings_.call_timeout);
  request.headers.emplace_back("Toucan-Deadline-Ms",
                               std::to_string(deadline.count()));
  if (!session_token_.empty())
    request.headers.emplace_back("Toucan-Session", session_token_);
  if (current_call_.kind == call_kind::aged_read) {
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        settings_.max_age);
    request.headers.emplace_back("Toucan-Max-Age-Ms",
                                 std::to_string(age.count()));
  }
  client_->post(request, [this, done](http_client::reply&& reply) {
    parsed_answer got;
    got.answered = reply.answered;
    if (!reply.answered) {
      got.result = reply.sent ? outcome::unknown : outcome::not_run;
      got.error_kind = "no_connection";
      if (!reply.sent) health_.record_refused(target_, now());
      return done(std::move(got));
    }
    auto token = reply.header("Toucan-Session");
    if (!token.empty()) session_token_ = token;
    auto json = nlohmann::json::parse(reply.response.body, nullptr, false);
    if (json.is_object() && json.contains("error")) {
      got.result = parse_outcome(json["error"].value("outcome", ""));
      got.error_kind = json["error"].value("kind", "");
    } else if (json.is_object()) {
      got.result = outcome::done;
      got.from_replica = json.value("replica", false);
      got.transaction = json.value("transaction", std::uint64_t{0});
      if (json.contains("result")) got.rows = json["result"]["rows"];
    }
    done(std::move(got));
  });
}

void load_session::finish(const parsed_answer& got) {
  current_call_.ended_at = now();
  current_call_.answered = got.answered;
  current_call_.result = got.result;
  current_call_.error_kind = got.error_kind;
  current_call_.from_replica = got.from_replica;
  history_.add(load_call(current_call_));
  busy_ = false;
}

}  // namespace toucanmux
