#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "toucanmux/core.h"

namespace toucanmux {

class allowed_regions;

/// The state of one upstream when a statement is routed.
struct upstream_candidate {
  std::size_t index = 0;  ///< Within the group.
  bool leader = false;
  bool usable = false;  ///< Neither removed, suspended nor draining.
  bool same_domain = false;
  bool warm = false;  ///< The team has an idle connection there.
  /// A new connection may be opened, possibly after closing an idle one.
  bool can_open = false;
  unsigned in_flight = 0;     ///< Statements that this instance runs there.
  duration response_time{0};  ///< Moving average.
  duration response_deviation{0};  ///< Mean deviation from that average.
  duration idle_time{0};           ///< Since the last answer in it.
  duration open_time{0};           ///< Usual time to open a connection.
  duration late_after{0};          ///< When an answer counts as late.
  unsigned slots = 1;       ///< Statements that it runs at the same time.
  bool lagging = false;     ///< Recently lacked a position that a read needed.
  double failure_rate = 0;  ///< Share of recent statements that failed, 0 to 1.

  // The fleet's load, which only `choose_by_load` reads.
  double fleet_in_flight = 0;  ///< Statements that all instances run there.
  duration fleet_latency{0};   ///< Mean response time of reads.
  /// Share of the reads that a database which returns from its ejection gets; 0
  /// while it is ejected.
  double read_share = 1;
  /// Share of its failure domain's reads that it gives away to other domains.
  double shed_share = 0;
};

/// What a statement requires of its upstream.
struct upstream_requirements {
  bool leader_only = false;
  /// Bit set of the indexes, modulo 64, that must not be chosen.
  std::uint64_t excluded = 0;
  const allowed_regions* regions = nullptr;  ///< Null allows all.
};

/// Returns the time that a read gives up rather than leave its failure domain:
/// response times that differ by less may do so by chance. Operators pay for
/// traffic between domains, and links between them fail more often.
duration max_domain_detour(std::span<const upstream_candidate> candidates);

/// Returns the index of the upstream with the lowest estimated cost; nothing if
/// no suitable one has a connection or can open one, so that the statement has
/// to wait.
std::optional<std::size_t> choose_upstream(
    std::span<const upstream_candidate> candidates,
    const upstream_requirements& requirements);

}  // namespace toucanmux
