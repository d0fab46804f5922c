#include "connection/pg-result.h"

#include <cstdint>

namespace toucanmux {

namespace {

enum class json_type : std::uint8_t { text, number, boolean };

json_type json_type_of(Oid type) {
  switch (type) {
    case 16:  // bool
      return json_type::boolean;
    case 20:    // int8
    case 21:    // int2
    case 23:    // int4
    case 26:    // oid
    case 700:   // float4
    case 701:   // float8
    case 1700:  // numeric
      return json_type::number;
    default:
      return json_type::text;
  }
}

/// False for NaN and the infinities, which JSON numbers can't express.
bool is_json_number(std::string_view text) {
  return text.find_first_not_of("0123456789+-.eE") == text.npos &&
         text.find_first_of("0123456789") <= 1;
}

bool is_continuation_byte(std::string_view text, std::size_t offset) {
  return offset < text.size() &&
         (static_cast<unsigned char>(text[offset]) & 0xc0) == 0x80;
}

/// Returns the size of the UTF-8 character at the front of `text` in bytes, or
/// 0 if the bytes there are invalid.
std::size_t character_size(std::string_view text) {
  auto first = static_cast<unsigned char>(text[0]);
  auto second = text.size() > 1 ? static_cast<unsigned char>(text[1]) : 0;
  if (first < 0x80) return 1;
  if (first < 0xc2 || first > 0xf4 || !is_continuation_byte(text, 1)) return 0;
  if (first < 0xe0) return 2;
  // Overlong forms, surrogates and code points above U+10FFFF are invalid.
  if (first == 0xe0 && second < 0xa0) return 0;
  if (first == 0xed && second > 0x9f) return 0;
  if (first == 0xf0 && second < 0x90) return 0;
  if (first == 0xf4 && second > 0x8f) return 0;
  if (!is_continuation_byte(text, 2)) return 0;
  if (first < 0xf0) return 3;
  return is_continuation_byte(text, 3) ? 4 : 0;
}

void append_ascii(std::string& out, char c) {
  constexpr std::string_view digits = "0123456789abcdef";
  switch (c) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    default:
      break;
  }
  if (static_cast<unsigned char>(c) >= 0x20) {
    out += c;
    return;
  }
  out += "\\u00";
  out += digits[static_cast<unsigned char>(c) >> 4];
  out += digits[static_cast<unsigned char>(c) & 0xf];
}

void append_string(std::string& out, std::string_view text) {
  out += '"';
  while (!text.empty()) {
    auto size = character_size(text);
    if (size == 1) {
      append_ascii(out, text[0]);
    } else if (size == 0) {
      out += "\xef\xbf\xbd";
    } else {
      out += text.substr(0, size);
    }
    text.remove_prefix(size == 0 ? 1 : size);
  }
  out += '"';
}

void append_value(std::string& out, json_type type, std::string_view text) {
  if (type == json_type::boolean) {
    out += text == "t" ? "true" : "false";
  } else if (type == json_type::number && is_json_number(text)) {
    out += text;
  } else {
    append_string(out, text);
  }
}

}  // namespace

std::string to_json(const PGresult* result) {
  int columns = PQnfields(result);
  std::string out = "{\"columns\":[";
  for (int i = 0; i < columns; ++i) {
    if (i > 0) out += ',';
    append_string(out, PQfname(result, i));
  }
  out += "],\"rows\":[";
  for (int row = 0; row < PQntuples(result); ++row) {
    out += row > 0 ? ",[" : "[";
    for (int i = 0; i < columns; ++i) {
      if (i > 0) out += ',';
      if (PQgetisnull(result, row, i)) {
        out += "null";
        continue;
      }
      auto size = static_cast<std::size_t>(PQgetlength(result, row, i));
      append_value(out, json_type_of(PQftype(result, i)),
                   {PQgetvalue(result, row, i), size});
    }
    out += ']';
  }
  out += "],\"tag\":";
  append_string(out, PQcmdStatus(const_cast<PGresult*>(result)));
  return out + "}";
}

}  // namespace toucanmux
