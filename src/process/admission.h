#pragma once

#include <functional>

#include "toucanmux/core.h"

namespace toucanmux {

/// The rate limiter's decision on one statement.
struct admission {
  bool admitted = true;
  duration retry_after{0};  ///< If refused, time until the team has a token.
};

/// Requests admission of one statement of a team. The handler is called once,
/// before the call returns or later, on the calling thread.
using admit_function =
    std::function<void(const team_id&, std::function<void(admission)>)>;

}  // namespace toucanmux
