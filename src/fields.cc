#include "toucanmux/fields.h"

namespace toucanmux {

namespace {

bool needs_quotes(std::string_view text) {
  return text.empty() ||
         text.find_first_of(" \"\n\\") != std::string_view::npos;
}

void append_quoted(std::string& out, std::string_view text) {
  out += '"';
  for (char c : text) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  out += '"';
}

// Parses the value that starts at `pos` and moves `pos` past it.
std::string read_value(std::string_view text, std::size_t& pos) {
  std::string value;
  if (pos >= text.size() || text[pos] != '"') {
    while (pos < text.size() && text[pos] != ' ') value += text[pos++];
    return value;
  }
  for (++pos; pos < text.size() && text[pos] != '"'; ++pos) {
    if (text[pos] != '\\' || pos + 1 == text.size()) {
      value += text[pos];
      continue;
    }
    ++pos;
    value += text[pos] == 'n' ? '\n' : text[pos];
  }
  if (pos >= text.size()) throw trace_error("unclosed quote: close it with \"");
  ++pos;
  return value;
}

}  // namespace

std::string format_fields(const fields& values) {
  std::string out;
  for (const auto& [path, value] : values) {
    if (!out.empty()) out += ' ';
    out += path;
    out += '=';
    if (needs_quotes(value)) {
      append_quoted(out, value);
    } else {
      out += value;
    }
  }
  return out;
}

fields parse_fields(std::string_view text) {
  fields out;
  std::size_t pos = 0;
  while (true) {
    pos = text.find_first_not_of(' ', pos);
    if (pos == std::string_view::npos) return out;
    auto equals = text.find('=', pos);
    if (equals == std::string_view::npos) {
      throw trace_error("word without '=': write field=value, found " +
                        std::string(text.substr(pos)));
    }
    std::string path(text.substr(pos, equals - pos));
    pos = equals + 1;
    out[path] = read_value(text, pos);
  }
}

namespace detail {

std::string format_number(double value) {
  char buffer[32];
  auto [end, ec] = std::to_chars(buffer, buffer + sizeof buffer, value);
  if (ec != std::errc()) return "0";
  return std::string(buffer, end);
}

namespace {

template <class Number>
Number parse(std::string_view text) {
  Number value{};
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec == std::errc() && end == text.data() + text.size()) return value;
  throw trace_error("not a number: " + std::string(text));
}

}  // namespace

double parse_number(std::string_view text) { return parse<double>(text); }

std::int64_t parse_integer(std::string_view text) {
  // Unsigned 64-bit values such as hashes may exceed the signed range.
  if (!text.empty() && text[0] != '-') {
    return static_cast<std::int64_t>(parse<std::uint64_t>(text));
  }
  return parse<std::int64_t>(text);
}

}  // namespace detail

}  // namespace toucanmux
