#pragma once

#include <cstdint>

#include "toucanmux/core.h"
#include "toucanmux/proxy/bounded-list.h"
#include "toucanmux/proxy/group-sighting.h"
#include "toucanmux/proxy/lead-record.h"
#include "toucanmux/proxy/position-messages.h"
#include "toucanmux/proxy/team-use.h"

namespace toucanmux {

/// What instances tell each other several times a second.
struct peer_report {
  /// Whom the report speaks for.
  enum class scope : std::uint8_t {
    self,
    domain,  ///< A hub, to the hubs of other failure domains.
    fleet    ///< A hub, to its failure domain.
  };

  scope sender_scope = scope::self;
  bool is_first_part =
      true;  ///< The first part: only it has all that is not `uses`.
  std::uint32_t domain = 0;       ///< The low bits of the name's stable hash.
  std::uint64_t stamp = 0;        ///< The sender's steady time in microseconds.
  std::uint64_t first_stamp = 0;  ///< The stamp of the first part.
  bool all_teams = false;  ///< All that were used, in all parts together.
  std::uint32_t total_uses = 0;
  bool leaving = false;
  bool lacks_store = false;  ///< The sender does not reach the store.
  bool wants_reply = false;
  bool levels_settled = false;    ///< The levels in `uses` may be taken over.
  std::uint32_t capacity = 0;     ///< Thousandths of a core.
  std::uint32_t known_peers = 0;  ///< Peers that a hub knows of.
  std::uint64_t upstream_revision = 0;  ///< Of what it knows of discovery.
  std::uint64_t config_revision = 0;
  std::uint32_t config_age_ms = 0;  ///< Since the revision was proven.
  std::uint64_t leader_digest = 0;  ///< Of all records of leaders.
  std::uint32_t leader_age_ms = 0;  ///< Since they were proven.
  /// Sum of the stable hashes of the names of all in a hub's failure domain
  /// that know these records.
  std::uint64_t knowers_hash = 0;
  bounded_list<lead_record, 1024> leader_records;  ///< Those that are new.
  bounded_list<team_use, 1024> uses;
  bounded_list<group_sighting, 1024> sightings;
  /// Where the sender probes the leaders for others.
  bounded_list<group_position, 1024> positions;
  /// Instances that a hub counts as gone: low bits of the names' hashes.
  bounded_list<std::uint32_t, 4096> gone;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(
        cereal::make_nvp("whose", sender_scope),
        cereal::make_nvp("head", is_first_part), CEREAL_NVP(domain),
        CEREAL_NVP(stamp), cereal::make_nvp("cycle", first_stamp),
        CEREAL_NVP(all_teams), cereal::make_nvp("uses_in_all", total_uses),
        CEREAL_NVP(leaving), CEREAL_NVP(lacks_store), CEREAL_NVP(wants_reply),
        cereal::make_nvp("settled", levels_settled), CEREAL_NVP(capacity),
        cereal::make_nvp("known", known_peers), CEREAL_NVP(upstream_revision),
        CEREAL_NVP(config_revision), CEREAL_NVP(config_age_ms),
        cereal::make_nvp("lead_digest", leader_digest),
        cereal::make_nvp("lead_age_ms", leader_age_ms),
        cereal::make_nvp("lead_knowers", knowers_hash),
        cereal::make_nvp("leads", leader_records), CEREAL_NVP(uses),
        CEREAL_NVP(sightings), CEREAL_NVP(positions),
        cereal::make_nvp("gone", gone));
  }
};

}  // namespace toucanmux
