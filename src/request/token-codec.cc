#include "request/token-codec.h"

#include <QMessageAuthenticationCode>

#include "toucanmux/codec.h"

namespace toucanmux {

namespace {

constexpr char token_version = 1;
constexpr qsizetype mac_bytes = 16;
constexpr std::size_t min_key_bytes = 16;

constexpr auto base64_options =
    QByteArray::Base64UrlEncoding | QByteArray::OmitTrailingEquals;

// The time does not depend on where the first difference is, so it gives away
// nothing about the expected signature.
bool equal_in_constant_time(const QByteArray& a, const QByteArray& b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (qsizetype i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

QByteArray from_base64(std::string_view text) {
  auto bytes =
      QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size()));
  auto result = QByteArray::fromBase64Encoding(
      bytes, base64_options | QByteArray::AbortOnBase64DecodingErrors);
  if (!result) throw token_error("session token is not base64url: drop it");
  return result.decoded;
}

}  // namespace

token_codec::token_codec(std::string_view key)
    : key_(key.data(), static_cast<qsizetype>(key.size())) {
  if (key.size() < min_key_bytes) {
    throw settings_error("session key too short: give 16 bytes or more");
  }
}

std::string token_codec::encode(const session_token& token) const {
  std::string body(1, token_version);
  encode_to(body, token);
  QByteArray bytes(body.data(), static_cast<qsizetype>(body.size()));
  bytes += sign(body);
  auto text = bytes.toBase64(base64_options).toStdString();
  if (text.size() > text_limit_bytes) {
    throw token_error("session token too long: start a new session");
  }
  return text;
}

session_token token_codec::decode(std::string_view text) const {
  if (text.empty()) return {};
  if (text.size() > text_limit_bytes) {
    throw token_error("session token too long: drop it");
  }
  auto bytes = from_base64(text);
  if (bytes.size() <= mac_bytes) {
    throw token_error("session token cut short: drop it");
  }
  if (bytes[0] != token_version) {
    throw token_error("session token of another version: start a new session");
  }
  auto size = static_cast<std::size_t>(bytes.size() - mac_bytes);
  std::string_view body(bytes.constData(), size);
  if (!equal_in_constant_time(sign(body), bytes.last(mac_bytes))) {
    throw token_error("session token with a wrong signature: drop it");
  }
  try {
    return toucanmux::decode<session_token>(
        std::span<const char>(body).subspan(1));
  } catch (const protocol_error&) {
    throw token_error("session token can't be read: drop it");
  }
}

QByteArray token_codec::sign(std::string_view body) const {
  QMessageAuthenticationCode mac(QCryptographicHash::Sha256, key_);
  mac.addData(body.data(), static_cast<qsizetype>(body.size()));
  return mac.result().first(mac_bytes);
}

}  // namespace toucanmux
