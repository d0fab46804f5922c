#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "proxy/store-api.h"
#include "toucanmux/proxy/peer-report.h"

namespace toucanmux {

/// The state of another instance.
struct peer {
  store_api::member_record record;
  std::uint64_t incarnation = 0;
  instant known_since;    ///< When its record was first known here.
  instant heard_at;       ///< When its last report arrived.
  instant process_since;  ///< When its process was first heard.
  bool ever_heard = false;
  bool leaving = false;
  bool lacks_store = false;
  bool is_hub = false;             ///< It reports for its failure domain.
  bool is_gone = false;            ///< A hub considers the instance gone.
  std::uint32_t capacity = 0;      ///< CPU capacity in thousandths of a core.
  std::uint32_t known_peers = 0;   ///< Number of peers that it knows.
  store_version upstream_version;  ///< Of its database list.
  std::uint64_t last_stamp = 0;    ///< The stamp of its last report.
  /// The stamp of the first part of that report.
  std::uint64_t first_stamp = 0;
  /// Uses received so far in the parts of that report.
  std::size_t uses_received = 0;
  /// The last stamp of this instance that it has received.
  std::uint64_t echoed_stamp = 0;
  std::uint64_t config_version = 0;
  std::uint64_t leader_generation = 0;  ///< Of the leader records it has.
  /// Digest of the leader records that it has.
  std::uint64_t leader_digest = 0;
  bool lacks_lease = false;        ///< It holds no lease on the leaders yet.
  std::uint64_t knowers_hash = 0;  ///< See `peer_report`; set by hubs.
};

/// Tracks which instances exist, which are alive, and which is the hub of each
/// failure domain.
///
/// In a small fleet all instances exchange reports (mesh). In a large fleet
/// each reports to the hub of its failure domain, and hubs exchange sums:
/// reports from everybody to hundreds of peers several times a second would
/// cost more than serving the statements.
class peer_directory {
 public:
  /// This instance's role in the exchange of reports.
  enum class role : std::uint8_t {
    mesh,   ///< Reports to all peers.
    hub,    ///< Reports for its failure domain to the other hubs.
    member  ///< Reports to the hub of its failure domain only.
  };

  /// The effect of a received report.
  struct report_outcome {
    /// Null if the report is the own one or out of order.
    peer* sender = nullptr;
    bool new_process = false;  ///< The first report of the sender's process.
    /// The report covers all teams, and all its parts have arrived.
    bool complete = false;
  };

  peer_directory(const member_id& self, const domain_id& domain,
                 std::uint32_t capacity)
      : self_(self), domain_(domain), capacity_(capacity) {}

  /// Adds an instance from its record in the store. False if it was known.
  bool add(instant now, const store_api::member_record& record);
  void remove(const member_id& id);
  report_outcome apply_report(instant now, const member_id& id,
                              std::uint64_t incarnation,
                              const inet_address& address, std::uint64_t echo,
                              const peer_report& report);
  /// Whether this instance can't reach the store, neither directly nor by its
  /// peers' confirmations.
  void set_lacks_store(bool lacks) { lacks_store_ = lacks; }
  /// Selects the role from the size of the fleet and the hub that is heard.
  /// Returns true if the role has changed.
  bool update_role(instant now);

  role own_role() const { return role_; }
  /// The peer that reads the store for this failure domain (the hub, in a large
  /// fleet); null if this instance does so.
  const peer* domain_reader(instant now) const;
  /// The hub of another failure domain, or null if none is heard.
  const peer* hub_of(instant now, const domain_id& domain) const;
  /// Whether this instance outranks all hubs that are heard.
  bool outranks_all_hubs(instant now) const;
  std::vector<domain_id> other_domains() const;
  /// The peers considered alive in a failure domain, without this instance.
  std::size_t count_alive(instant now, const domain_id& domain) const;

  /// Whether a peer is in this failure domain ("near") or in another ("far").
  bool is_near(const peer& other) const {
    return other.record.domain == domain_;
  }
  bool is_alive(instant now, const peer& other) const;
  /// Whether an instance of this failure domain has started and waits for its
  /// first lease on the leaders.
  bool new_process_lacks_lease(instant now) const;
  /// All instances that are considered alive, this one included; sorted.
  std::vector<member_id> members(instant now) const;
  /// A hub knows more instances than this one.
  bool lacks_member_records(instant now) const;
  /// Sum of the stable hashes of the names of all instances in this failure
  /// domain whose leader records have this digest; includes this instance.
  std::uint64_t knowers_hash(std::uint64_t digest) const;
  /// Whether all listed instances have the leader records with this digest.
  bool all_have_digest(std::span<const store_api::member_record> listed,
                       std::uint64_t digest) const;
  /// Instances considered gone: low bits of the names' hashes.
  /// @param near_only only those of this failure domain.
  std::vector<std::uint32_t> gone_members(instant now, bool near_only) const;
  std::vector<store_api::member_record> long_silent_members(instant now) const;

  std::map<member_id, peer>& all() { return peers_; }
  const std::map<member_id, peer>& all() const { return peers_; }

 private:
  bool outranks(const peer& one, const peer& other) const;
  bool outranks_self(const peer& other) const;
  bool is_heard(instant now, const peer& other) const;
  std::size_t max_peers_known_to_hubs(instant now) const;
  bool has_live_hub(instant now, const domain_id& domain) const;
  bool is_alive_by_reports(instant now, const peer& other) const;
  domain_id find_domain(std::uint32_t hash) const;
  bool hub_confirms_digest(const domain_id& domain, std::uint64_t digest,
                           std::uint64_t members_hash) const;
  void apply_gone_members(const peer& hub, const peer_report& report);

  member_id self_;
  domain_id domain_;
  std::uint32_t capacity_;
  bool lacks_store_ = false;
  role role_ = role::mesh;
  instant role_changed_at_;
  std::map<member_id, peer> peers_;
};

}  // namespace toucanmux
