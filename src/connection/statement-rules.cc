#include "connection/statement-rules.h"

#include <QCryptographicHash>
#include <algorithm>
#include <array>
#include <cctype>

namespace toucanmux {

namespace {

constexpr std::size_t max_parameters = 65535;

constexpr std::array<std::string_view, 7> transaction_keywords = {
    "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "PREPARE"};
constexpr std::array<std::string_view, 9> session_keywords = {
    "SET",     "RESET",      "DISCARD", "LISTEN", "UNLISTEN",
    "EXECUTE", "DEALLOCATE", "LOAD",    "COPY"};

/// Returns the size of the comment at the front of `sql`, or 0 if there is
/// none. Block comments nest in PostgreSQL.
std::size_t comment_size(std::string_view sql) {
  if (sql.starts_with("--")) return std::min(sql.find('\n'), sql.size());
  if (!sql.starts_with("/*")) return 0;
  std::size_t depth = 1;
  std::size_t offset = 2;
  for (; depth > 0 && offset < sql.size(); ++offset) {
    auto marker = sql.substr(offset, 2);
    if (marker != "/*" && marker != "*/") continue;
    depth = marker == "/*" ? depth + 1 : depth - 1;
    ++offset;
  }
  return std::min(offset, sql.size());
}

/// Removes the first word, with the comments, spaces and semicolons before it,
/// and returns the word in upper case.
std::string pop_keyword(std::string_view& sql) {
  while (!sql.empty()) {
    auto skipped = comment_size(sql);
    auto c = static_cast<unsigned char>(sql[0]);
    if (skipped == 0 && (std::isspace(c) || c == ';')) skipped = 1;
    if (skipped == 0) break;
    sql.remove_prefix(skipped);
  }
  std::string word;
  while (!sql.empty() && std::isalpha(static_cast<unsigned char>(sql[0]))) {
    word += static_cast<char>(std::toupper(static_cast<unsigned char>(sql[0])));
    sql.remove_prefix(1);
  }
  return word;
}

bool has_zero_byte(const statement& request) {
  auto contains_zero = [](std::string_view text) {
    return text.find('\0') != text.npos;
  };
  return contains_zero(request.sql) ||
         std::ranges::any_of(request.parameters, [&](const parameter& value) {
           return contains_zero(value.text);
         });
}

}  // namespace

std::string_view rejection_reason(const statement& request) {
  if (has_zero_byte(request)) return "a text holds a zero byte: remove it";
  if (request.parameters.size() > max_parameters) return "too many parameters";
  std::string_view remaining = request.sql;
  auto first = pop_keyword(remaining);
  auto second = pop_keyword(remaining);
  bool inside = request.step == statement_step::inside;
  if (inside && first == "SET" && second == "LOCAL") return "";
  if (inside && first == "ROLLBACK" && second == "TO") return "";
  if (std::ranges::count(transaction_keywords, first) > 0) {
    return "begin and end a transaction with the calls for it";
  }
  if (std::ranges::count(session_keywords, first) > 0) {
    return "the connection is shared: leave its session as it is";
  }
  return "";
}

std::string digest_of(const statement& request) {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  auto append = [&hash](std::string_view text) {
    // The length prefix keeps ("ab", "c") and ("a", "bc") distinct.
    auto size = std::to_string(text.size()) + ":";
    hash.addData(QByteArrayView(size.data(), std::ssize(size)));
    hash.addData(QByteArrayView(text.data(), std::ssize(text)));
  };
  append(request.sql);
  for (const auto& value : request.parameters) {
    append(value.null ? "null" : "text");
    append(value.text);
  }
  return hash.result().toHex().toStdString();
}

}  // namespace toucanmux
