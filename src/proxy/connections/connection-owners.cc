#include "toucanmux/proxy/connections/connection-owners.h"

#include <algorithm>
#include <cmath>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

constexpr std::size_t max_owners = 8;
// An owner with a single connection would close it for each change of team.
constexpr unsigned min_owner_quota = 2;
// An instance whose capacity is not known yet counts like a small one.
constexpr std::uint32_t default_capacity = 250;

// The owners share three quarters of the usable connections.
unsigned owned_connections(unsigned max_connections) {
  return usable_connections(max_connections) * 3 / 4;
}

std::size_t owner_count(unsigned max_connections) {
  unsigned owned = owned_connections(max_connections);
  return std::clamp<std::size_t>(owned / min_owner_quota, owned > 0 ? 1 : 0,
                                 max_owners);
}

// The score of weighted rendezvous hashing: the candidate with the highest one
// is selected with a probability in proportion to its weight.
double weighted_score(std::uint64_t hash, std::uint32_t weight) {
  constexpr unsigned unused_bits = 11;
  constexpr double step = 1.0 / (1ULL << 53U);
  double uniform = (static_cast<double>(hash >> unused_bits) + 0.5) * step;
  return -static_cast<double>(weight) / std::log(uniform);
}

struct scored_candidate {
  double score = 0;
  const member_id* id = nullptr;
};

// Equal scores are ordered by name, so that the order of the candidates does
// not matter.
bool ranks_before(const scored_candidate& a, const scored_candidate& b) {
  if (a.score != b.score) return a.score > b.score;
  return a.id->value < b.id->value;
}

}  // namespace

connection_owners::connection_owners(
    const database_id& database, const domain_id& domain,
    unsigned max_connections, std::span<const owner_candidate> candidates)
    : database_hash_(stable_hash(database.value)),
      max_connections_(max_connections) {
  std::vector<scored_candidate> ranked;
  for (const auto& candidate : candidates) {
    if (candidate.domain != domain) continue;
    auto hash = mix(database_hash_ ^ stable_hash(candidate.id.value));
    auto weight = candidate.capacity ? candidate.capacity : default_capacity;
    ranked.push_back({weighted_score(hash, weight), &candidate.id});
  }
  auto count = std::min(owner_count(max_connections), ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), ranks_before);
  ranked.resize(count);
  for (const auto& item : ranked)
    owners_.push_back({*item.id, stable_hash(item.id->value)});
}

bool connection_owners::contains(const member_id& id) const {
  return std::any_of(owners_.begin(), owners_.end(),
                     [&](const owner& one) { return one.id == id; });
}

const member_id* connection_owners::owner_of(const team_id& team) const {
  auto key = mix(database_hash_ + stable_hash(team.value));
  const owner* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& one : owners_) {
    auto score = mix(key ^ one.hash);
    bool first = score == best_score && best && one.id < best->id;
    if (best && score <= best_score && !first) continue;
    best = &one;
    best_score = score;
  }
  return best ? &best->id : nullptr;
}

unsigned connection_owners::owner_quota() const {
  return owned_connections(max_connections_) /
         static_cast<unsigned>(owners_.size());
}

connection_allowance connection_owners::allowance(const member_id& self,
                                                  std::size_t instances) const {
  connection_allowance out;
  unsigned quota = owner_quota();
  if (contains(self)) {
    // What the others may borrow is free most of the time.
    out.share = quota;
    out.limit = usable_connections(max_connections_) /
                static_cast<unsigned>(owners_.size());
    return out;
  }
  auto owners = static_cast<unsigned>(owners_.size());
  auto others = std::max(static_cast<unsigned>(instances), owners + 1) - owners;
  unsigned remaining = usable_connections(max_connections_) - quota * owners;
  out.share = remaining / others;
  out.limit = std::min(borrowed_limit(max_connections_), remaining);
  out.borrows = true;
  return out;
}

}  // namespace toucanmux
