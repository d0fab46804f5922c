#pragma once

#include <libpq-fe.h>

#include <memory>
#include <string>
#include <string_view>

namespace toucanmux {

struct result_deleter {
  void operator()(PGresult* result) const { PQclear(result); }
};

using result_ptr = std::unique_ptr<PGresult, result_deleter>;

/// Returns true if the statement ran without an error.
inline bool succeeded(const result_ptr& result) {
  auto status = PQresultStatus(result.get());
  return status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK ||
         status == PGRES_EMPTY_QUERY;
}

/// Returns a field of an error or notice, such as PG_DIAG_SQLSTATE; empty if
/// absent.
inline std::string_view error_field(const PGresult* result, int field) {
  const char* text = PQresultErrorField(result, field);
  return text ? text : "";
}

/// Converts a result to JSON, for example
/// `{"columns":["a"],"rows":[[1,"x",null]],"tag":"INSERT 0 1"}`. The column's
/// type selects numbers and booleans; other values are strings. Bytes that are
/// not valid UTF-8 become U+FFFD.
std::string to_json(const PGresult* result);

}  // namespace toucanmux
