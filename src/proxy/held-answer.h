#pragma once

#include <cstddef>
#include <string>

#include "proxy/link-answer.h"

namespace toucanmux {

/// A success that counts only if the database still led when it came.
struct deferred_answer {
  deferred_answer(const link_answer& what, std::size_t from, instant now)
      : answer(what),
        rows(what.rows),
        end_line(what.end_line),
        upstream(from),
        received_at(now) {}

  /// The answer, whose views last as long as this does.
  const link_answer& view() {
    answer.rows = rows;
    answer.end_line = end_line;
    return answer;
  }

  link_answer answer;
  std::string rows;
  std::string end_line;
  std::size_t upstream;
  instant received_at;
};

}  // namespace toucanmux
