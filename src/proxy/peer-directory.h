#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "proxy/store-api.h"
#include "toucanmux/proxy/peer-report.h"

namespace toucanmux {

/// What is known of another instance.
struct peer {
  store_api::member_record record;
  std::uint64_t incarnation = 0;
  instant known_since;  ///< Since when its record is known.
  instant heard_at;     ///< The last report.
  bool ever_heard = false;
  bool leaving = false;
  bool lacks_store = false;
  bool is_hub = false;   ///< It reports for its failure domain.
  bool is_gone = false;  ///< A hub counts it as gone.
  std::uint32_t capacity = 0;
  std::uint32_t known_peers = 0;  ///< To a hub.
  std::uint64_t upstream_revision = 0;
  std::uint64_t last_stamp = 0;    ///< Of its last report.
  std::uint64_t first_stamp = 0;   ///< Of the report's first part.
  std::size_t uses_received = 0;   ///< In the report's parts so far.
  std::uint64_t echoed_stamp = 0;  ///< Our last stamp that it has heard.
  std::uint64_t config_revision = 0;
  std::uint64_t leader_digest = 0;  ///< Of the records of leaders it knows.
  std::uint64_t knowers_hash = 0;   ///< In its domain; told by a hub.
};

/// Which instances there are, who lives, and who speaks for whom.
///
/// Few instances tell each other everything. Many tell it to one of their
/// failure domain, the hub, which exchanges sums with the other hubs: a report
/// to each of hundreds several times a second would cost more than the service.
class peer_directory {
 public:
  /// What this instance does in the exchange of reports.
  enum class role : std::uint8_t {
    mesh,   ///< All talk to all.
    hub,    ///< It speaks for its failure domain.
    member  ///< It talks to its hub alone.
  };

  /// What a report has changed.
  struct report_outcome {
    peer* sender = nullptr;    ///< Null if the report came late.
    bool new_process = false;  ///< The first one of this process.
    bool complete = false;     ///< All its parts have come.
  };

  peer_directory(const member_id& self, const domain_id& domain,
                 std::uint32_t capacity)
      : self_(self), domain_(domain), capacity_(capacity) {}

  /// An instance that the store has a record of. False if it is known.
  bool add(instant now, const store_api::member_record& record);
  void remove(const member_id& id);
  report_outcome apply_report(instant now, const member_id& id,
                              std::uint64_t incarnation,
                              const inet_address& address, std::uint64_t echo,
                              const peer_report& report);
  /// Whether this instance reaches the store itself or by its peers.
  void set_lacks_store(bool lacks) { lacks_store_ = lacks; }
  /// Decides the role anew. True if it has changed.
  bool update_role(instant now);

  role own_role() const { return role_; }
  /// The peer that goes before this instance in its failure domain; null if
  /// there is none.
  const peer* domain_reader(instant now) const;
  /// The peer that speaks for another failure domain, if one does.
  const peer* hub_of(instant now, const domain_id& domain) const;
  /// Whether this instance goes before all hubs that are heard.
  bool outranks_all_hubs(instant now) const;
  std::vector<domain_id> other_domains() const;
  std::size_t count_alive(instant now, const domain_id& domain) const;

  bool is_near(const peer& other) const {
    return other.record.domain == domain_;
  }
  bool is_alive(instant now, const peer& other) const;
  /// All that live as far as is known, this instance included; sorted.
  std::vector<member_id> members(instant now) const;
  /// The own hub or that of another domain knows more instances.
  bool lacks_member_records(instant now) const;
  /// Sum of the stable hashes of the names of all in this failure domain that
  /// know the records of leaders with this digest; this instance does.
  std::uint64_t knowers_hash(std::uint64_t digest) const;
  /// Whether all instances that are listed know these records.
  bool all_have_digest(std::span<const store_api::member_record> listed,
                       std::uint64_t digest) const;
  /// Those that this instance's domain counts as gone.
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
