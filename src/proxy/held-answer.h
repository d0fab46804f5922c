#pragma once

#include <cstddef>
#include <string>

#include "proxy/link-answer.h"

namespace toucanmux {

/// A success that counts only if the database still led when it came.
struct held_answer {
  held_answer(const link_answer& what, std::size_t from, instant now)
      : answer(what),
        rows(what.rows),
        end(what.end),
        upstream(from),
        came(now) {}

  /// The answer, whose views last as long as this does.
  const link_answer& shown() {
    answer.rows = rows;
    answer.end = end;
    return answer;
  }

  link_answer answer;
  std::string rows;
  std::string end;
  std::size_t upstream;
  instant came;
};

}  // namespace toucanmux
