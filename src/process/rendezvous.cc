#include "toucanmux/process/rendezvous.h"

#include <algorithm>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

struct scored_candidate {
  std::uint64_t score = 0;
  const member_id* id = nullptr;
};

// Equal scores are ordered by name, so that the order of the candidates never
// matters.
bool ranks_before(const scored_candidate& a, const scored_candidate& b) {
  if (a.score != b.score) return a.score > b.score;
  return a.id->value < b.id->value;
}

std::uint64_t score_of(std::uint64_t key, const member_id& id) {
  return mix(key ^ stable_hash(id.value));
}

}  // namespace

std::vector<member_id> choose_owners(std::string_view key,
                                     std::span<const member_id> candidates,
                                     std::size_t count) {
  auto hash = stable_hash(key);
  std::vector<scored_candidate> ranked;
  ranked.reserve(candidates.size());
  for (const auto& id : candidates) ranked.push_back({score_of(hash, id), &id});
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<long>(count),
                    ranked.end(), ranks_before);
  std::vector<member_id> out;
  out.reserve(count);
  for (std::size_t i = 0; i < count; ++i) out.push_back(*ranked[i].id);
  return out;
}

bool owns(const member_id& id, std::string_view key,
          std::span<const member_id> candidates, std::size_t count) {
  auto owners = choose_owners(key, candidates, count);
  return std::find(owners.begin(), owners.end(), id) != owners.end();
}

}  // namespace toucanmux
