#include "toucanmux/proxy/inet-address.h"

#include <charconv>

namespace toucanmux {

namespace {

// Parses a number of at most `max_value` and removes it from `text`; false if
// `text` does not start with one.
bool parse_number(std::string_view& text, std::uint32_t max_value,
                  std::uint32_t& out) {
  auto [end, failed] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  if (failed != std::errc() || out > max_value) return false;
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return true;
}

bool skip_char(std::string_view& text, char expected) {
  if (text.empty() || text.front() != expected) return false;
  text.remove_prefix(1);
  return true;
}

}  // namespace

std::optional<inet_address> parse_address(std::string_view text) {
  inet_address out;
  for (int part = 0; part < 4; ++part) {
    std::uint32_t byte = 0;
    if (part > 0 && !skip_char(text, '.')) return {};
    if (!parse_number(text, 255, byte)) return {};
    out.ip = out.ip << 8U | byte;
  }
  std::uint32_t port = 0;
  if (!skip_char(text, ':') || !parse_number(text, 65535, port)) return {};
  if (!text.empty() || port == 0) return {};
  out.port = static_cast<std::uint16_t>(port);
  return out;
}

std::string to_text(const inet_address& address) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    if (shift != 24) out += '.';
    out += std::to_string(address.ip >> static_cast<unsigned>(shift) & 255U);
  }
  return out + ':' + std::to_string(address.port);
}

}  // namespace toucanmux
