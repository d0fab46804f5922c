#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/connections/connection-sharing.h"
#include "proxy/peer-directory.h"
#include "proxy/placement/load-exchange.h"
#include "proxy/proxy-state.h"
#include "proxy/store-api.h"
#include "proxy/udp-port.h"
#include "toucanmux/proxy/peer-message.h"
#include "toucanmux/proxy/peer-usage.h"
#include "toucanmux/proxy/store-recovery.h"

namespace toucanmux {

struct datagram;

/// Exchanges reports over UDP with the other instances.
class peer_service {
 public:
  struct handlers {
    std::function<void()> members_changed;
    std::function<void(const upstream_update&)> upstreams_changed;
  };

  peer_service(proxy_state& state, handlers callbacks);

  /// Adds an instance from its record in the store.
  void add(const store_api::member_record& peer);
  void remove(const member_id& id);
  /// Sends the reports that are due. Called a few times a second.
  void tick();
  /// Makes the next `tick` send reports at once.
  void expedite_reports() {
    next_near_report_ = next_broadcast_ = next_far_report_ = {};
  }

  /// All instances that are considered alive, this one included.
  const std::shared_ptr<const std::vector<member_id>>& members() const {
    return members_;
  }
  /// The live instances that do not leave, this one included, and where they
  /// accept relayed statements.
  std::vector<sharing_instance> sharing_instances() const;
  std::size_t member_count() const { return members_->size(); }
  /// The number of peers that this instance knows, alive or not.
  std::size_t known_count() const { return peers_.all().size(); }
  bool knows(const member_id& id) const { return peers_.all().contains(id); }
  /// These peers and this instance.
  std::vector<member_id> known_members() const;
  /// The number of instances that this one or a live peer knows.
  std::size_t fleet_size() const;
  std::vector<domain_id> other_domains() const {
    return peers_.other_domains();
  }
  /// When the domain reader last reported the drained failure domains.
  instant drained_domains_reported_at() const {
    return drained_domains_reported_at_;
  }
  std::vector<store_api::member_record> long_silent_members() const;
  /// A hub knows instances that this one has no record of.
  bool lacks_member_records() const;

  /// Whether this instance may replace leaders. In a large fleet only hubs may.
  bool may_replace_leaders() const;
  /// The peers that may replace leaders and were heard recently.
  std::vector<member_id> leader_replacers() const;
  /// Whether this instance follows the store and probes the leaders for its
  /// failure domain.
  bool is_domain_reader() const;
  /// Whether this member reads the leader records itself when its hub's
  /// confirmations are late. A few members do so; the records that they read
  /// reach the other members through the hub.
  bool is_backup_reader() const;
  /// Whether this instance outranks the hubs of all failure domains and
  /// therefore reads the store for them.
  bool is_fleet_reader() const;
  peer_directory::role own_role() const { return peers_.own_role(); }
  /// The version of the database list that the domain reader has; the lowest
  /// one if this instance is the reader.
  store_version reader_upstream_version() const;
  /// Sends changes of the database list to the peers of this failure domain.
  void send_upstream_update(const upstream_update& update);
  /// Sets the version of the database list that this instance has.
  void set_upstream_version(const store_version& version) {
    upstream_version_ = version;
  }
  /// A peer has a newer configuration than this instance.
  bool peer_has_newer_config() const;
  /// Which leader records the live peers know.
  /// @param since whether they have reported since then.
  std::vector<store_recovery::peer_knowledge> leader_knowledge(
      instant since) const;
  /// Whether the domain reader, if it is a peer, follows the leader records of
  /// this generation of the store.
  bool reader_follows(std::uint64_t generation) const;
  /// This instance's place in the order in which it and others try a task.
  std::size_t own_turn(std::string_view task,
                       std::vector<member_id> others) const;
  /// Whether an instance of this failure domain has started and waits for its
  /// first lease on the leaders.
  bool new_process_lacks_lease() const {
    return peers_.new_process_lacks_lease(state_.loop.now());
  }
  /// The domain reader has other leader records than this instance.
  bool leader_records_differ() const;
  /// Whether this member is one of `active_peers()`.
  /// @param member low bits of the name's stable hash.
  bool is_active(std::uint32_t member_hash) const;
  /// The peers whose last report arrived within 1.5 s.
  std::vector<member_id> active_peers() const;
  /// Whether all listed instances have the same leader records as this one.
  bool all_know_leaders(
      std::span<const store_api::member_record> listed) const {
    return peers_.all_have_digest(listed, state_.leader_leases.digest());
  }
  /// Sends reports to the peers immediately.
  void report_now();

 private:
  /// What a report contains.
  struct report_options {
    peer_report::scope sender_scope = peer_report::scope::self;
    bool all_teams = true;  ///< False: only teams near their limit.
    bool is_reply = false;  ///< It answers a report and requests no answer.
  };
  using report_parts = std::vector<std::string>;

  /// The name under which the rate limits count a failure domain's sums; an
  /// empty domain stands for all peers.
  static member_id domain_member_id(const domain_id& domain);
  static std::uint64_t sums_incarnation(const peer& hub);

  void handle_datagram(std::span<const char> bytes,
                       const inet_address& address);
  void handle_report(const datagram& envelope, const inet_address& address,
                     std::uint64_t echo, const peer_report& report);
  void apply_uses(const peer& sender, const peer_report& report, bool complete);
  void apply_loads(const peer& sender, const peer_report& report);
  void apply_sightings(const peer& sender, const peer_report& report);
  void apply_confirmations(const peer& sender, const peer_report& report);
  void apply_drained_domains(const peer& sender, const peer_report& report);
  void apply_leader_records(const peer_report& report);
  void send_reply(const peer& to);
  void redirect_to_hub(const peer& to);
  void handle_hub_notice(const hub_notice& notice);
  void send_positions(const inet_address& to, const position_request& request);
  void apply_positions(std::uint64_t echo,
                       std::span<const group_position> positions);

  void update_role();
  void update_expected_peers();
  void update_members();
  void choose_probers();
  const peer* prober_of(const upstream_group& group, const peer* reader) const;
  std::optional<group_position> position_of(upstream_group& group) const;
  bool is_urgent() const;
  duration min_report_interval() const;
  void tick_mesh();
  void tick_hub();
  void tick_member();

  peer_report make_report(const report_options& options) const;
  report_parts make_parts(const report_options& options);
  void send_near(bool to_all);
  void send_far();
  void send_to_hubs();
  void send_parts(const report_parts& bodies, const peer& to);
  void send(const std::string& body, std::uint64_t echo,
            const inet_address& to);
  bool lacks_store() const;
  bool can_not_read_store() const;
  std::uint64_t next_stamp();

  proxy_state& state_;
  handlers callbacks_;
  udp_port port_;
  std::uint64_t incarnation_;
  peer_directory peers_;
  peer_usage peer_usage_;
  load_exchange loads_;
  /// Whether each report carries the positions of all groups.
  bool shares_positions_ = false;
  /// Alive, in this failure domain, this instance included.
  std::vector<member_id> near_members_;
  std::shared_ptr<const std::vector<member_id>> members_;
  store_version upstream_version_;
  /// Next report within the own failure domain; at least to its reader.
  instant next_near_report_;
  /// Next report to all instances of the own failure domain.
  instant next_broadcast_;
  /// Next report to the peers of other failure domains.
  instant next_far_report_;
  instant last_far_report_;
  /// Reports in between name only teams near their limit.
  instant next_full_report_;
  instant drained_domains_reported_at_;
  unsigned round_ = 0;
  std::uint64_t last_stamp_ = 0;
};

}  // namespace toucanmux
