#include "toucanmux/proxy/lead-lease.h"

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

std::uint64_t digest_of(const lead_record& record) {
  return mix(mix(record.group) ^ record.revision);
}

}  // namespace

void lead_lease::take(instant now, const lead_record& record) {
  auto [at, fresh] = records_.try_emplace(record.group);
  known& entry = at->second;
  if (!fresh && record.revision <= entry.record.revision) return;
  if (!fresh) digest_ -= digest_of(entry.record);
  digest_ += digest_of(record);
  entry = {record, now};
}

// What was known before may be newer than the list, and never older than the
// moment at which the list was read.
void lead_lease::take_list(instant now, instant asked,
                           std::span<const lead_record> records) {
  for (const auto& record : records) take(now, record);
  note_proof(asked);
}

bool lead_lease::prove(instant asked, std::uint64_t peer_digest) {
  if (peer_digest != digest_) return false;
  note_proof(asked);
  return true;
}

void lead_lease::note_proof(instant asked) {
  if (!admitted_ || asked < *admitted_) return;
  if (!proven_ || asked > asked_) asked_ = asked;
  proven_ = true;
}

const lead_record* lead_lease::find(std::uint32_t group) const {
  auto at = records_.find(group);
  return at != records_.end() ? &at->second.record : nullptr;
}

instant lead_lease::known_since(std::uint32_t group) const {
  auto at = records_.find(group);
  return at != records_.end() ? at->second.since : instant{};
}

std::vector<lead_record> lead_lease::recent(instant now, duration age) const {
  std::vector<lead_record> out;
  for (const auto& [group, entry] : records_) {
    if (now - entry.since < age) out.push_back(entry.record);
  }
  return out;
}

}  // namespace toucanmux
