#include "process/load-session.h"

#include <nlohmann/json.hpp>

#include "process/clock.h"

namespace toucanmux {

namespace {

constexpr int rows_per_transaction = 2;
constexpr int roll_back_percent = 20;

outcome_code parse_outcome(const std::string& name) {
  if (name == "not_run") return outcome_code::not_run;
  if (name == "failed") return outcome_code::failed;
  return outcome_code::unknown;
}

}  // namespace

struct load_session::parsed_answer {
  bool answered = false;
  outcome_code result = outcome_code::unknown;
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
  load_call new_call;
  new_call.team = current_call_.team;
  new_call.session = number_;
  new_call.shard = shard_;
  new_call.kind = draw_kind();
  new_call.sent_at = now();
  current_call_ = new_call;
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
  const auto& target = settings_.targets[target_];
  if (!client_ || client_->server() != target) {
    client_ = std::make_unique<http_client>(target);
  }
}

void load_session::read() {
  auto expected_echo = static_cast<std::int64_t>(random_() >> 2U);
  nlohmann::json body{
      {"sql",
       "select coalesce(max(sequence), 0), $2 from load_orders "
       "where session = $1"},
      {"params", {std::to_string(number_), std::to_string(expected_echo)}},
      {"shard", std::to_string(shard_)}};
  auto min_sequence = acknowledged_sequence_;
  send("/v1/" + settings_.service.value + "/read", body.dump(),
       [this, expected_echo, min_sequence](parsed_answer&& reply) {
         if (reply.result == outcome_code::done)
           check_read(reply, expected_echo, min_sequence);
         finish(reply);
       });
}

void load_session::check_read(const parsed_answer& reply,
                              std::int64_t expected_echo,
                              std::int64_t min_sequence) {
  auto number = [](const nlohmann::json& value) {
    return value.is_string() ? std::stoll(value.get<std::string>())
                             : value.get<std::int64_t>();
  };
  bool complete = reply.rows.is_array() && reply.rows.size() == 1 &&
                  reply.rows[0].is_array() && reply.rows[0].size() == 2;
  std::string session = "session " + std::to_string(number_);
  history_.check("a caller gets the whole answer to its own request",
                 complete && number(reply.rows[0][1]) == expected_echo,
                 session);
  if (!complete) return;
  auto seen = number(reply.rows[0][0]);
  history_.check("a session reads its own writes", seen >= min_sequence,
                 session + " saw " + std::to_string(seen) + " after " +
                     std::to_string(min_sequence));
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
       [this, sequence](parsed_answer&& reply) {
         if (reply.result == outcome_code::done)
           acknowledged_sequence_ = sequence;
         finish(reply);
       });
}

void load_session::begin() {
  current_call_.rolled_back = random_() % 100 < roll_back_percent;
  transaction_failed_ = false;
  transaction_id_ = 0;
  nlohmann::json body{{"shard", std::to_string(shard_)}};
  send("/v1/" + settings_.service.value + "/begin", body.dump(),
       [this](parsed_answer&& reply) {
         if (reply.result != outcome_code::done) return finish(reply);
         transaction_id_ = reply.transaction;
         ++last_sequence_;
         current_call_.order_id = std::to_string(number_) + "-" +
                                  std::to_string(last_sequence_) + "-t";
         insert_in_transaction(1);
       });
}

std::string load_session::transaction_path(const char* step) const {
  return "/v1/transactions/" + std::to_string(transaction_id_) + "/" + step;
}

void load_session::insert_in_transaction(int row) {
  auto order = current_call_.order_id + (row == 1 ? "" : std::to_string(row));
  auto body = nlohmann::json::parse(order_body(last_sequence_, order));
  body.erase("shard");
  ++current_call_.statements;
  send(transaction_path("run"), body.dump(),
       [this, row](parsed_answer&& reply) {
         if (reply.result != outcome_code::done) {
           // The failed transaction is rolled back; none of its rows may
           // remain.
           current_call_.rolled_back = true;
           return end_transaction();
         }
         if (row < rows_per_transaction) {
           return insert_in_transaction(row + 1);
         }
         end_transaction();
       });
}

void load_session::end_transaction() {
  ++current_call_.statements;
  const char* step = current_call_.rolled_back ? "rollback" : "commit";
  auto sequence = last_sequence_;
  send(transaction_path(step), "{}", [this, sequence](parsed_answer&& reply) {
    bool committed =
        reply.result == outcome_code::done && !current_call_.rolled_back;
    if (committed) acknowledged_sequence_ = sequence;
    finish(reply);
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
    parsed_answer answer;
    answer.answered = reply.answered;
    if (!reply.answered) {
      answer.result =
          reply.sent ? outcome_code::unknown : outcome_code::not_run;
      answer.error_kind = "no_connection";
      if (!reply.sent) health_.record_refused(target_, now());
      return done(std::move(answer));
    }
    auto token = reply.header("Toucan-Session");
    if (!token.empty()) session_token_ = token;
    auto json = nlohmann::json::parse(reply.response.body, nullptr, false);
    if (json.is_object() && json.contains("error")) {
      answer.result = parse_outcome(json["error"].value("outcome", ""));
      answer.error_kind = json["error"].value("kind", "");
    } else if (json.is_object()) {
      answer.result = outcome_code::done;
      answer.from_replica = json.value("replica", false);
      answer.transaction = json.value("transaction", std::uint64_t{0});
      if (json.contains("result")) answer.rows = json["result"]["rows"];
    }
    done(std::move(answer));
  });
}

void load_session::finish(const parsed_answer& reply) {
  current_call_.ended_at = now();
  current_call_.answered = reply.answered;
  current_call_.result = reply.result;
  current_call_.error_kind = reply.error_kind;
  current_call_.from_replica = reply.from_replica;
  history_.add(load_call(current_call_));
  busy_ = false;
}

}  // namespace toucanmux
