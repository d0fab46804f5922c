#pragma once

#include <QByteArray>
#include <string>
#include <string_view>

#include "toucanmux/request/session-token.h"

namespace toucanmux {

/// Encodes session tokens as signed header text, and decodes them. All entries
/// of the fleet need the same key, so that each entry accepts the others'
/// tokens.
class token_codec {
 public:
  /// Longer texts are refused without decoding.
  static constexpr std::size_t text_limit_bytes = 8000;

  /// @param key the secret that the fleet's entries share.
  /// @throws settings_error if the key is shorter than 16 bytes.
  explicit token_codec(std::string_view key);

  /// The token as base64url text with a version and a truncated HMAC-SHA256.
  /// @throws token_error if the text would be too long.
  std::string encode(const session_token& token) const;

  /// An empty text gives the token of a new session.
  /// @throws token_error if the text is forged, truncated, too long or of
  /// another version.
  session_token decode(std::string_view text) const;

 private:
  QByteArray sign(std::string_view body) const;

  QByteArray key_;
};

}  // namespace toucanmux
