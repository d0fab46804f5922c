#include "standin/sqlite.h"

#include <sqlite3.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace toucanmux::standin {

namespace {

constexpr std::uint32_t bool_type = 16;
constexpr std::uint32_t int8_type = 20;
constexpr std::uint32_t text_type = 25;
constexpr std::uint32_t float8_type = 701;
constexpr std::size_t cached_statements = 2000;

std::string_view sqlstate_of(int code, std::string_view message) {
  switch (code) {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
      return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
      return "23502";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
      return "23503";
    case SQLITE_CONSTRAINT_CHECK:
      return "23514";
    default:
      break;
  }
  if (message.starts_with("no such table")) return "42P01";
  if (message.starts_with("no such column")) return "42703";
  if (message.find("syntax error") != message.npos) return "42601";
  return "XX000";
}

bool is_declared_bool(sqlite3_stmt* statement, int column) {
  const char* type = sqlite3_column_decltype(statement, column);
  return type && (std::tolower(*type) == 'b') &&
         std::string_view(type).size() <= 7 && std::tolower(type[1]) == 'o';
}

/// Widens a column's type by a value: SQLite types values and PostgreSQL types
/// columns, so a column takes the widest type of its values.
std::uint32_t wider_type(std::uint32_t type, int value_type) {
  if (type == text_type || type == bool_type) return type;
  if (value_type == SQLITE_INTEGER) return type == 0 ? int8_type : type;
  return value_type == SQLITE_FLOAT ? float8_type : text_type;
}

std::vector<parameter> read_row(sqlite3_stmt* statement,
                                std::vector<sql_column>& columns) {
  std::vector<parameter> row(columns.size());
  for (int i = 0; i < static_cast<int>(columns.size()); ++i) {
    int type = sqlite3_column_type(statement, i);
    row[i].null = type == SQLITE_NULL;
    if (row[i].null) continue;
    columns[i].type = wider_type(columns[i].type, type);
    if (columns[i].type == bool_type) {
      row[i].text = sqlite3_column_int(statement, i) ? "t" : "f";
      continue;
    }
    auto text = sqlite3_column_blob(statement, i);
    auto size = sqlite3_column_bytes(statement, i);
    if (type != SQLITE_BLOB) {
      text = sqlite3_column_text(statement, i);
      size = sqlite3_column_bytes(statement, i);
    }
    if (size > 0) row[i].text.assign(static_cast<const char*>(text), size);
  }
  return row;
}

}  // namespace

sqlite::sqlite() {
  sqlite3_open_v2(":memory:", &handle_,
                  SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE |
                      SQLITE_OPEN_NOMUTEX | SQLITE_OPEN_MEMORY,
                  nullptr);
  sqlite3_extended_result_codes(handle_, 1);
  sqlite3_db_config(handle_, SQLITE_DBCONFIG_ENABLE_FKEY, 1, nullptr);
}

sqlite::~sqlite() {
  for (auto& [sql, statement] : statements_) sqlite3_finalize(statement);
  sqlite3_close(handle_);
}

void sqlite::fail() {
  std::string message = sqlite3_errmsg(handle_);
  auto state = sqlstate_of(sqlite3_extended_errcode(handle_), message);
  throw sql_error(state, message);
}

sqlite3_stmt* sqlite::prepare(std::string_view sql) {
  std::string text(sql);
  if (auto it = statements_.find(text); it != statements_.end()) {
    return it->second;
  }
  sqlite3_stmt* statement = nullptr;
  const char* tail = nullptr;
  if (sqlite3_prepare_v3(handle_, text.c_str(), -1, SQLITE_PREPARE_PERSISTENT,
                         &statement, &tail) != SQLITE_OK) {
    fail();
  }
  if (std::string_view(tail).find_first_not_of(" \t\r\n;") !=
      std::string_view::npos) {
    sqlite3_finalize(statement);
    throw sql_error(
        "42601", "cannot insert multiple commands into a prepared statement");
  }
  if (statements_.size() >= cached_statements) {
    for (auto& [key, old] : statements_) sqlite3_finalize(old);
    statements_.clear();
  }
  return statements_[text] = statement;
}

bool sqlite::reads_only(std::string_view sql) {
  return sqlite3_stmt_readonly(prepare(sql)) != 0;
}

sql_result sqlite::run(std::string_view sql,
                       std::span<const parameter> values) {
  sqlite3_stmt* statement = prepare(sql);
  for (int i = 1; i <= sqlite3_bind_parameter_count(statement); ++i) {
    const char* name = sqlite3_bind_parameter_name(statement, i);
    std::size_t number = name ? std::strtoul(name + 1, nullptr, 10) : 0;
    if (number == 0 || number > values.size()) {
      throw sql_error(
          "42P02", "there is no parameter " + std::string(name ? name : "?"));
    }
    const auto& value = values[number - 1];
    if (value.null) {
      sqlite3_bind_null(statement, i);
    } else {
      sqlite3_bind_text(statement, i, value.text.data(),
                        static_cast<int>(value.text.size()), SQLITE_STATIC);
    }
  }
  sql_result out;
  out.columns.resize(sqlite3_column_count(statement));
  for (std::size_t i = 0; i < out.columns.size(); ++i) {
    int index = static_cast<int>(i);
    out.columns[i] = {sqlite3_column_name(statement, index),
                      is_declared_bool(statement, index) ? bool_type : 0};
  }
  int code = sqlite3_step(statement);
  for (; code == SQLITE_ROW; code = sqlite3_step(statement)) {
    out.rows.push_back(read_row(statement, out.columns));
  }
  if (code != SQLITE_DONE) {
    std::string message = sqlite3_errmsg(handle_);
    auto state = sqlstate_of(sqlite3_extended_errcode(handle_), message);
    sqlite3_reset(statement);
    throw sql_error(state, message);
  }
  sqlite3_reset(statement);
  for (auto& column : out.columns) {
    if (column.type == 0) column.type = text_type;
  }
  out.tag = first_word(sql);
  if (out.tag == "INSERT") {
    out.tag += " 0 " + std::to_string(sqlite3_changes(handle_));
  } else if (out.tag == "UPDATE" || out.tag == "DELETE") {
    out.tag += " " + std::to_string(sqlite3_changes(handle_));
  } else if (!out.columns.empty()) {
    out.tag = "SELECT " + std::to_string(out.rows.size());
  } else if (out.tag == "CREATE" || out.tag == "DROP") {
    out.tag += " TABLE";
  }
  return out;
}

void sqlite::copy_from(const sqlite& other) {
  auto* backup = sqlite3_backup_init(handle_, "main", other.handle_, "main");
  if (!backup) fail();
  sqlite3_backup_step(backup, -1);
  sqlite3_backup_finish(backup);
}

std::string first_word(std::string_view sql) {
  auto start = sql.find_first_not_of(" \t\r\n");
  if (start == sql.npos) return "";
  sql.remove_prefix(start);
  std::string out(sql.substr(0, sql.find_first_of(" \t\r\n;(")));
  std::ranges::transform(out, out.begin(), [](unsigned char c) {
    return static_cast<char>(std::toupper(c));
  });
  return out;
}

}  // namespace toucanmux::standin
