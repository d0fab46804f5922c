#include "request/caller-call.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace toucanmux {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds default_deadline{5000};
constexpr milliseconds max_deadline{60000};
constexpr std::size_t service_name_limit_bytes = 128;
constexpr std::size_t key_limit_bytes = 256;
constexpr std::size_t max_parameters = 1000;

[[noreturn]] void reject(unsigned status, std::string remedy) {
  throw call_error({status, std::move(remedy)});
}

std::optional<std::int64_t> read_milliseconds(const http_request& request,
                                              std::string_view header) {
  auto text = request.header(header);
  if (text.empty()) return {};
  std::int64_t value = 0;
  auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure == std::errc() && end == text.data() + text.size() &&
      value >= 0 && value <= 86'400'000) {
    return value;
  }
  reject(400, std::string(header) + ": write whole milliseconds");
}

std::string read_key(const http_request& request) {
  auto text = request.header("Authorization");
  constexpr std::string_view scheme = "Bearer ";
  if (text.empty()) return {};
  if (!text.starts_with(scheme) || text.size() > key_limit_bytes) {
    reject(401, "Authorization: write Bearer and the team's key");
  }
  return std::string(text.substr(scheme.size()));
}

parameter read_parameter(const nlohmann::json& value) {
  if (value.is_null()) return {true, ""};
  if (value.is_string()) return {false, value.get<std::string>()};
  if (value.is_boolean()) return {false, value.get<bool>() ? "true" : "false"};
  if (value.is_number()) return {false, value.dump()};
  reject(400, "params: write texts, numbers, booleans or null");
}

std::string read_text(const nlohmann::json& body, const char* field) {
  auto it = body.find(field);
  if (it == body.end()) return {};
  if (!it->is_string()) {
    reject(400, std::string(field) + ": write a text");
  }
  return it->get<std::string>();
}

void read_body(caller_call& call, const std::string& text) {
  if (text.empty()) return;
  auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object()) {
    reject(400, "body: write a JSON object with sql and params");
  }
  for (const auto& [field, value] : body.items()) {
    if (field == "sql" || field == "params" || field == "shard") continue;
    reject(400, field + ": no such field; use sql, params and shard");
  }
  call.sql = read_text(body, "sql");
  call.shard = read_text(body, "shard");
  auto params = body.find("params");
  if (params == body.end()) return;
  if (!params->is_array() || params->size() > max_parameters) {
    reject(400, "params: write an array of at most 1000 values");
  }
  for (const auto& value : *params) {
    call.parameters.push_back(read_parameter(value));
  }
}

void read_transaction_path(caller_call& call, std::string_view id,
                           std::string_view step) {
  auto [end, failure] =
      std::from_chars(id.data(), id.data() + id.size(), call.transaction);
  if (failure != std::errc() || end != id.data() + id.size() ||
      call.transaction == 0) {
    reject(404, "no such transaction: use the id that begin gave");
  }
  call.access = access_class::transaction;
  if (step == "run") {
    call.step = statement_step::inside;
  } else if (step == "commit") {
    call.step = statement_step::commit;
  } else if (step == "rollback") {
    call.step = statement_step::rollback;
  } else {
    reject(404, "no such step: use run, commit or rollback");
  }
}

void read_service_path(caller_call& call, std::string_view service,
                       std::string_view access) {
  call.service = service_id(service.substr(0, service_name_limit_bytes));
  if (access == "read") {
    call.access = access_class::read;
  } else if (access == "write") {
    call.access = access_class::write;
  } else if (access == "begin") {
    call.access = access_class::transaction;
    call.step = statement_step::begin;
  } else {
    reject(404, "no such route: use read, write or begin");
  }
}

void read_path(caller_call& call, const http_request& request) {
  auto parts = split_path(request.path());
  if (parts.size() < 3 || parts[0] != "v1") {
    reject(404, "no such path: use /v1/SERVICE/read, write or begin");
  }
  if (request.method != "POST") reject(405, "use POST");
  if (parts[1] == "transactions" && parts.size() == 4) {
    return read_transaction_path(call, parts[2], parts[3]);
  }
  if (parts.size() != 3) {
    reject(404, "no such path: use /v1/SERVICE/read, write or begin");
  }
  read_service_path(call, parts[1], parts[2]);
}

unsigned status_of(const call_reply& reply) {
  switch (reply.reason) {
    case reason_code::none:
      break;
    case reason_code::bad_request:
      return 400;
    case reason_code::key_refused:
      return 401;
    case reason_code::route_refused:
      return 403;
    case reason_code::over_rate:
      return 429;
    case reason_code::transaction_gone:
    case reason_code::key_in_use:
      return 409;
    case reason_code::deadline:
      return 504;
    default:
      break;
  }
  switch (reply.outcome) {
    case outcome_code::done:
      return 200;
    case outcome_code::failed:
      return 422;
    case outcome_code::unknown:
      return 502;
    default:
      return 503;
  }
}

std::string_view remedy_of(const call_reply& reply) {
  if (reply.outcome == outcome_code::unknown) {
    return "it may have run: ask again with the same Idempotency-Key, or look";
  }
  switch (reply.reason) {
    case reason_code::bad_request:
      return "mend the request";
    case reason_code::key_refused:
      return "send a key that is in force";
    case reason_code::route_refused:
      return "ask for a plan that has this service and access";
    case reason_code::over_rate:
      return "come back after Retry-After; the team's rate is used up";
    case reason_code::queue_full:
      return "come back after Retry-After; too much is waiting";
    case reason_code::deadline:
      return "allow more time or come back later";
    case reason_code::no_primary:
      return "come back after Retry-After; the primary is being changed";
    case reason_code::transaction_gone:
      return "begin again; the transaction was rolled back";
    case reason_code::key_in_use:
      return "use another Idempotency-Key for another statement";
    case reason_code::upstream_error:
      return "mend the statement";
    default:
      return "come back after Retry-After";
  }
}

nlohmann::json make_error_body(const call_reply& reply) {
  nlohmann::json error{{"kind", to_string(reply.reason)},
                       {"outcome", to_string(reply.outcome)},
                       {"remedy", remedy_of(reply)}};
  if (!reply.message.empty()) error["message"] = reply.message;
  if (!reply.sql_state.empty()) error["sql_state"] = reply.sql_state;
  if (reply.retry_after > duration::zero()) {
    error["retry_after_ms"] =
        std::chrono::ceil<milliseconds>(reply.retry_after).count();
  }
  return {{"error", std::move(error)}};
}

std::string make_body(const call_reply& reply) {
  if (reply.outcome != outcome_code::done) {
    return make_error_body(reply).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  std::string body = "{\"outcome\":\"done\"";
  if (reply.transaction != 0) {
    body += ",\"transaction\":" + std::to_string(reply.transaction);
  }
  body += reply.from_replica ? ",\"replica\":true" : ",\"replica\":false";
  if (reply.replayed) body += ",\"replayed\":true";
  if (!reply.result.empty()) body += ",\"result\":" + reply.result;
  body += "}";
  return body;
}

}  // namespace

caller_call parse_call(const http_request& request) {
  caller_call call;
  read_path(call, request);
  call.key = read_key(request);
  call.session = std::string(request.header("Toucan-Session"));
  call.idempotency_key = std::string(request.header("Idempotency-Key"));
  if (call.idempotency_key.size() > key_limit_bytes) {
    reject(400, "Idempotency-Key: write at most 256 bytes");
  }
  auto deadline = read_milliseconds(request, "Toucan-Deadline-Ms");
  call.time_left = std::min(
      milliseconds(deadline.value_or(default_deadline.count())), max_deadline);
  auto max_age = read_milliseconds(request, "Toucan-Max-Age-Ms");
  if (max_age) call.max_age = milliseconds(*max_age);
  read_body(call, request.body);
  bool needs_sql = call.step == statement_step::single ||
                   call.step == statement_step::inside;
  if (needs_sql && call.sql.empty()) reject(400, "sql: write a statement");
  return call;
}

http_response make_response(const call_reply& reply) {
  http_response response;
  response.status = status_of(reply);
  response.body = make_body(reply);
  if (!reply.session.empty()) {
    response.headers.emplace_back("Toucan-Session", reply.session);
  }
  if (reply.retry_after > duration::zero()) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(reply.retry_after);
    response.headers.emplace_back("Retry-After",
                                  std::to_string(seconds.count()));
  }
  return response;
}

}  // namespace toucanmux
