#include "toucanmux/proxy/domain/drained-list-policy.h"

#include <algorithm>

namespace toucanmux {

namespace {

using std::chrono::milliseconds;

// Reads start on ticks 200 ms apart, so that the reader reads once a second.
constexpr duration max_read_interval = milliseconds(800);
constexpr int reads_within_bound = 6;
// Three reports of the reader are missing.
constexpr duration max_reader_silence = milliseconds(1500);
// At half of the bound a call of the usual length and a repeated one still fit
// into it. A reader's confirmation reaches the members at an age of up to 2.2
// s.
constexpr int member_reads_within_bound = 2;
constexpr int silences_within_bound = 3;

}  // namespace

bool drained_list_due(const drained_list_situation& situation, duration bound) {
  if (!situation.read_once || !situation.age) return true;
  if (situation.is_reader) {
    auto interval =
        std::min<duration>(max_read_interval, bound / reads_within_bound);
    return *situation.age >= interval;
  }
  auto max_silence =
      std::min<duration>(max_reader_silence, bound / silences_within_bound);
  return situation.reader_silence >= max_silence ||
         *situation.age >= bound / member_reads_within_bound;
}

}  // namespace toucanmux
