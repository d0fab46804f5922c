#pragma once

#include <string>
#include <vector>

#include "connection/http-message.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

/// A caller's HTTP request in parsed form. docs/CALLERS.md describes the paths,
/// headers and bodies.
struct caller_call {
  service_id service;  ///< Empty inside a transaction.
  access_class access = access_class::read;
  statement_step step = statement_step::single;
  std::uint64_t transaction = 0;  ///< The entry's id; 0 if in no transaction.
  std::string key;                ///< The bearer token; never forwarded.
  std::string session;            ///< The session token's text.
  std::string shard;
  std::string idempotency_key;
  duration time_left{0};  ///< Until the caller's deadline.
  duration max_age{-1};   ///< Negative if only the session limits the age.
  std::string sql;
  std::vector<parameter> parameters;
};

/// Why a request is invalid: the HTTP status and the remedy for the response.
struct call_fault {
  unsigned status = 400;
  std::string remedy;
};

/// Parses and checks a request.
/// @throws call_error if the request is invalid.
caller_call parse_call(const http_request& request);

/// Thrown by `parse_call` for an invalid request.
class call_error : public std::exception {
 public:
  explicit call_error(call_fault fault) : fault_(std::move(fault)) {}
  const call_fault& fault() const { return fault_; }
  const char* what() const noexcept override { return fault_.remedy.c_str(); }

 private:
  call_fault fault_;
};

/// The reply to a caller.
struct call_reply {
  outcome_code outcome = outcome_code::done;
  reason_code reason = reason_code::none;
  bool from_replica = false;
  bool replayed = false;
  duration retry_after{0};  ///< Zero if a later retry does not help.
  std::string result;       ///< JSON.
  std::string message;
  std::string sql_state;
  std::string session;  ///< The updated session token's text.
  /// The entry's id of a transaction that this call began, else 0.
  std::uint64_t transaction = 0;
};

/// Builds the HTTP response of a reply.
http_response make_response(const call_reply& reply);

}  // namespace toucanmux
