#include "toucanmux/proxy/admission/refusal-reason.h"

#include <array>

namespace toucanmux {

namespace {

struct reason_names {
  std::string_view label;
  std::string_view text;
};

// In the order of `refusal_reason`.
constexpr std::array<reason_names, refusal_reason_count> names{{
    {"no_configuration", "no configuration yet"},
    {"unknown_key", "no team has this key"},
    {"unknown_database", "no such database"},
    {"keys_unconfirmed", "keys can't be checked now"},
    {"key_withdrawn", "the key is not valid any more"},
    {"over_rate", "over the team's rate"},
    {"no_group", "no such group here"},
    {"no_database", "no database can serve this now"},
    {"outside_regions", "no database in an allowed region can serve this now"},
    {"domain_drained", "the failure domain is drained"},
    {"warming_up", "the database warms up"},
    {"leader_changes", "the leader changes"},
    {"leader_busy", "the leader is busy"},
    {"databases_busy", "the databases are busy"},
    {"queue_too_long", "the line is too long"},
    {"no_connection", "no connection was free in time"},
    {"lagging", "no log is far enough"},
    {"not_prepared", "the statement was not prepared"},
    {"database_error", "the database answered with an error"},
    {"connection_lost", "the database's connection was lost"},
    {"owner_refuses", "the owner of the connections refuses"},
    {"leader_replaced", "another leader was named meanwhile"},
    {"no_answer", "no answer within the route's time limit"},
    {"transaction_open", "a transaction is open already"},
    {"no_transaction", "no transaction"},
    {"transaction_failed", "the transaction has failed"},
    {"transaction_lost", "the transaction's connection was lost"},
    {"roll_back_first", "roll back first"},
    {"unknown_prepared", "no such prepared name"},
    {"unknown_statement", "unknown statement"},
    {"instance_stops", "this instance stops"},
}};

}  // namespace

std::string_view text_of(refusal_reason reason) {
  return names[static_cast<std::size_t>(reason)].text;
}

std::string_view label_of(refusal_reason reason) {
  return names[static_cast<std::size_t>(reason)].label;
}

}  // namespace toucanmux
