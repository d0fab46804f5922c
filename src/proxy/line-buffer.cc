#include "proxy/line-buffer.h"

namespace toucanmux {

// The buffered lines are kept: they are closer to the cause of what made the
// output stop.
void line_buffer::append(std::string_view line) {
  if (pending_.size() + line.size() + 1 > max_bytes_) {
    ++dropped_;
    return;
  }
  pending_ += line;
  pending_ += '\n';
}

}  // namespace toucanmux
