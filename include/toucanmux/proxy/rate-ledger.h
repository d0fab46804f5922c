#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/team-plan.h"
#include "toucanmux/proxy/team-use.h"

namespace toucanmux {

/// Decides which operations of a team run, so that all instances together stay
/// within the team's rate and burst.
///
/// Each instance keeps a bucket for the whole fleet, takes from it what it
/// admits and what its peers report, and extrapolates what they have not
/// reported yet. The share of a peer that has fallen silent stays reserved for
/// it, so that both sides of a partition stay within the limit together.
class rate_ledger {
 public:
  struct verdict {
    bool admitted = false;
    duration retry_after{0};     ///< Until a token is due; 0 if admitted.
    double level = 0;            ///< Tokens that were left.
    double available_share = 0;  ///< Share of the limit not kept for others.
    double expected_rate = 0;    ///< What peers are expected to use a second.
    double unreported = 0;       ///< Admitted here since peers were told.
  };

  struct settings {
    /// A peer without a report for so long counts as silent.
    duration silence_timeout = std::chrono::milliseconds(1800);
    /// Reports follow each other so closely when they are wanted.
    duration min_report_interval = std::chrono::milliseconds(200);
    /// A silent peer's share is given back after so long.
    duration reservation_timeout = std::chrono::seconds(30);
    /// After so long an instance's own levels are as good as any.
    duration settle_time = std::chrono::seconds(5);
    /// A caller is never sent away for longer: levels are estimates.
    duration max_retry_after = std::chrono::seconds(5);
    /// A process that starts was away for so long at least; the bucket was
    /// filled meanwhile.
    duration min_downtime = std::chrono::milliseconds(500);
  };

  rate_ledger() : rate_ledger(settings()) {}
  explicit rate_ledger(const settings& values) : settings_(values) {}

  ~rate_ledger() = default;
  rate_ledger(const rate_ledger&) = delete;
  rate_ledger(rate_ledger&&) = default;
  rate_ledger& operator=(const rate_ledger&) = delete;
  rate_ledger& operator=(rate_ledger&&) = default;

  /// Takes the plans in force. What a new team has used before is unknown: it
  /// starts with a part of its burst, until a peer tells more.
  void configure(instant now, std::span<const team_plan> plans);
  /// A peer that exists, heard or not.
  /// @param weight how many instances its reports stand for.
  /// @param near it belongs to this instance's failure domain.
  /// @param of_all its reports are sums of all instances, so that it knows the
  /// levels better than an instance that has just started.
  void add_peer(instant now, const member_id& peer, double instance_count = 1,
                bool same_domain = true, bool reports_totals = false);
  /// A peer that left for good: nothing stays reserved for it.
  void remove_peer(const member_id& peer);
  /// The reports will come from other peers from now on.
  void remove_all_peers() { peers_.clear(); }
  /// What a peer has admitted since its start.
  /// @param settled the peer has heard others, so that its levels count.
  /// @param whole with this one all teams that it has used were named.
  void apply_report(instant now, const member_id& peer,
                    std::uint64_t incarnation, bool settled,
                    std::span<const team_usage> uses, bool complete = true);
  /// True once a settled peer was heard, or nobody was there to be heard.
  bool settled(instant now) const;

  /// Takes a token for an operation that may still be refused for another
  /// reason. Nobody is told of it before it is spent.
  verdict reserve(instant now, const team_id& team);
  /// The operation has been sent to a database.
  void spend_reserved(const team_id& team);
  /// It has not, and never will be.
  void release_reserved(instant now, const team_id& team);
  /// Reserves and spends at once.
  verdict admit(instant now, const team_id& team);
  /// Whose use a report names.
  enum class scope : std::uint8_t {
    own,
    domain,  ///< Of this instance and the peers that are near.
    fleet    ///< Of all.
  };

  /// What was admitted, for the peers.
  /// @param all false names only the teams near their limit or, of a failure
  /// domain, with much use that was not told yet.
  std::vector<team_usage> report(bool include_all,
                                 scope counted = scope::own) const;
  /// True if this instance has admitted much that its peers do not know of.
  bool needs_report() const;
  /// All peers have been sent a report just now.
  void mark_reported();
  /// All other failure domains have been sent these sums just now.
  void mark_domain_reported(std::span<const team_usage> sums);
  /// True if a team is close to its limit: peers should hear of it sooner.
  bool any_team_near_limit() const;

 private:
  struct peer_team_state {
    std::uint64_t incarnation = 0;  ///< Of the peer, that it counts for.
    std::uint32_t admitted = 0;
    std::uint32_t wanted = 0;
    double admit_rate = 0;      ///< Operations a second, last interval.
    double demand = 0;          ///< Operations a second, smoothed.
    double reserved_share = 0;  ///< Share kept while the peer is silent.
    bool silent = false;        ///< Until the peer names the team again.
    double kept_share = 0;      ///< Share that the peer keeps for silent ones.
    instant reported_at;        ///< When the counters came.
    instant interval_start;     ///< Since when the two below are counted.
    double interval_admitted = 0;
    double interval_wanted = 0;

    /// Counts for another process from now on.
    void restart(instant now, std::uint64_t new_incarnation);
    void start_interval(instant now);
    /// Takes the rates of the time since the last start, if it was long enough.
    void update_rates(instant now);
  };
  /// What holds for all that one report names.
  struct report_header {
    instant now;
    std::uint64_t incarnation = 0;
    bool settled = false;
  };
  struct peer_state {
    std::uint64_t incarnation = 0;
    instant heard_at;
    bool baseline_known = false;  ///< All that it had used before is known.
    double instance_count = 1;    ///< Instances that it stands for.
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
    bool level_known =
        false;              ///< Its level comes from a peer or from long use.
    double unreported = 0;  ///< Admitted since peers were last told.
    double reserved = 0;    ///< Admitted and neither spent nor given back.
    std::uint32_t admitted = 0;
    std::uint32_t wanted = 0;
    std::uint32_t wanted_before = 0;
    double demand = 0;
    // What peers have reported since this instance started.
    std::uint32_t domain_reported_admitted =
        0;  ///< Admitted here and near, as told last.
    std::uint32_t near_admitted = 0;
    std::uint32_t near_wanted = 0;
    std::uint32_t far_admitted = 0;
    std::uint32_t far_wanted = 0;
    // Derived from the peers, refreshed now and then.
    double demand_share = 1;     ///< Of the fleet's demand, this instance's.
    double available_share = 1;  ///< 1 less the shares of silent peers.
    double expected_rate = 0;    ///< Sum of the fresh peers' rates.
    double near_kept = 0;        ///< Share kept for silent near peers.
  };

  team_state* find(std::uint32_t team);
  duration refresh_interval() const;
  double fleet_size() const;
  static void count_peer_usage(team_state& team, bool near,
                               std::int32_t admitted, std::int32_t wanted);
  static team_usage make_usage(const team_state& team, scope counted);
  static void end_silence(peer_state& from);
  void apply_usage(const report_header& head, peer_state& from,
                   const team_usage& use);
  void adopt_level(instant now, team_state& team, double level);
  static void deduct(team_state& team, double count);
  void refresh(instant now);
  duration time_to_next_token(const team_state& team) const;
  static double unreported_allowance(const team_state& team);
  static bool near_limit(const team_state& team);
  static bool worth_reporting(const team_state& team, scope counted);
  void refresh_shares(team_state& team, double instances);
  void mark_silent_peers(instant now);
  void reserve_share(peer_state& silent) const;
  void advance(instant now, team_state& team) const;

  settings settings_;
  std::map<team_id, team_state> accounts_;
  std::unordered_map<std::uint32_t, team_state*>
      by_key_;  ///< Into `accounts_`.
  std::map<member_id, peer_state> peers_;
  instant refreshed_at_;
  instant started_at_;
  bool heard_settled_ = false;
};

}  // namespace toucanmux
