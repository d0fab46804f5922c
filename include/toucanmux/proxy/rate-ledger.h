#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/team-plan.h"
#include "toucanmux/proxy/team-usage.h"

namespace toucanmux {

/// Decides which operations of a team are admitted, so that all instances
/// together stay within the team's rate and burst.
///
/// Each instance keeps a token bucket of the whole fleet per team. It subtracts
/// what it admits and what peers report, and extrapolates what peers have not
/// reported yet. The share of a silent peer stays reserved, so that both sides
/// of a partition together stay within the limit.
class rate_ledger {
 public:
  struct decision {
    bool admitted = false;
    /// Time until a token is due; 0 if admitted.
    duration retry_after{0};
    /// Tokens in the bucket before this operation.
    double level = 0;
    /// Share of the limit that is not reserved for silent peers.
    double available_share = 0;
    /// Operations a second that peers are expected to use.
    double expected_rate = 0;
    /// Operations admitted here since the last report to peers.
    double unreported = 0;
  };

  struct settings {
    /// A peer without a report for this long counts as silent.
    duration peer_timeout = std::chrono::milliseconds(1800);
    /// Minimum interval between reports, used while needs_report() is true.
    duration min_report_interval = std::chrono::milliseconds(200);
    /// The share of a silent peer is released after this time.
    duration reservation_timeout = std::chrono::seconds(30);
    /// Time after its start from which an instance's own levels are reliable.
    duration settle_time = std::chrono::seconds(5);
    /// Upper bound of `retry_after`, because levels are estimates.
    duration max_retry_after = std::chrono::seconds(5);
    /// Minimum time that a starting process is assumed to have been down; its
    /// buckets start with the tokens of this time.
    duration min_downtime = std::chrono::milliseconds(500);
  };

  rate_ledger() : rate_ledger(settings()) {}
  explicit rate_ledger(const settings& values) : settings_(values) {}

  ~rate_ledger() = default;
  rate_ledger(const rate_ledger&) = delete;
  rate_ledger(rate_ledger&&) = default;
  rate_ledger& operator=(const rate_ledger&) = delete;
  rate_ledger& operator=(rate_ledger&&) = default;

  /// Applies the plans in force. The usage of a new team is unknown, so that
  /// its bucket starts with `min_downtime` worth of tokens until a peer reports
  /// a level.
  void configure(instant now, std::span<const team_plan> plans);
  /// Adds a peer or updates its properties, whether or not it was heard.
  /// @param instance_count the number of instances that its reports stand for.
  /// @param same_domain the peer is in this instance's failure domain.
  /// @param reports_totals its reports are sums over all instances, so that it
  /// knows the levels better than an instance that has just started.
  void add_peer(instant now, const member_id& peer, double instance_count = 1,
                bool same_domain = true, bool reports_totals = false);
  /// Removes a peer that left for good. Nothing stays reserved for it.
  void remove_peer(const member_id& peer);
  /// Removes all peers, because reports will come from other ones.
  void remove_all_peers() { peers_.clear(); }
  /// Applies a report of what a peer has admitted since its start.
  /// @param settled the peer's levels are reliable; see settled().
  /// @param complete the reports up to this one have named all teams that the
  /// peer has used.
  void apply_report(instant now, const member_id& peer,
                    std::uint64_t incarnation, bool settled,
                    std::span<const team_usage> uses, bool complete = true);
  /// True if the levels are reliable: a settled peer has reported, or
  /// `settle_time` has passed since the start.
  bool settled(instant now) const;

  /// Reserves a token for an operation that may still be refused for another
  /// reason. Reports do not include it before spend_reserved().
  decision reserve(instant now, const team_id& team);
  /// Spends a reserved token: the operation was sent to a database.
  void spend_reserved(const team_id& team);
  /// Returns a reserved token: the operation will not be sent.
  void release_reserved(instant now, const team_id& team);
  /// Reserves a token and spends it.
  decision admit(instant now, const team_id& team);

  /// The instances whose usage a report contains.
  enum class scope : std::uint8_t {
    own,
    domain,  ///< This instance and its peers in the failure domain.
    fleet    ///< All instances.
  };

  /// The usage to report to peers.
  /// @param full false names only teams near their limit and, for
  /// `scope::domain`, teams with much unreported usage.
  std::vector<team_usage> report(bool full, scope counted = scope::own) const;
  /// True if this instance has admitted much that it has not reported.
  bool needs_report() const;
  /// Call after a report was sent to all peers.
  void mark_reported();
  /// Call after these totals were sent to all other failure domains.
  void mark_domain_reported(std::span<const team_usage> totals);
  /// True if a team is near its limit, so that reports should be sent sooner.
  bool any_team_near_limit() const;

 private:
  struct peer_team_state {
    /// The peer's process that the counters belong to.
    std::uint64_t incarnation = 0;
    std::uint32_t admitted = 0;
    std::uint32_t wanted = 0;
    /// Operations a second in the last interval.
    double admit_rate = 0;
    /// Operations a second, smoothed.
    double demand = 0;
    /// Share reserved while the peer is silent.
    double reserved_share = 0;
    /// Set until the peer reports the team again.
    bool silent = false;
    /// Share that the peer reserves for silent peers of its own.
    double kept_share = 0;
    /// Time of the last counters.
    instant reported_at;
    /// Start of the interval of the two counters below.
    instant interval_start;
    double interval_admitted = 0;
    double interval_wanted = 0;

    /// Resets the counters for a new process of the peer.
    void restart(instant now, std::uint64_t new_incarnation);
    void start_interval(instant now);
    /// Updates the rates from the interval, if it is long enough, and starts
    /// the next one.
    void update_rates(instant now);
  };
  /// Properties of a report that hold for all its teams.
  struct report_header {
    instant now;
    std::uint64_t incarnation = 0;
    bool settled = false;
  };
  struct peer_state {
    std::uint64_t incarnation = 0;
    instant heard_at;
    /// The usage before the first report is known for all teams.
    bool baseline_known = false;
    /// Number of instances that the peer reports for.
    double instance_count = 1;
    bool same_domain = true;
    bool reports_totals = false;
    bool ever_heard = false;
    bool silent = true;
    std::map<std::uint32_t, peer_team_state> uses;
  };
  struct team_state {
    std::uint32_t key = 0;
    double rate = 0;
    double burst = 0;
    double level = 0;
    instant advanced_at;
    /// The level was reported by a peer.
    bool level_known = false;
    /// Admitted since the last report to peers.
    double unreported = 0;
    /// Reserved tokens, neither spent nor released.
    double reserved = 0;
    std::uint32_t admitted = 0;
    std::uint32_t wanted = 0;
    std::uint32_t wanted_before = 0;
    double demand = 0;
    // Usage that peers have reported since this instance started: "near" peers
    // are in the same failure domain, "far" ones are not.
    /// Domain total in the last report to other domains.
    std::uint32_t domain_reported = 0;
    std::uint32_t near_admitted = 0;
    std::uint32_t near_wanted = 0;
    std::uint32_t far_admitted = 0;
    std::uint32_t far_wanted = 0;
    // Derived from the peers by refresh().
    /// This instance's share of the fleet's demand.
    double demand_share = 1;
    /// 1 less the shares reserved for silent peers.
    double available_share = 1;
    /// Sum of the rates of the peers that are not silent.
    double expected_rate = 0;
    /// Share reserved for silent near peers.
    double near_kept = 0;
  };

  team_state* find(std::uint32_t team);
  duration refresh_interval() const;
  double fleet_size() const;
  static void count_peer_usage(team_state& team, bool same_domain,
                               std::int32_t admitted, std::int32_t wanted);
  static team_usage make_usage(const team_state& team, scope counted);
  static void end_silence(peer_state& from);
  void apply_usage(const report_header& header, peer_state& from,
                   const team_usage& use);
  void adopt_level(instant now, team_state& team, double level);
  static void deduct(team_state& team, double count);
  static double min_level(const team_state& team);
  void refresh(instant now);
  duration time_to_next_token(const team_state& team) const;
  static double unreported_allowance(const team_state& team);
  static bool near_limit(const team_state& team);
  static bool reportable(const team_state& team, scope counted);
  void refresh_shares(team_state& team, double instances);
  void mark_silent_peers(instant now);
  void reserve_share(peer_state& silent_peer) const;
  void advance(instant now, team_state& team) const;

  settings settings_;
  std::map<team_id, team_state> teams_;
  /// Pointers into `teams_`.
  std::unordered_map<std::uint32_t, team_state*> by_key_;
  std::map<member_id, peer_state> peers_;
  instant refreshed_at_;
  instant started_at_;
  bool heard_settled_ = false;
};

}  // namespace toucanmux
