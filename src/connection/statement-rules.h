#pragma once

#include <string>
#include <string_view>

#include "toucanmux/request/statement.h"

namespace toucanmux {

/// Why a statement may not be sent on a shared connection; empty if it may.
/// Transactions begin and end by their steps only, and nothing may outlive a
/// statement on the connection. A function that changes the session, such as
/// set_config, is not seen here.
std::string_view rejection_reason(const statement& request);

/// A digest of the text and the parameters, to tell an idempotency key that
/// comes again from one that was used for something else.
std::string digest_of(const statement& request);

}  // namespace toucanmux
