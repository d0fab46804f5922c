#include "toucanmux/process/gossip-queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "toucanmux/process/member-table.h"

namespace toucanmux {

namespace {

// An update's numbers and the three strings' lengths.
constexpr std::size_t fixed_bytes = 3 * 8 + 1 + 2 + 2 + 8 + 1 + 4;

}  // namespace

std::size_t wire_size(const member_update& update) {
  return fixed_bytes + update.info.id.value.size() +
         update.info.domain.value.size() + update.info.address.size();
}

void gossip_queue::push(const member_id& id) {
  if (levels_.empty()) levels_.emplace_back();
  stamps_[id] = ++last_stamp_;
  levels_.front().push_back({id, last_stamp_});
}

bool gossip_queue::stale(const entry& one) const {
  auto it = stamps_.find(one.id);
  return it == stamps_.end() || it->second != one.stamp;
}

std::size_t gossip_queue::send_limit(const member_table& table) const {
  auto members = static_cast<double>(table.own().live.size());
  return static_cast<std::size_t>(
      std::ceil(factor_ * std::log2(std::max(members, 1.0) + 1)));
}

std::vector<member_update> gossip_queue::select_updates(
    const member_table& table, std::size_t bytes, bool only_pools) {
  std::vector<member_update> out;
  auto limit = send_limit(table);
  // Moved up only after the walk, so that it meets none twice.
  std::vector<std::pair<entry, std::size_t>> sent;
  bool full = false;
  for (std::size_t level = 0; level < levels_.size() && !full; ++level) {
    std::deque<entry> left = std::exchange(levels_[level], {});
    while (!left.empty()) {
      entry one = std::move(left.front());
      left.pop_front();
      if (stale(one)) continue;
      const auto* known = table.find(one.id);
      if (known == nullptr) {
        stamps_.erase(one.id);
        continue;
      }
      bool skip =
          full || (only_pools && known->known.info.role != member_role::pool);
      auto size = wire_size(known->known);
      if (!skip && size > bytes) full = true;
      if (skip || full) {
        levels_[level].push_back(std::move(one));
        continue;
      }
      bytes -= size;
      out.push_back(known->known);
      sent.emplace_back(std::move(one), level + 1);
    }
  }
  for (auto& [one, level] : sent) keep(std::move(one), level, limit);
  return out;
}

void gossip_queue::keep(entry one, std::size_t level, std::size_t limit) {
  if (level >= limit) {
    stamps_.erase(one.id);
    return;
  }
  if (levels_.size() <= level) levels_.resize(level + 1);
  levels_[level].push_back(std::move(one));
}

}  // namespace toucanmux
