#pragma once

#include <cstdint>

#include "toucanmux/core.h"
#include "toucanmux/proxy/bounded-list.h"
#include "toucanmux/proxy/domain/drained-domains-report.h"
#include "toucanmux/proxy/group-sighting.h"
#include "toucanmux/proxy/leader-record.h"
#include "toucanmux/proxy/placement/load-list.h"
#include "toucanmux/proxy/position-messages.h"
#include "toucanmux/proxy/team-usage.h"

namespace toucanmux {

/// The periodic report of an instance to its peers, sent several times a
/// second. A report that exceeds a datagram is split into parts.
struct peer_report {
  /// Which instances the report covers.
  enum class scope : std::uint8_t {
    self,
    domain,  ///< Sums of a failure domain; from its hub to the other hubs.
    fleet    ///< Sums of all instances; from a hub to its failure domain.
  };

  scope sender_scope = scope::self;
  /// Of later parts, receivers use only `uses`, `sightings` and `positions`.
  bool is_first_part = true;
  /// Low bits of the stable hash of the domain's name.
  std::uint32_t domain = 0;
  /// The sender's boot clock in microseconds; unique per part.
  std::uint64_t stamp = 0;
  std::uint64_t first_stamp = 0;  ///< The stamp of the report's first part.
  /// The parts together name all teams that were ever used.
  bool all_teams = false;
  std::uint32_t total_uses = 0;
  bool leaving = false;
  bool lacks_store = false;  ///< The sender can't reach the store.
  bool wants_reply = false;
  bool levels_settled = false;    ///< The token levels in `uses` are reliable.
  std::uint32_t capacity = 0;     ///< CPU capacity in thousandths of a core.
  std::uint32_t known_peers = 0;  ///< Number of peers that the sender knows.
  std::uint32_t store_generation = 0;  ///< The newest that the sender knows.
  /// Of the sender's database list in this generation; 0 if that list is older.
  std::uint64_t upstream_revision = 0;
  /// Time since that list was known to be current.
  std::uint32_t upstream_age_ms = 0;
  std::uint64_t config_version = 0;
  std::uint32_t config_digest = 0;
  std::uint32_t config_age_ms = 0;  ///< Time since the version was confirmed.
  std::uint32_t leader_generation = 0;  ///< Of the sender's leader records.
  /// Digest of all leader records that the sender knows.
  std::uint64_t leader_digest = 0;
  std::uint32_t leader_age_ms = 0;  ///< Time since the records were confirmed.
  /// Sum of the stable hashes of the names of all instances in a hub's failure
  /// domain that have these leader records.
  std::uint64_t knowers_hash = 0;
  /// Records that changed recently.
  bounded_list<leader_record, 1024> leader_records;
  bounded_list<team_usage, 1024> uses;
  bounded_list<group_sighting, 1024> sightings;
  /// Positions of the leaders that the sender probes for its failure domain.
  bounded_list<group_position, 1024> positions;
  /// Instances that a hub considers gone: low bits of the names' hashes.
  bounded_list<std::uint32_t, 4096> gone;
  /// Of databases in use; in first parts in a contended deployment.
  load_list loads;
  /// Empty if the sender does not know the drained failure domains.
  bounded_list<drained_domains_report, 1> drained;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(
        cereal::make_nvp("whose", sender_scope),
        cereal::make_nvp("head", is_first_part), CEREAL_NVP(domain),
        CEREAL_NVP(stamp), cereal::make_nvp("cycle", first_stamp),
        CEREAL_NVP(all_teams), cereal::make_nvp("uses_in_all", total_uses),
        CEREAL_NVP(leaving), CEREAL_NVP(lacks_store), CEREAL_NVP(wants_reply),
        cereal::make_nvp("settled", levels_settled), CEREAL_NVP(capacity),
        cereal::make_nvp("known", known_peers), CEREAL_NVP(store_generation),
        CEREAL_NVP(upstream_revision), CEREAL_NVP(upstream_age_ms),
        CEREAL_NVP(config_version), CEREAL_NVP(config_digest),
        CEREAL_NVP(config_age_ms), CEREAL_NVP(leader_generation),
        cereal::make_nvp("lead_digest", leader_digest),
        cereal::make_nvp("lead_age_ms", leader_age_ms),
        cereal::make_nvp("lead_knowers", knowers_hash),
        cereal::make_nvp("leads", leader_records), CEREAL_NVP(uses),
        CEREAL_NVP(sightings), CEREAL_NVP(positions),
        cereal::make_nvp("gone", gone), CEREAL_NVP(loads), CEREAL_NVP(drained));
  }
};

}  // namespace toucanmux
