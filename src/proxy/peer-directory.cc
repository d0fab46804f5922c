#include "proxy/peer-directory.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "toucanmux/hash.h"
#include "toucanmux/proxy/leader-lease.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// With more peers than this, reports to all of them cost each instance over a
// hundredth of a core.
constexpr std::size_t max_mesh_peers = 32;
// A peer that is silent for this long does not count as a member: by then it
// has lost its connections and is not ready.
constexpr duration member_timeout = seconds(10);
// A peer heard within this time is relied on to follow the store; beyond it,
// three reports are missing.
constexpr duration reader_timeout = milliseconds(1500);
constexpr duration record_removal_timeout = seconds(60);
constexpr duration leaving_timeout = seconds(1);
// Time in which a process that starts gets its first lease. A process that
// can't get one must not cause reads of the store for longer.
constexpr duration start_time = seconds(2);

}  // namespace

bool peer_directory::add(instant now, const store_api::member_record& record) {
  if (record.id == self_) return false;
  auto [found, inserted] = peers_.try_emplace(record.id);
  found->second.record = record;
  if (inserted) found->second.known_since = now;
  return inserted;
}

void peer_directory::remove(const member_id& id) { peers_.erase(id); }

// Failure domain names are only compared, so an unknown domain gets a
// placeholder name.
domain_id peer_directory::find_domain(std::uint32_t hash) const {
  if (short_hash(domain_.value) == hash) return domain_;
  for (const auto& [id, entry] : peers_) {
    const auto& known = entry.record.domain;
    if (short_hash(known.value) == hash) return known;
  }
  return domain_id("#" + std::to_string(hash));
}

peer_directory::report_outcome peer_directory::apply_report(
    instant now, const member_id& id, std::uint64_t incarnation,
    const inet_address& address, std::uint64_t echo,
    const peer_report& report) {
  if (id == self_) return {};
  auto [found, inserted] = peers_.try_emplace(id);
  peer& entry = found->second;
  if (inserted) {
    entry.record = {id, find_domain(report.domain), address};
    entry.known_since = now;
  }
  bool restarted = entry.incarnation != incarnation;
  if (!restarted && report.stamp <= entry.last_stamp) return {};
  if (restarted) entry.process_since = now;
  entry.incarnation = incarnation;
  entry.record.address = address;
  entry.last_stamp = report.stamp;
  entry.echoed_stamp = echo;
  entry.heard_at = now;
  entry.ever_heard = true;
  entry.is_gone = false;
  if (entry.first_stamp != report.first_stamp) entry.uses_received = 0;
  entry.first_stamp = report.first_stamp;
  entry.uses_received += report.uses.items.size();
  bool complete = report.all_teams && entry.uses_received >= report.total_uses;
  if (!report.is_first_part) return {&entry, false, complete};
  entry.leaving = report.leaving;
  entry.lacks_store = report.lacks_store;
  entry.is_hub = report.sender_scope != peer_report::scope::self;
  entry.capacity = report.capacity;
  entry.known_peers = report.known_peers;
  entry.upstream_version = {report.store_generation, report.upstream_revision};
  entry.config_version = report.config_version;
  entry.leader_generation = report.leader_generation;
  entry.leader_digest = report.leader_digest;
  entry.lacks_lease =
      std::chrono::milliseconds(report.leader_age_ms) >= leader_lease::length;
  entry.knowers_hash = report.knowers_hash;
  apply_gone_members(entry, report);
  return {&entry, inserted || restarted, complete};
}

// A hub decides which instances of its failure domain are gone. A member takes
// its own hub's decision for all failure domains.
void peer_directory::apply_gone_members(const peer& hub,
                                        const peer_report& report) {
  if (!hub.is_hub || role_ == role::mesh) return;
  bool covers_fleet = report.sender_scope == peer_report::scope::fleet;
  if (covers_fleet && role_ != role::member) return;
  std::set<std::uint32_t> gone_hashes(report.gone.items.begin(),
                                      report.gone.items.end());
  for (auto& [id, entry] : peers_) {
    if (&entry == &hub) continue;
    if (!covers_fleet && entry.record.domain != hub.record.domain) continue;
    entry.is_gone = gone_hashes.contains(short_hash(id.value));
  }
}

// Order of rank: instances that reach the store first, then the larger ones.
bool peer_directory::outranks(const peer& one, const peer& other) const {
  return std::make_tuple(one.lacks_store, ~one.capacity,
                         stable_hash(one.record.id.value)) <
         std::make_tuple(other.lacks_store, ~other.capacity,
                         stable_hash(other.record.id.value));
}

bool peer_directory::outranks_self(const peer& other) const {
  peer own;
  own.record.id = self_;
  own.lacks_store = lacks_store_;
  own.capacity = capacity_;
  return outranks(other, own);
}

bool peer_directory::is_heard(instant now, const peer& other) const {
  return other.ever_heard && !other.leaving &&
         now - other.heard_at < reader_timeout;
}

const peer* peer_directory::domain_reader(instant now) const {
  const peer* best = nullptr;
  for (const auto& [id, entry] : peers_) {
    if (!is_near(entry) || !is_heard(now, entry)) continue;
    // In a large fleet only hubs may be readers; members report only to their
    // hub.
    if (role_ != role::mesh && !entry.is_hub) continue;
    if (!outranks_self(entry)) continue;
    if (!best || outranks(entry, *best)) best = &entry;
  }
  return best;
}

const peer* peer_directory::hub_of(instant now, const domain_id& domain) const {
  const peer* best = nullptr;
  for (const auto& [id, entry] : peers_) {
    bool is_candidate = entry.record.domain == domain && entry.is_hub;
    if (!is_candidate || !is_heard(now, entry)) continue;
    if (!best || outranks(entry, *best)) best = &entry;
  }
  return best;
}

bool peer_directory::outranks_all_hubs(instant now) const {
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.is_hub && is_heard(now, p.second) &&
           outranks_self(p.second);
  });
}

bool peer_directory::new_process_lacks_lease(instant now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    const peer& entry = p.second;
    return is_near(entry) && is_heard(now, entry) && entry.lacks_lease &&
           now - entry.process_since < start_time;
  });
}

std::vector<domain_id> peer_directory::other_domains() const {
  std::set<domain_id> found;
  for (const auto& [id, entry] : peers_) {
    if (!is_near(entry)) found.insert(entry.record.domain);
  }
  return {found.begin(), found.end()};
}

std::size_t peer_directory::count_alive(instant now,
                                        const domain_id& domain) const {
  auto count = std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.record.domain == domain && is_alive(now, p.second);
  });
  return static_cast<std::size_t>(count);
}

bool peer_directory::update_role(instant now) {
  role new_role = role::mesh;
  if (std::max(peers_.size(), max_peers_known_to_hubs(now)) > max_mesh_peers) {
    new_role = domain_reader(now) ? role::member : role::hub;
  }
  if (new_role == role_) return false;
  role_ = new_role;
  role_changed_at_ = now;
  return true;
}

bool peer_directory::is_alive_by_reports(instant now, const peer& other) const {
  if (other.leaving && now - other.heard_at > leaving_timeout) return false;
  return now - std::max(other.heard_at, other.known_since) < member_timeout;
}

bool peer_directory::is_alive(instant now, const peer& other) const {
  if (role_ == role::mesh) return is_alive_by_reports(now, other);
  if (role_ == role::member) return !other.is_gone;
  if (is_alive_by_reports(now, other)) return true;
  if (other.is_gone || other.leaving) return false;
  // A new hub has not yet heard the instances that reported to the former hub.
  if (now - role_changed_at_ < member_timeout) return true;
  return !is_near(other) && has_live_hub(now, other.record.domain);
}

bool peer_directory::has_live_hub(instant now, const domain_id& domain) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.record.domain == domain && p.second.is_hub &&
           now - p.second.heard_at < member_timeout;
  });
}

std::vector<member_id> peer_directory::members(instant now) const {
  std::vector<member_id> out{self_};
  for (const auto& [id, entry] : peers_) {
    if (is_alive(now, entry)) out.push_back(id);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::uint64_t peer_directory::knowers_hash(std::uint64_t digest) const {
  std::uint64_t out = stable_hash(self_.value);
  for (const auto& [id, entry] : peers_) {
    bool has_digest = is_near(entry) && entry.leader_digest == digest;
    if (has_digest) out += stable_hash(id.value);
  }
  return out;
}

bool peer_directory::hub_confirms_digest(const domain_id& domain,
                                         std::uint64_t digest,
                                         std::uint64_t members_hash) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    const peer& entry = p.second;
    return entry.record.domain == domain && entry.is_hub &&
           entry.leader_digest == digest && entry.knowers_hash == members_hash;
  });
}

bool peer_directory::all_have_digest(
    std::span<const store_api::member_record> listed,
    std::uint64_t digest) const {
  std::map<domain_id, std::uint64_t> hash_by_domain;
  for (const auto& record : listed) {
    bool reports_directly = role_ == role::mesh || record.domain == domain_;
    if (record.id == self_) continue;
    if (!reports_directly) {
      hash_by_domain[record.domain] += stable_hash(record.id.value);
      continue;
    }
    auto known = peers_.find(record.id);
    if (known == peers_.end() || known->second.leader_digest != digest) {
      return false;
    }
  }
  return std::all_of(hash_by_domain.begin(), hash_by_domain.end(),
                     [&](const auto& domain_hash) {
                       return hub_confirms_digest(domain_hash.first, digest,
                                                  domain_hash.second);
                     });
}

bool peer_directory::lacks_member_records(instant now) const {
  return max_peers_known_to_hubs(now) > peers_.size();
}

std::size_t peer_directory::max_peers_known_to_hubs(instant now) const {
  std::size_t out = 0;
  for (const auto& [id, entry] : peers_) {
    bool counts = entry.is_hub && is_heard(now, entry);
    if (counts) out = std::max<std::size_t>(out, entry.known_peers);
  }
  return out;
}

std::vector<std::uint32_t> peer_directory::gone_members(instant now,
                                                        bool near_only) const {
  std::vector<std::uint32_t> out;
  for (const auto& [id, entry] : peers_) {
    if (near_only && !is_near(entry)) continue;
    if (!is_alive(now, entry)) out.push_back(short_hash(id.value));
  }
  return out;
}

std::vector<store_api::member_record> peer_directory::long_silent_members(
    instant now) const {
  std::vector<store_api::member_record> out;
  for (const auto& [id, entry] : peers_) {
    bool is_silent = now - std::max(entry.heard_at, entry.known_since) >
                     record_removal_timeout;
    // A hub or member hears only some peers; for the other peers, their hubs
    // decide whether they are gone.
    bool is_gone = role_ == role::mesh || !is_alive(now, entry);
    if (is_silent && is_gone) out.push_back(entry.record);
  }
  return out;
}

}  // namespace toucanmux
