#include "toucanmux/proxy/leader-lease.h"

#include <utility>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

std::uint64_t digest_of(const leader_record& record) {
  return mix(mix(record.group) ^ record.revision);
}

bool has_same_content(const leader_record& one, const leader_record& other) {
  return one.phase == other.phase && one.leader == other.leader &&
         one.pending_promotion == other.pending_promotion;
}

}  // namespace

void leader_lease::begin_generation(std::uint64_t generation) {
  generation_ = generation;
  older_records_ = std::exchange(records_, {});
  digest_ = 0;
}

std::uint64_t leader_lease::digest() const {
  return digest_ + mix(generation());
}

bool leader_lease::adopt_from_peer(instant now, std::uint64_t generation,
                                   std::uint64_t digest,
                                   std::span<const leader_record> records) {
  std::uint64_t found = mix(generation);
  for (const auto& record : records) found += digest_of(record);
  if (found != digest) return false;
  begin_generation(generation);
  for (const auto& record : records) apply_record(now, record);
  return true;
}

void leader_lease::apply_record(instant now, const leader_record& record) {
  if (record.generation != generation()) return;
  // The phase of a message may have any value.
  if (record.phase > leadership_phase::settled) return;
  auto [found, inserted] = records_.try_emplace(record.group);
  known_record& entry = found->second;
  if (!inserted && record.revision <= entry.record.revision) return;
  if (!inserted) digest_ -= digest_of(entry.record);
  digest_ += digest_of(record);
  // What a new generation inherits is not news: a promotion that was pending
  // before ends no later.
  auto older = older_records_.find(record.group);
  bool inherited = inserted && older != older_records_.end() &&
                   has_same_content(older->second.record, record);
  entry = {record, inherited ? older->second.known_at : now, now};
}

// Records known before may be newer than the list; `apply_record` keeps those.
// So afterwards the records are at least as new as `read_sent_at`.
void leader_lease::apply_records(instant now, instant read_sent_at,
                                 std::span<const leader_record> records) {
  for (const auto& record : records) apply_record(now, record);
  advance_confirmation(read_sent_at);
}

bool leader_lease::confirm_from_peer(instant moment,
                                     std::uint64_t peer_digest) {
  if (peer_digest != digest()) return false;
  advance_confirmation(moment);
  return true;
}

void leader_lease::advance_confirmation(instant moment) {
  if (!registered_at_ || moment < *registered_at_) return;
  if (!confirmed_ || moment > confirmed_at_) confirmed_at_ = moment;
  confirmed_ = true;
}

const leader_record* leader_lease::find(std::uint32_t group) const {
  auto at = records_.find(group);
  return at != records_.end() ? &at->second.record : nullptr;
}

instant leader_lease::known_since(std::uint32_t group) const {
  auto at = records_.find(group);
  return at != records_.end() ? at->second.known_at : instant{};
}

std::vector<leader_record> leader_lease::recent(instant now,
                                                duration age) const {
  std::vector<leader_record> out;
  for (const auto& [group, entry] : records_) {
    if (now - entry.applied_at < age) out.push_back(entry.record);
  }
  return out;
}

}  // namespace toucanmux
