#include "toucanmux/request/statement.h"

namespace toucanmux {

std::string_view to_string(reason_code reason) {
  switch (reason) {
    case reason_code::none:
      return "none";
    case reason_code::bad_request:
      return "bad_request";
    case reason_code::key_refused:
      return "key_refused";
    case reason_code::route_refused:
      return "route_refused";
    case reason_code::over_rate:
      return "over_rate";
    case reason_code::queue_full:
      return "queue_full";
    case reason_code::deadline:
      return "deadline";
    case reason_code::no_primary:
      return "no_primary";
    case reason_code::no_upstream:
      return "no_upstream";
    case reason_code::upstream_full:
      return "upstream_full";
    case reason_code::not_ready:
      return "not_ready";
    case reason_code::leaving:
      return "leaving";
    case reason_code::transaction_gone:
      return "transaction_gone";
    case reason_code::connection_lost:
      return "connection_lost";
    case reason_code::key_in_use:
      return "key_in_use";
    case reason_code::upstream_error:
      return "upstream_error";
    case reason_code::no_platform:
      return "no_platform";
  }
  return "unknown";
}

std::string_view to_string(outcome_code outcome) {
  switch (outcome) {
    case outcome_code::done:
      return "done";
    case outcome_code::failed:
      return "failed";
    case outcome_code::not_run:
      return "not_run";
    case outcome_code::behind:
      return "behind";
    case outcome_code::moved:
      return "moved";
    case outcome_code::unknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace toucanmux
