#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/peer-directory.h"
#include "proxy/proxy-state.h"
#include "proxy/store-api.h"
#include "proxy/udp-port.h"
#include "toucanmux/proxy/others-use.h"
#include "toucanmux/proxy/peer-message.h"

namespace toucanmux {

struct datagram;

/// Tells the other instances what this one knows, and takes what they tell.
class peer_service {
 public:
  struct handlers {
    std::function<void()> members_changed;
    std::function<void(const upstream_news&)> upstreams_changed;
  };

  peer_service(proxy_state& state, handlers callbacks);

  /// An instance that the store knows.
  void add(const store_api::member_record& peer);
  void remove(const member_id& id);
  /// Called a few times a second.
  void tick();
  /// Peers should hear of a change at once.
  void expedite_reports() {
    next_near_report_ = next_broadcast_ = next_far_report_ = {};
  }

  /// All instances that live as far as is known, this one included.
  const std::shared_ptr<const std::vector<member_id>>& members() const {
    return members_;
  }
  std::size_t member_count() const { return members_->size(); }
  std::vector<store_api::member_record> long_silent_members() const;
  /// A hub knows instances that this one has no record of.
  bool lacks_member_records() const;

  /// Whether this instance may replace leaders: a hub does it for its domain.
  bool may_replace_leaders() const;
  /// The peers that may and that were heard lately.
  std::vector<member_id> leader_replacers() const;
  /// Whether this instance follows the store for its failure domain and
  /// probes the leaders for it.
  bool is_domain_reader() const;
  /// Whether this member looks for itself when its hub's proofs are late. What
  /// a few of them find comes to all by the hub.
  bool is_backup_reader() const;
  /// Whether it goes before the hubs of all failure domains.
  bool is_fleet_reader() const;
  peer_directory::role own_role() const { return peers_.own_role(); }
  /// The newest state of discovery that the domain's reader has.
  std::uint64_t reader_upstream_revision() const;
  /// Sends the failure domain what has changed in discovery.
  void send_upstream_update(const upstream_news& update);
  /// The state of discovery that this instance has.
  void set_upstream_revision(std::uint64_t revision) {
    upstream_revision_ = revision;
  }
  /// A peer has a configuration that this instance lacks.
  bool peer_has_newer_config() const;
  /// A peer that proves the leaders for others knows other records of them.
  bool leader_records_differ() const;
  /// The peer's report has come lately.
  bool is_active(std::uint32_t member) const;
  /// The peers that were heard a moment ago.
  std::vector<member_id> active_peers() const;
  /// Whether all instances that are listed know what this one knows of the
  /// leaders.
  bool all_know_leaders(
      std::span<const store_api::member_record> listed) const {
    return peers_.all_have_digest(listed, state_.leases.digest());
  }
  /// Tells the others at once what has changed.
  void report_now();

 private:
  /// What goes into a report.
  struct report_options {
    peer_report::scope sender_scope = peer_report::scope::self;
    bool all_teams = true;  ///< Or only those near their limit.
    bool is_reply = false;  ///< It answers a report and wants no answer.
  };
  using report_parts = std::vector<std::string>;

  /// Whom the sums of a hub stand for in the limits: a domain, or all others.
  static member_id domain_member_id(const domain_id& domain);
  static std::uint64_t sums_incarnation(const peer& hub);

  void handle_datagram(std::span<const char> bytes,
                       const inet_address& address);
  void handle_report(const datagram& envelope, const inet_address& address,
                     std::uint64_t echo, const peer_report& report);
  void apply_uses(const peer& sender, const peer_report& report, bool complete);
  void apply_sightings(const peer& sender, const peer_report& report);
  void apply_confirmations(const peer& sender, const peer_report& report);
  void apply_leader_records(const peer_report& report);
  void send_reply(const peer& to);
  void redirect_to_hub(const peer& to);
  void handle_hub_notice(const hub_notice& notice);
  void send_positions(const inet_address& to, const position_question& request);
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
  std::uint64_t next_stamp();

  proxy_state& state_;
  handlers callbacks_;
  udp_port port_;
  std::uint64_t incarnation_;
  peer_directory peers_;
  others_use peer_usage_;
  bool shares_positions_ = false;        ///< Of all groups, in each report.
  std::vector<member_id> near_members_;  ///< That live, with this instance.
  std::shared_ptr<const std::vector<member_id>> members_;
  std::uint64_t upstream_revision_ = 0;
  instant next_near_report_;  ///< To instances of the same failure domain.
  instant next_broadcast_;    ///< To all of them, not only to the reader.
  instant next_far_report_;
  instant last_far_report_;
  instant next_full_report_;  ///< Far reports between name only pressed teams.
  unsigned round_ = 0;
  std::uint64_t last_stamp_ = 0;
};

}  // namespace toucanmux
