#pragma once

#include <string>
#include <string_view>

namespace toucanmux {

/// The SHA-256 of an API key in lower-case hex, as the list of teams stores it.
std::string hash_key(std::string_view key);

}  // namespace toucanmux
