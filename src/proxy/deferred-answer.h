#pragma once

#include <cstddef>
#include <string>

#include "proxy/link-answer.h"

namespace toucanmux {

/// A successful answer that is not passed on until it is confirmed that the
/// database still led its group when the answer was received.
struct deferred_answer {
  deferred_answer(const link_answer& received, std::size_t upstream_index,
                  instant now)
      : answer(received),
        rows(received.rows),
        end_line(received.end_line),
        upstream(upstream_index),
        received_at(now) {}

  /// The answer, with views that are valid as long as this object.
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
