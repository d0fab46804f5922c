#include "process/clock.h"

#include <algorithm>
#include <chrono>

namespace toucanmux {

namespace {

constexpr int counter_bits = 10;
// Bounds how far a peer's faulty clock can advance this one.
constexpr std::uint64_t max_clock_skew_us = 60'000'000;

std::uint64_t wall_us() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

}  // namespace

instant now() {
  auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return instant(std::chrono::duration_cast<duration>(since_epoch));
}

std::uint64_t hybrid_clock::tick() {
  std::uint64_t wall = wall_us() << counter_bits;
  std::uint64_t last = last_.load(std::memory_order_relaxed);
  std::uint64_t next = 0;
  do {
    next = std::max(wall, last + 1);
  } while (!last_.compare_exchange_weak(last, next));
  return next;
}

void hybrid_clock::update(std::uint64_t stamp) {
  if ((stamp >> counter_bits) > wall_us() + max_clock_skew_us) return;
  std::uint64_t last = last_.load(std::memory_order_relaxed);
  while (last < stamp && !last_.compare_exchange_weak(last, stamp)) {
  }
}

hybrid_clock& process_clock() {
  static hybrid_clock clock;
  return clock;
}

}  // namespace toucanmux
