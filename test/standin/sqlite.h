#pragma once

#include <QtGlobal>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "toucanmux/error.h"
#include "toucanmux/request/statement.h"

struct sqlite3;
struct sqlite3_stmt;

namespace toucanmux::standin {

/// An SQL error with its SQLSTATE.
class sql_error : public error {
 public:
  sql_error(std::string_view state, const std::string& message)
      : error(message), state_(state) {}
  const std::string& state() const { return state_; }

 private:
  std::string state_;
};

struct sql_column {
  std::string name;
  std::uint32_t type = 25;  ///< PostgreSQL's type OID.
};

struct sql_result {
  std::vector<sql_column> columns;
  std::vector<std::vector<parameter>> rows;
  std::string tag;
};

/// An in-memory SQLite database; used by one thread at a time.
class sqlite {
 public:
  sqlite();
  ~sqlite();
  Q_DISABLE_COPY_MOVE(sqlite)

  /// @throws sql_error if the text is not one valid statement.
  bool reads_only(std::string_view sql);
  /// @throws sql_error if the statement fails.
  sql_result run(std::string_view sql, std::span<const parameter> values);
  /// Replaces the contents with a copy of `other`.
  void copy_from(const sqlite& other);

 private:
  sqlite3_stmt* prepare(std::string_view sql);
  [[noreturn]] void fail();

  sqlite3* handle_ = nullptr;
  std::unordered_map<std::string, sqlite3_stmt*> statements_;
};

/// The statement's first word in upper case.
std::string first_word(std::string_view sql);

}  // namespace toucanmux::standin
