#include "toucanmux/proxy/store-generation.h"

namespace toucanmux {

bool store_generation::observe(instant, std::uint64_t generation) {
  if (generation <= current_) return false;
  current_ = generation;
  return true;
}

}  // namespace toucanmux
