#include "toucanmux/process/gossip-queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "toucanmux/process/member-table.h"

namespace toucanmux {

namespace {

// The fixed-size fields of an update and the lengths of its three strings.
constexpr std::size_t fixed_bytes = 3 * 8 + 1 + 2 + 2 + 8 + 1 + 4;

}  // namespace

std::size_t wire_size(const member_update& update) {
  return fixed_bytes + update.info.id.value.size() +
         update.info.domain.value.size() + update.info.address.size();
}

void gossip_queue::push(const member_id& id) {
  if (by_send_count_.empty()) by_send_count_.emplace_back();
  current_stamps_[id] = ++last_stamp_;
  by_send_count_.front().push_back({id, last_stamp_});
}

bool gossip_queue::stale(const entry& candidate) const {
  auto it = current_stamps_.find(candidate.id);
  return it == current_stamps_.end() || it->second != candidate.stamp;
}

std::size_t gossip_queue::send_limit(const member_table& table) const {
  auto members = static_cast<double>(table.own().live.size());
  return static_cast<std::size_t>(
      std::ceil(factor_ * std::log2(std::max(members, 1.0) + 1)));
}

std::vector<member_update> gossip_queue::select_updates(
    const member_table& table, std::size_t max_bytes, bool only_pools) {
  std::vector<member_update> updates;
  auto limit = send_limit(table);
  // Entries are requeued after the loop, so that the loop does not meet them
  // again with a higher send count.
  std::vector<std::pair<entry, std::size_t>> selected;
  bool full = false;
  for (std::size_t send_count = 0; send_count < by_send_count_.size() && !full;
       ++send_count) {
    std::deque<entry> candidates =
        std::exchange(by_send_count_[send_count], {});
    while (!candidates.empty()) {
      entry candidate = std::move(candidates.front());
      candidates.pop_front();
      if (stale(candidate)) continue;
      const auto* record = table.find(candidate.id);
      if (record == nullptr) {
        current_stamps_.erase(candidate.id);
        continue;
      }
      bool skip =
          full || (only_pools && record->known.info.role != member_role::pool);
      auto size = wire_size(record->known);
      if (!skip && size > max_bytes) full = true;
      if (skip || full) {
        by_send_count_[send_count].push_back(std::move(candidate));
        continue;
      }
      max_bytes -= size;
      updates.push_back(record->known);
      selected.emplace_back(std::move(candidate), send_count + 1);
    }
  }
  for (auto& [candidate, send_count] : selected)
    requeue(std::move(candidate), send_count, limit);
  return updates;
}

void gossip_queue::requeue(entry sent, std::size_t send_count,
                           std::size_t limit) {
  if (send_count >= limit) {
    current_stamps_.erase(sent.id);
    return;
  }
  if (by_send_count_.size() <= send_count)
    by_send_count_.resize(send_count + 1);
  by_send_count_[send_count].push_back(std::move(sent));
}

}  // namespace toucanmux
