#include "toucanmux/process/member-table.h"

#include <algorithm>
#include <tuple>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

auto precedence(const member_update& update) {
  return std::tuple(update.info.incarnation, update.refutations,
                    static_cast<int>(update.info.state));
}

// The hash ignores suspicion because it is temporary: it ends in a refutation
// or in death.
std::uint32_t state_hash(const member_update& update) {
  bool leaving = update.info.state == member_state::leaving;
  auto hash = stable_hash(update.info.id.value);
  hash = mix(hash ^ update.info.incarnation);
  hash = mix(hash + 2 * std::uint64_t{update.refutations} + (leaving ? 1 : 0));
  return static_cast<std::uint32_t>(hash);
}

bool is_pool(const member_update& update) {
  return update.info.role == member_role::pool;
}

std::uint32_t combined_hash(const member_table::buckets& buckets) {
  std::uint32_t sum = 0;
  for (auto bucket : buckets) sum ^= bucket;
  return sum;
}

}  // namespace

member_table::member_table(const domain_id& own) : own_key_(key_of(own)) {
  domains_[own_key_].key = own_key_;
}

bool member_table::newer(const member_update& a, const member_update& b) {
  return precedence(a) > precedence(b);
}

std::uint32_t member_table::key_of(const domain_id& domain) {
  return static_cast<std::uint32_t>(stable_hash(domain.value));
}

std::size_t member_table::bucket_of(const member_id& id) {
  return stable_hash(id.value) % bucket_count;
}

member_table::record* member_table::apply_update(instant now,
                                                 const member_update& update) {
  bool same_domain = key_of(update.info.domain) == own_key_;
  if (!same_domain && !is_pool(update)) return nullptr;
  auto [it, added] = records_.try_emplace(update.info.id);
  record& changed = it->second;
  if (!added) {
    if (!newer(update, changed.known)) return nullptr;
    if (!changed.dead()) remove_from_domain(changed);
  }
  changed.known = update;
  changed.changed_at = now;
  if (changed.dead()) {
    dead_.emplace_back(now, update.info.id);
  } else {
    add_to_domain(changed);
  }
  return &changed;
}

member_table::record* member_table::find(const member_id& id) {
  auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

const member_table::record* member_table::find(const member_id& id) const {
  auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

void member_table::forget_dead(instant before) {
  while (!dead_.empty() && dead_.front().first <= before) {
    auto it = records_.find(dead_.front().second);
    // The member may have come back, or died again later.
    if (it != records_.end() && it->second.dead() &&
        it->second.changed_at <= before) {
      records_.erase(it);
    }
    dead_.pop_front();
  }
}

void member_table::add_to_domain(record& changed) {
  auto key = key_of(changed.known.info.domain);
  domain_view& view = domains_[key];
  view.key = key;
  changed.live_index = view.live.size();
  view.live.push_back(&changed);
  if (is_pool(changed.known)) ++view.live_pools;
  toggle_hash(changed);
}

void member_table::remove_from_domain(record& changed) {
  toggle_hash(changed);
  domain_view& view = domains_[key_of(changed.known.info.domain)];
  if (is_pool(changed.known)) --view.live_pools;
  auto& live = view.live;
  live.back()->live_index = changed.live_index;
  std::swap(live[changed.live_index], live.back());
  live.pop_back();
}

void member_table::toggle_hash(const record& changed) {
  domain_view& view = domains_[key_of(changed.known.info.domain)];
  auto bucket = bucket_of(changed.known.info.id);
  auto hash = state_hash(changed.known);
  view.all_buckets[bucket] ^= hash;
  if (is_pool(changed.known)) view.pool_buckets[bucket] ^= hash;
}

member_table::buckets member_table::digests(std::uint32_t domain,
                                            bool same_domain) const {
  auto it = domains_.find(domain);
  if (it == domains_.end()) return {};
  return same_domain && domain == own_key_ ? it->second.all_buckets
                                           : it->second.pool_buckets;
}

std::vector<domain_digest> member_table::domain_digests(
    bool same_domain) const {
  std::vector<domain_digest> out;
  out.reserve(domains_.size());
  for (const auto& [key, view] : domains_) {
    out.push_back({key, combined_hash(digests(key, same_domain))});
  }
  return out;
}

std::vector<const member_table::record*> member_table::members_in(
    std::uint32_t domain, std::uint64_t bucket_mask, bool same_domain) const {
  std::vector<const record*> out;
  auto it = domains_.find(domain);
  if (it == domains_.end()) return out;
  bool include_entries = same_domain && domain == own_key_;
  for (const record* live_member : it->second.live) {
    auto bit = std::uint64_t{1} << bucket_of(live_member->known.info.id);
    if ((bucket_mask & bit) != 0 &&
        (include_entries || is_pool(live_member->known)))
      out.push_back(live_member);
  }
  return out;
}

}  // namespace toucanmux
