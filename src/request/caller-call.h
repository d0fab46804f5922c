#pragma once

#include <string>
#include <vector>

#include "connection/http-message.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

/// What a caller asks for, read from one HTTP request. docs/CALLERS.md shows
/// the paths, headers and bodies.
struct caller_call {
  service_id service;  ///< Empty inside a transaction.
  access_class access = access_class::read;
  statement_step step = statement_step::single;
  std::uint64_t transaction = 0;  ///< The entry's id, inside a transaction.
  std::string key;                ///< The bearer token; never sent on.
  std::string session;            ///< The session token's text.
  std::string shard;
  std::string idempotency_key;
  duration time_left{0};  ///< Until the caller's deadline.
  duration max_age{-1};   ///< Negative: any age that the session may see.
  std::string sql;
  std::vector<parameter> parameters;
};

/// A request that is no call: the status and the remedy for its answer.
struct call_fault {
  unsigned status = 400;
  std::string remedy;
};

/// Reads a request.
/// @throws call_error if it is no call.
caller_call parse_call(const http_request& request);

/// What `parse_call` throws.
class call_error : public std::exception {
 public:
  explicit call_error(call_fault fault) : fault_(std::move(fault)) {}
  const call_fault& fault() const { return fault_; }
  const char* what() const noexcept override { return fault_.remedy.c_str(); }

 private:
  call_fault fault_;
};

/// How one call ended, as its caller is told.
struct call_reply {
  outcome_code outcome = outcome_code::done;
  reason_code reason = reason_code::none;
  bool from_replica = false;
  bool replayed = false;
  duration retry_after{0};  ///< Zero if coming back does not help.
  std::string result;       ///< JSON.
  std::string message;
  std::string sql_state;
  std::string session;            ///< The new session token's text.
  std::uint64_t transaction = 0;  ///< The entry's id, while it is open.
};

/// The HTTP form of an ending.
http_response make_response(const call_reply& reply);

}  // namespace toucanmux
