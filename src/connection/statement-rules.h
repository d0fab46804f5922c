#pragma once

#include <string>
#include <string_view>

#include "toucanmux/request/statement.h"

namespace toucanmux {

/// Returns why a statement must not be sent on a shared connection, or an empty
/// text if it may be sent. Only transaction steps may begin or end a
/// transaction, and no statement may change the state of the session. Functions
/// that change the session, such as set_config, are not detected.
std::string_view rejection_reason(const statement& request);

/// Returns a digest of the SQL text and the parameters. It tells a retry with
/// an idempotency key from a different request with the same key.
std::string digest_of(const statement& request);

}  // namespace toucanmux
