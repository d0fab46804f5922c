#include "proxy/peer-directory.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// With more peers than this, reports to all of them cost each instance over a
// hundredth of a core.
constexpr std::size_t mesh_up_to = 32;
// A peer that has said nothing for so long is no member: its connections and
// its readiness are gone.
constexpr duration member_lasts = seconds(10);
// A peer this fresh can be counted on for following the store: three of its
// reports are missing otherwise.
constexpr duration reader_fresh = milliseconds(1500);
constexpr duration record_kept = seconds(60);
constexpr duration leaving_lasts = seconds(1);

}  // namespace

bool peer_directory::add(instant now, const store_api::member_record& record) {
  if (record.id == self_) return false;
  auto [at, fresh] = peers_.try_emplace(record.id);
  at->second.record = record;
  if (fresh) at->second.known = now;
  return fresh;
}

void peer_directory::remove(const member_id& id) { peers_.erase(id); }

// Failure domains are compared, and named only to tell them apart.
domain_id peer_directory::domain_of(std::uint32_t hash) const {
  if (short_hash(domain_.value) == hash) return domain_;
  for (const auto& [id, entry] : peers_) {
    const auto& known = entry.record.domain;
    if (short_hash(known.value) == hash) return known;
  }
  return domain_id("#" + std::to_string(hash));
}

peer_directory::arrival peer_directory::take(instant now, const member_id& id,
                                             std::uint64_t incarnation,
                                             const inet_address& from,
                                             std::uint64_t echo,
                                             const peer_report& report) {
  if (id == self_) return {};
  auto [at, fresh] = peers_.try_emplace(id);
  peer& entry = at->second;
  if (fresh) {
    entry.record = {id, domain_of(report.domain), from};
    entry.known = now;
  }
  bool restarted = entry.incarnation != incarnation;
  if (!restarted && report.stamp <= entry.stamp) return {};
  entry.incarnation = incarnation;
  entry.record.address = from;
  entry.stamp = report.stamp;
  entry.echoed = echo;
  entry.heard = now;
  entry.ever_heard = true;
  entry.gone = false;
  if (entry.cycle != report.cycle) entry.uses = 0;
  entry.cycle = report.cycle;
  entry.uses += report.uses.items.size();
  bool whole = report.all_teams && entry.uses >= report.uses_in_all;
  if (!report.head) return {&entry, false, whole};
  entry.leaving = report.leaving;
  entry.lacks_store = report.lacks_store;
  entry.is_hub = report.whose != peer_report::scope::self;
  entry.capacity = report.capacity;
  entry.peers_known = report.known;
  entry.upstream_revision = report.upstream_revision;
  entry.config_revision = report.config_revision;
  entry.lead_digest = report.lead_digest;
  entry.lead_knowers = report.lead_knowers;
  take_gone(entry, report);
  return {&entry, fresh || restarted, whole};
}

// A hub knows who lives in its failure domain, and the own hub who lives in
// all of them.
void peer_directory::take_gone(const peer& from, const peer_report& report) {
  if (!from.is_hub || role_ == role::mesh) return;
  bool whole = report.whose == peer_report::scope::fleet;
  if (whole && role_ != role::member) return;
  std::set<std::uint32_t> gone(report.gone.items.begin(),
                               report.gone.items.end());
  for (auto& [id, entry] : peers_) {
    if (&entry == &from) continue;
    if (!whole && entry.record.domain != from.record.domain) continue;
    entry.gone = gone.contains(short_hash(id.value));
  }
}

// An instance that reaches the store goes first, then the largest.
bool peer_directory::goes_before(const peer& one, const peer& other) const {
  return std::make_tuple(one.lacks_store, ~one.capacity,
                         stable_hash(one.record.id.value)) <
         std::make_tuple(other.lacks_store, ~other.capacity,
                         stable_hash(other.record.id.value));
}

bool peer_directory::goes_before_self(const peer& what) const {
  peer own;
  own.record.id = self_;
  own.lacks_store = lacks_store_;
  own.capacity = capacity_;
  return goes_before(what, own);
}

bool peer_directory::speaks(instant now, const peer& what) const {
  return what.ever_heard && !what.leaving && now - what.heard < reader_fresh;
}

const peer* peer_directory::reader(instant now) const {
  const peer* best = nullptr;
  for (const auto& [id, entry] : peers_) {
    if (!is_near(entry) || !speaks(now, entry)) continue;
    // Members only report to their hub, and never to be one.
    if (role_ != role::mesh && !entry.is_hub) continue;
    if (!goes_before_self(entry)) continue;
    if (!best || goes_before(entry, *best)) best = &entry;
  }
  return best;
}

const peer* peer_directory::hub_of(instant now, const domain_id& domain) const {
  const peer* best = nullptr;
  for (const auto& [id, entry] : peers_) {
    bool may = entry.record.domain == domain && entry.is_hub;
    if (!may || !speaks(now, entry)) continue;
    if (!best || goes_before(entry, *best)) best = &entry;
  }
  return best;
}

bool peer_directory::goes_before_hubs(instant now) const {
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.is_hub && speaks(now, p.second) &&
           goes_before_self(p.second);
  });
}

std::vector<domain_id> peer_directory::other_domains() const {
  std::set<domain_id> found;
  for (const auto& [id, entry] : peers_) {
    if (!is_near(entry)) found.insert(entry.record.domain);
  }
  return {found.begin(), found.end()};
}

std::size_t peer_directory::size_of(instant now,
                                    const domain_id& domain) const {
  auto count = std::count_if(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.record.domain == domain && lives(now, p.second);
  });
  return static_cast<std::size_t>(count);
}

bool peer_directory::update_role(instant now) {
  role next = role::mesh;
  if (std::max(peers_.size(), known_to_hubs(now)) > mesh_up_to) {
    next = reader(now) ? role::member : role::hub;
  }
  if (next == role_) return false;
  role_ = next;
  role_since_ = now;
  return true;
}

bool peer_directory::lives_by_reports(instant now, const peer& what) const {
  if (what.leaving && now - what.heard > leaving_lasts) return false;
  return now - std::max(what.heard, what.known) < member_lasts;
}

bool peer_directory::lives(instant now, const peer& what) const {
  if (role_ == role::mesh) return lives_by_reports(now, what);
  if (role_ == role::member) return !what.gone;
  if (lives_by_reports(now, what)) return true;
  if (what.gone || what.leaving) return false;
  // A hub that is new has not heard those that reported to the last one.
  if (now - role_since_ < member_lasts) return true;
  return !is_near(what) && hub_lives(now, what.record.domain);
}

bool peer_directory::hub_lives(instant now, const domain_id& domain) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    return p.second.record.domain == domain && p.second.is_hub &&
           now - p.second.heard < member_lasts;
  });
}

std::vector<member_id> peer_directory::members(instant now) const {
  std::vector<member_id> out{self_};
  for (const auto& [id, entry] : peers_) {
    if (lives(now, entry)) out.push_back(id);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::uint64_t peer_directory::knowers(std::uint64_t digest) const {
  std::uint64_t out = stable_hash(self_.value);
  for (const auto& [id, entry] : peers_) {
    bool knows = is_near(entry) && entry.lead_digest == digest;
    if (knows) out += stable_hash(id.value);
  }
  return out;
}

bool peer_directory::hub_vouches(const domain_id& domain, std::uint64_t digest,
                                 std::uint64_t sum) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& p) {
    const peer& entry = p.second;
    return entry.record.domain == domain && entry.is_hub &&
           entry.lead_digest == digest && entry.lead_knowers == sum;
  });
}

bool peer_directory::all_know(std::span<const store_api::member_record> listed,
                              std::uint64_t digest) const {
  std::map<domain_id, std::uint64_t> sums;
  for (const auto& record : listed) {
    bool direct = role_ == role::mesh || record.domain == domain_;
    if (record.id == self_) continue;
    if (!direct) {
      sums[record.domain] += stable_hash(record.id.value);
      continue;
    }
    auto known = peers_.find(record.id);
    if (known == peers_.end() || known->second.lead_digest != digest) {
      return false;
    }
  }
  return std::all_of(sums.begin(), sums.end(), [&](const auto& sum) {
    return hub_vouches(sum.first, digest, sum.second);
  });
}

bool peer_directory::lacks_records(instant now) const {
  return known_to_hubs(now) > peers_.size();
}

std::size_t peer_directory::known_to_hubs(instant now) const {
  std::size_t out = 0;
  for (const auto& [id, entry] : peers_) {
    bool counts = entry.is_hub && speaks(now, entry);
    if (counts) out = std::max<std::size_t>(out, entry.peers_known);
  }
  return out;
}

std::vector<std::uint32_t> peer_directory::gone(instant now,
                                                bool near_only) const {
  std::vector<std::uint32_t> out;
  for (const auto& [id, entry] : peers_) {
    if (near_only && !is_near(entry)) continue;
    if (!lives(now, entry)) out.push_back(short_hash(id.value));
  }
  return out;
}

std::vector<store_api::member_record> peer_directory::long_silent(
    instant now) const {
  std::vector<store_api::member_record> out;
  for (const auto& [id, entry] : peers_) {
    bool unheard = now - std::max(entry.heard, entry.known) > record_kept;
    // In a role that hears few, others tell who is gone.
    bool gone = role_ == role::mesh || !lives(now, entry);
    if (unheard && gone) out.push_back(entry.record);
  }
  return out;
}

}  // namespace toucanmux
