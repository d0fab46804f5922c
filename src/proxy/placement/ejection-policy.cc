#include "toucanmux/proxy/placement/ejection-policy.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An instance sees few reads itself, but it sees them without delay and can
// trust them.
constexpr double own_weight = 3;
// Peers' reads beyond this number add no certainty, so that the own evidence
// keeps some weight against a false report.
constexpr double max_peer_reads = 30;
// Weighted reads below which nothing is concluded.
constexpr double min_reads = 8;
// Shares of reads above which a database is ejected, and by how much they have
// to exceed those of the group's best database: if all fail alike, the fault is
// not the database's.
constexpr double max_failed = 0.3;
constexpr double max_refused = 0.5;
constexpr double min_difference = 0.25;
// A database is slow beyond this multiple of the fastest one's latency. One at
// half speed stays in use with a smaller share.
constexpr double slow_factor = 4;
constexpr duration min_slow_latency = milliseconds(80);
// The first ejection; doubled for each that follows soon after the last.
constexpr duration min_ejection = seconds(2);
constexpr unsigned max_doublings = 3;
constexpr duration return_time = seconds(5);
// A returning database needs some reads at once, to be judged by them.
constexpr double first_share = 0.1;
// A database that was not ejected for this long has no bad record left.
constexpr duration forget_after = seconds(30);

struct verdict {
  std::uint32_t database = 0;
  ejection_policy::reason cause = ejection_policy::reason::failing;
  double badness = 0;
};

double peer_weight(const ejection_policy::evidence& seen) {
  return std::min(seen.peers.reads, max_peer_reads);
}

double weight_of(const ejection_policy::evidence& seen) {
  return own_weight * seen.own.reads + peer_weight(seen);
}

double combined(const ejection_policy::evidence& seen, double own,
                double peers) {
  auto weight = weight_of(seen);
  if (weight <= 0) return 0;
  return (own * own_weight * seen.own.reads + peers * peer_weight(seen)) /
         weight;
}

double failed(const ejection_policy::evidence& seen) {
  return combined(seen, seen.own.failed_rate, seen.peers.failed_rate);
}

double refused(const ejection_policy::evidence& seen) {
  return combined(seen, seen.own.refused_rate, seen.peers.refused_rate);
}

double latency_ms(const ejection_policy::evidence& seen) {
  auto in_ms = [](duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
  };
  auto own = in_ms(seen.own.latency);
  auto peers = in_ms(seen.peers.latency);
  if (own <= 0) return peers;
  if (peers <= 0) return own;
  return combined(seen, own, peers);
}

// Judges one database against the best of the others.
std::optional<verdict> judge(const ejection_policy::evidence& seen,
                             std::span<const ejection_policy::evidence> group) {
  using reason = ejection_policy::reason;
  if (!seen.usable || weight_of(seen) < min_reads) return {};
  double least_failed = 1;
  double least_refused = 1;
  double least_latency = INFINITY;
  for (const auto& other : group) {
    bool is_judged = other.usable && weight_of(other) >= min_reads;
    if (!is_judged || &other == &seen) continue;
    least_failed = std::min(least_failed, failed(other));
    least_refused = std::min(least_refused, refused(other));
    if (latency_ms(other) > 0)
      least_latency = std::min(least_latency, latency_ms(other));
  }
  auto failed_here = failed(seen);
  if (failed_here > max_failed && failed_here > least_failed + min_difference)
    return verdict{seen.database, reason::failing, failed_here};
  auto refused_here = refused(seen);
  bool refuses = refused_here > max_refused &&
                 refused_here > least_refused + min_difference;
  if (refuses) return verdict{seen.database, reason::refusing, refused_here};
  std::chrono::duration<double, std::milli> min_latency = min_slow_latency;
  auto latency = latency_ms(seen);
  bool slow =
      latency > min_latency.count() && latency > slow_factor * least_latency;
  if (slow)
    return verdict{seen.database, reason::slow, least_latency / latency};
  return {};
}

}  // namespace

ejection_policy::ejection* ejection_policy::find(std::uint32_t database) {
  auto found =
      std::find_if(ejections_.begin(), ejections_.end(),
                   [&](const auto& item) { return item.database == database; });
  return found != ejections_.end() ? &*found : nullptr;
}

std::vector<ejection_policy::event> ejection_policy::begin_returns(
    instant now) {
  std::vector<event> out;
  for (auto& item : ejections_) {
    if (item.returning || now < item.ends_at) continue;
    item.returning = true;
    out.push_back({item.database, false, item.cause, duration{0}});
  }
  std::erase_if(ejections_, [&](const auto& item) {
    return now > item.ends_at + forget_after;
  });
  return out;
}

std::vector<ejection_policy::event> ejection_policy::evaluate(
    instant now, std::span<const evidence> group) {
  auto out = begin_returns(now);
  std::vector<verdict> verdicts;
  for (const auto& seen : group) {
    if (auto bad = judge(seen, group)) verdicts.push_back(*bad);
  }
  std::stable_sort(verdicts.begin(), verdicts.end(),
                   [](const auto& one, const auto& other) {
                     return one.badness > other.badness;
                   });
  auto usable = static_cast<std::size_t>(
      std::count_if(group.begin(), group.end(),
                    [](const auto& seen) { return seen.usable; }));
  auto in_force = static_cast<std::size_t>(
      std::count_if(group.begin(), group.end(), [&](const auto& seen) {
        return seen.usable && share(now, seen.database) <= 0;
      }));
  for (const auto& bad : verdicts) {
    // Half, rounded down: 0 if only one is usable.
    if (in_force >= usable / 2) break;
    ejection* before = find(bad.database);
    if (before && !before->returning) continue;
    // The evidence that led to the ejection is still remembered when the
    // database begins to return.
    bool too_early = before && now < before->ends_at + return_time / 2;
    if (too_early) continue;
    if (!before)
      before = &ejections_.emplace_back(ejection{bad.database, {}, 0});
    auto doublings = std::min(before->count, max_doublings);
    auto time = min_ejection * (1U << doublings);
    ++before->count;
    before->ends_at = now + time;
    before->returning = false;
    before->cause = bad.cause;
    ++in_force;
    out.push_back({bad.database, true, bad.cause, time});
  }
  return out;
}

double ejection_policy::share(instant now, std::uint32_t database) const {
  auto found =
      std::find_if(ejections_.begin(), ejections_.end(),
                   [&](const auto& item) { return item.database == database; });
  if (found == ejections_.end()) return 1;
  if (now < found->ends_at) return 0;
  std::chrono::duration<double> since = now - found->ends_at;
  std::chrono::duration<double> whole = return_time;
  return std::min(1.0, first_share + (1 - first_share) * since / whole);
}

std::size_t ejection_policy::ejected(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(ejections_.begin(), ejections_.end(),
                    [&](const auto& item) { return now < item.ends_at; }));
}

}  // namespace toucanmux
