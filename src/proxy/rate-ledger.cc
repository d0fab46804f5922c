#include "toucanmux/proxy/rate-ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

constexpr duration min_refresh_interval = std::chrono::milliseconds(100);
// A refresh takes about 8 us a peer with 86 teams, that is a thousandth of a
// core at this interval.
constexpr duration refresh_interval_per_peer = std::chrono::milliseconds(6);
// Weight of the newest interval in a smoothed demand.
constexpr double demand_weight = 0.4;
// Operations a second added to every instance's demand, so that no share is
// zero.
constexpr double min_demand = 0.5;
// Operations that an instance may always admit before it reports them.
constexpr double free_tokens = 2;
// Factor by which an instance may exceed its share, because shares change.
constexpr double share_slack = 1.3;
// Maximum debt of a bucket in bursts. Debt arises while instances do not know
// of each other's usage.
constexpr double max_debt_bursts = 6;
// A rate over a shorter interval is meaningless: an answer to a peer and its
// next report may be milliseconds apart.
constexpr duration min_rate_interval = std::chrono::milliseconds(150);
// Minimum share of an instance as a part of an even share, whatever demand it
// has seen.
constexpr double min_even_share = 0.6;
// Part of the burst below which a team is near its limit.
constexpr double near_limit_level = 0.4;
// Part of the burst that a failure domain may use before it reports to other
// domains. With at most 15 domains this amounts to one and a half bursts, and a
// team whose level drops that far is near its limit.
constexpr double max_unreported_part = 0.1;

double seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

std::uint32_t team_key(const team_id& team) { return short_hash(team.value); }

}  // namespace

void rate_ledger::configure(instant now, std::span<const team_plan> plans) {
  if (started_at_ == instant{}) started_at_ = now;
  std::map<team_id, team_state> kept;
  for (const auto& plan : plans) {
    auto found = teams_.find(plan.team);
    team_state next = found != teams_.end() ? found->second : team_state{};
    if (found == teams_.end()) {
      next.advanced_at = now;
      next.level =
          std::min(plan.burst, plan.rate * seconds(settings_.min_downtime));
    }
    advance(now, next);
    next.key = team_key(plan.team);
    next.rate = plan.rate;
    next.burst = plan.burst;
    next.level = std::min(next.level, plan.burst);
    kept.emplace(plan.team, next);
  }
  teams_ = std::move(kept);
  by_key_.clear();
  for (auto& [team, entry] : teams_) by_key_[entry.key] = &entry;
  refresh(now);
}

rate_ledger::team_state* rate_ledger::find(std::uint32_t team) {
  auto found = by_key_.find(team);
  return found != by_key_.end() ? found->second : nullptr;
}

void rate_ledger::add_peer(instant now, const member_id& peer,
                           double instance_count, bool same_domain,
                           bool reports_totals) {
  auto [it, added] = peers_.try_emplace(peer);
  it->second.instance_count = instance_count;
  it->second.same_domain = same_domain;
  it->second.reports_totals = reports_totals;
  if (!added) return;
  it->second.heard_at = now;
  refresh(now);
}

void rate_ledger::remove_peer(const member_id& peer) { peers_.erase(peer); }

void rate_ledger::apply_report(instant now, const member_id& id,
                               std::uint64_t incarnation, bool settled,
                               std::span<const team_usage> uses,
                               bool complete) {
  peer_state& from = peers_[id];
  bool is_new_process = !from.ever_heard || from.incarnation != incarnation;
  if (is_new_process) from.baseline_known = false;
  // Nothing is reserved for the usage of a new process.
  if (is_new_process) end_silence(from);
  report_header header{now, incarnation, settled};
  for (const auto& use : uses) apply_usage(header, from, use);
  // The peer did not use the silent teams that its reports left out.
  if (complete) end_silence(from);
  from.baseline_known = from.baseline_known || complete;
  bool counted = from.ever_heard && !from.silent;
  from.incarnation = incarnation;
  from.heard_at = now;
  from.ever_heard = true;
  from.silent = false;
  heard_settled_ = heard_settled_ || settled;
  // A report of a new or silent peer changes all shares. Otherwise a periodic
  // refresh is enough, because its cost is peers times teams.
  if (!counted || now - refreshed_at_ >= refresh_interval()) refresh(now);
}

void rate_ledger::end_silence(peer_state& from) {
  for (auto& [team, use] : from.uses) use.silent = false;
}

void rate_ledger::apply_usage(const report_header& header, peer_state& from,
                              const team_usage& use) {
  instant now = header.now;
  peer_team_state& peer_team = from.uses[use.team];
  bool is_new_process = peer_team.incarnation != header.incarnation;
  bool is_first_report = is_new_process && !from.baseline_known;
  if (is_new_process) peer_team.restart(now, header.incarnation);
  // A settled peer's earlier usage is already in the levels. Only that of a
  // peer which is itself new is unknown to all and must be counted.
  if (is_first_report && header.settled) {
    peer_team.admitted = use.admitted;
    peer_team.wanted = use.wanted;
  }
  // Counters may wrap around; a step back is a reordered datagram.
  auto admitted = static_cast<std::int32_t>(use.admitted - peer_team.admitted);
  auto wanted = static_cast<std::int32_t>(use.wanted - peer_team.wanted);
  if (admitted < 0 || wanted < 0) return;
  // Usage of the team while the peer was silent comes from its reserved share.
  bool reserved = std::exchange(peer_team.silent, false);
  // The expected usage was already subtracted as time passed.
  double expected = peer_team.admit_rate * seconds(now - peer_team.reported_at);
  if (is_first_report || reserved) expected = 0;
  double rate_before =
      from.ever_heard && !from.silent ? peer_team.admit_rate : 0;
  team_state* team = find(use.team);
  peer_team.interval_admitted += admitted;
  peer_team.interval_wanted += wanted;
  if (is_first_report) {
    // The rate is unknown yet: assume an even share. A peer that reports for
    // many instances keeps its rate when another one takes over.
    bool keeps_rate = from.instance_count > 1 && peer_team.demand > 0;
    double even_rate = team ? team->rate / fleet_size() : 0;
    if (!keeps_rate) peer_team.admit_rate = even_rate * from.instance_count;
    peer_team.start_interval(now);
  } else {
    peer_team.update_rates(now);
  }
  peer_team.admitted = use.admitted;
  peer_team.wanted = use.wanted;
  peer_team.reported_at = now;
  peer_team.kept_share = use.kept_percent / 100.0;
  if (!team) return;
  advance(now, *team);
  if (is_first_report && (header.settled || from.reports_totals)) {
    adopt_level(now, *team, use.level - team->unreported);
  } else if (!reserved) {
    // For a peer that is new as well, `admitted` is its whole usage so far.
    deduct(*team, admitted - expected);
  }
  team->expected_rate += peer_team.admit_rate - rate_before;
  // Receivers of the totals have reserved the share as well and must not count
  // its usage again.
  if (!reserved) count_peer_usage(*team, from.same_domain, admitted, wanted);
}

void rate_ledger::peer_team_state::restart(instant now,
                                           std::uint64_t new_incarnation) {
  incarnation = new_incarnation;
  admitted = wanted = 0;
  reported_at = interval_start = now;
}

void rate_ledger::peer_team_state::start_interval(instant now) {
  interval_start = now;
  interval_admitted = interval_wanted = 0;
}

void rate_ledger::peer_team_state::update_rates(instant now) {
  if (now - interval_start < min_rate_interval) return;
  double passed = seconds(now - interval_start);
  admit_rate = interval_admitted / passed;
  demand += demand_weight * (interval_wanted / passed - demand);
  start_interval(now);
}

void rate_ledger::count_peer_usage(team_state& team, bool same_domain,
                                   std::int32_t admitted, std::int32_t wanted) {
  (same_domain ? team.near_admitted : team.far_admitted) +=
      static_cast<std::uint32_t>(admitted);
  (same_domain ? team.near_wanted : team.far_wanted) +=
      static_cast<std::uint32_t>(wanted);
}

double rate_ledger::fleet_size() const {
  double out = 1;
  for (const auto& [id, peer] : peers_) out += peer.instance_count;
  return out;
}

duration rate_ledger::refresh_interval() const {
  auto peers = static_cast<duration::rep>(peers_.size());
  return std::max(min_refresh_interval, refresh_interval_per_peer * peers);
}

bool rate_ledger::settled(instant now) const {
  if (started_at_ == instant{}) return false;
  return heard_settled_ || now - started_at_ > settings_.settle_time;
}

// A new instance adopts a peer's level because it does not know the usage
// before its start.
void rate_ledger::adopt_level(instant now, team_state& team, double level) {
  if (now - started_at_ > settings_.settle_time || team.level_known) return;
  // A message may have any value, and no later usage would change some.
  if (!std::isfinite(level)) return;
  team.level = std::clamp(level, min_level(team), team.burst);
  team.level_known = true;
}

void rate_ledger::deduct(team_state& team, double count) {
  team.level = std::clamp(team.level - count, min_level(team), team.burst);
}

// The debt is limited: usage beyond the limit lies too far back to matter.
double rate_ledger::min_level(const team_state& team) {
  return -max_debt_bursts * std::max(team.burst, 1.0);
}

rate_ledger::decision rate_ledger::admit(instant now, const team_id& team) {
  auto out = reserve(now, team);
  if (out.admitted) spend_reserved(team);
  return out;
}

void rate_ledger::spend_reserved(const team_id& team) {
  auto found = teams_.find(team);
  if (found == teams_.end()) return;
  team_state& entry = found->second;
  entry.reserved = std::max(entry.reserved - 1, 0.0);
  ++entry.admitted;
}

void rate_ledger::release_reserved(instant now, const team_id& team) {
  auto found = teams_.find(team);
  if (found == teams_.end()) return;
  team_state& entry = found->second;
  advance(now, entry);
  entry.reserved = std::max(entry.reserved - 1, 0.0);
  entry.unreported = std::max(entry.unreported - 1, 0.0);
  entry.level = std::min(entry.level + 1, entry.burst);
}

rate_ledger::decision rate_ledger::reserve(instant now, const team_id& team) {
  auto found = teams_.find(team);
  if (found == teams_.end()) return {false, std::chrono::seconds(1)};
  if (now - refreshed_at_ >= refresh_interval()) refresh(now);
  team_state& entry = found->second;
  ++entry.wanted;
  advance(now, entry);
  decision out;
  out.level = entry.level;
  out.available_share = entry.available_share;
  out.expected_rate = entry.expected_rate;
  out.unreported = entry.unreported;
  out.admitted =
      entry.level >= 1 && entry.unreported + 1 <= unreported_allowance(entry);
  if (out.admitted) {
    entry.level -= 1;
    entry.unreported += 1;
    entry.reserved += 1;
  } else {
    out.retry_after = time_to_next_token(entry);
  }
  return out;
}

duration rate_ledger::time_to_next_token(const team_state& entry) const {
  if (entry.level >= 1) return settings_.min_report_interval;
  // The expected rate of peers is an estimate that may be wrong for long; the
  // team gets at least this instance's share of the rate.
  double refill =
      std::max({entry.rate * entry.available_share - entry.expected_rate,
                entry.rate * entry.demand_share, 0.1});
  std::chrono::duration<double> wait((1 - entry.level) / refill);
  return std::min(std::chrono::duration_cast<duration>(wait),
                  settings_.max_retry_after);
}

// Until it reports, an instance takes at most its share of the remaining
// tokens, because its peers may be doing the same.
double rate_ledger::unreported_allowance(const team_state& entry) {
  return free_tokens +
         share_slack * entry.demand_share * (entry.level + entry.unreported);
}

bool rate_ledger::needs_report() const {
  return std::any_of(teams_.begin(), teams_.end(), [](const auto& item) {
    return item.second.unreported > free_tokens &&
           item.second.unreported > unreported_allowance(item.second) / 2;
  });
}

void rate_ledger::mark_reported() {
  for (auto& [team, entry] : teams_) entry.unreported = entry.reserved;
}

std::vector<team_usage> rate_ledger::report(bool full, scope counted) const {
  std::vector<team_usage> out;
  for (const auto& [team, entry] : teams_) {
    auto use = make_usage(entry, counted);
    if (use.wanted == 0 || (!full && !reportable(entry, counted))) continue;
    out.push_back(use);
  }
  return out;
}

void rate_ledger::mark_domain_reported(std::span<const team_usage> totals) {
  for (const auto& use : totals) {
    if (auto* entry = find(use.team)) entry->domain_reported = use.admitted;
  }
}

bool rate_ledger::reportable(const team_state& entry, scope counted) {
  if (near_limit(entry)) return true;
  if (counted != scope::domain) return false;
  std::uint32_t unreported_admitted =
      entry.admitted + entry.near_admitted - entry.domain_reported;
  return unreported_admitted > free_tokens + max_unreported_part * entry.burst;
}

team_usage rate_ledger::make_usage(const team_state& entry, scope counted) {
  team_usage out;
  out.team = entry.key;
  out.admitted = entry.admitted;
  out.wanted = entry.wanted;
  out.level = static_cast<float>(entry.level);
  if (counted == scope::own) return out;
  out.admitted += entry.near_admitted;
  out.wanted += entry.near_wanted;
  double kept_share = entry.near_kept;
  if (counted == scope::fleet) {
    out.admitted += entry.far_admitted;
    out.wanted += entry.far_wanted;
    kept_share = 1 - entry.available_share;
  }
  out.kept_percent = static_cast<std::uint8_t>(
      std::ceil(std::clamp(kept_share, 0.0, 1.0) * 100));
  return out;
}

bool rate_ledger::near_limit(const team_state& entry) {
  return entry.wanted > 0 && entry.level < entry.burst * near_limit_level;
}

bool rate_ledger::any_team_near_limit() const {
  return std::any_of(teams_.begin(), teams_.end(),
                     [](const auto& item) { return near_limit(item.second); });
}

void rate_ledger::refresh(instant now) {
  double passed = seconds(now - refreshed_at_);
  for (auto& [team, entry] : teams_) {
    advance(now, entry);
    if (passed > 0) {
      auto wanted = static_cast<double>(entry.wanted - entry.wanted_before);
      double weight = std::min(1.0, demand_weight * passed / 0.4);
      entry.demand += weight * (wanted / passed - entry.demand);
      entry.wanted_before = entry.wanted;
    }
  }
  mark_silent_peers(now);
  double instances = fleet_size();
  for (auto& [team, entry] : teams_) refresh_shares(entry, instances);
  refreshed_at_ = now;
}

void rate_ledger::mark_silent_peers(instant now) {
  std::erase_if(peers_, [&](const auto& item) {
    return item.second.ever_heard &&
           now - item.second.heard_at > settings_.reservation_timeout;
  });
  for (auto& [id, entry] : peers_) {
    if (entry.silent || now - entry.heard_at <= settings_.peer_timeout)
      continue;
    // The reserved share replaces the peer's rate from now on.
    reserve_share(entry);
    for (auto& [team, use] : entry.uses) {
      use.admit_rate = 0;
      use.silent = true;
    }
    entry.silent = true;
  }
}

// Reserves the share that the peer had while all were heard, because it
// continues to use it on its side of a partition.
void rate_ledger::reserve_share(peer_state& silent_peer) const {
  for (const auto& [team, entry] : teams_) {
    double total = entry.demand + min_demand;
    double reserved = 0;
    for (const auto& [id, peer] : peers_) {
      auto use = peer.uses.find(entry.key);
      bool known = use != peer.uses.end();
      if (peer.silent || (known && use->second.silent)) {
        reserved += known ? use->second.reserved_share : 0;
        continue;
      }
      total += min_demand * peer.instance_count;
      if (use != peer.uses.end()) total += use->second.demand;
    }
    peer_team_state& silent_use = silent_peer.uses[entry.key];
    double wanted = silent_use.demand + min_demand * silent_peer.instance_count;
    silent_use.reserved_share = std::max(0.0, 1 - reserved) * wanted / total;
  }
}

void rate_ledger::refresh_shares(team_state& entry, double instances) {
  entry.expected_rate = 0;
  entry.near_kept = 0;
  double far_kept = 0;
  double total_demand = entry.demand + min_demand;
  for (const auto& [id, peer] : peers_) {
    total_demand += min_demand * peer.instance_count;
    double& kept_share = peer.same_domain ? entry.near_kept : far_kept;
    if (!peer.ever_heard) {
      kept_share += peer.instance_count / instances;
      continue;
    }
    auto use = peer.uses.find(entry.key);
    if (use == peer.uses.end()) continue;
    total_demand += use->second.demand;
    kept_share += use->second.silent ? use->second.reserved_share
                                     : use->second.kept_share;
    if (!use->second.silent) entry.expected_rate += use->second.admit_rate;
  }
  entry.available_share = std::max(1 - entry.near_kept - far_kept, 0.0);
  entry.demand_share = std::max((entry.demand + min_demand) / total_demand,
                                min_even_share / instances);
}

void rate_ledger::advance(instant now, team_state& entry) const {
  double passed = seconds(now - entry.advanced_at);
  if (passed <= 0) return;
  entry.advanced_at = now;
  // During a start, peers that were not heard yet can use only their share of
  // the initial level. It is not subtracted until they report their usage.
  bool is_starting = now - started_at_ < settings_.settle_time;
  double share = is_starting ? 1 : entry.available_share;
  double max_level = std::max(entry.burst * share, 1.0);
  double refill_rate = entry.rate * entry.available_share - entry.expected_rate;
  entry.level = std::min(max_level, entry.level + refill_rate * passed);
}

}  // namespace toucanmux
