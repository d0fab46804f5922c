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

  peer_service(proxy_state& state, handlers told);

  /// An instance that the store knows.
  void add(const store_api::member_record& peer);
  void remove(const member_id& id);
  /// Called a few times a second.
  void tick();
  /// Peers should hear of a change at once.
  void hurry() { next_near_ = next_mesh_ = next_far_ = {}; }

  /// All instances that live as far as is known, this one included.
  const std::shared_ptr<const std::vector<member_id>>& members() const {
    return last_members_;
  }
  std::size_t member_count() const { return last_members_->size(); }
  std::vector<store_api::member_record> long_silent() const;
  /// A hub knows instances that this one has no record of.
  bool lacks_records() const;

  /// Whether this instance may replace leaders: a hub does it for its domain.
  bool replaces_leaders() const;
  /// The peers that may and that were heard lately.
  std::vector<member_id> replacers() const;
  /// Whether this instance follows the store for its failure domain and
  /// probes the leaders for it.
  bool reads_for_domain() const;
  /// Whether this member looks for itself when its hub's proofs are late. What
  /// a few of them find comes to all by the hub.
  bool scouts_for_domain() const;
  /// Whether it goes before the hubs of all failure domains.
  bool reads_for_all() const;
  peer_directory::role own_role() const { return peers_.own_role(); }
  /// The newest state of discovery that the domain's reader has.
  std::uint64_t upstream_revision() const;
  /// Sends the failure domain what has changed in discovery.
  void tell(const upstream_news& news);
  /// The state of discovery that this instance has.
  void set_upstream_revision(std::uint64_t revision) {
    upstream_revision_ = revision;
  }
  /// A peer has a configuration that this instance lacks.
  bool config_is_newer_elsewhere() const;
  /// A peer that proves the leaders for others knows other records of them.
  bool leads_differ_elsewhere() const;
  /// The peer's report has come lately.
  bool hears(std::uint32_t member) const;
  /// The peers that were heard a moment ago.
  std::vector<member_id> active() const;
  /// Whether all instances that are listed know what this one knows of the
  /// leaders.
  bool all_know_leads(std::span<const store_api::member_record> listed) const {
    return peers_.all_know(listed, state_.leader_leases.digest());
  }
  /// Tells the others at once what has changed.
  void announce();

 private:
  /// What goes into a report.
  struct contents {
    peer_report::scope whose = peer_report::scope::self;
    bool all_teams = true;  ///< Or only those near their limit.
    bool reply = false;     ///< It answers a report and wants no answer.
  };
  using parts = std::vector<std::string>;

  /// Whom the sums of a hub stand for in the limits: a domain, or all others.
  static member_id all_of(const domain_id& domain);
  static std::uint64_t incarnation_of(const peer& hub);

  void take(std::span<const char> bytes, const inet_address& from);
  void take_report(const datagram& envelope, const inet_address& from,
                   std::uint64_t echo, const peer_report& report);
  void take_uses(const peer& from, const peer_report& report, bool whole);
  void take_sightings(const peer& from, const peer_report& report);
  void take_proof(const peer& from, const peer_report& report);
  void take_leads(const peer_report& report);
  void reply(const peer& to);
  void point_to_hub(const peer& to);
  void follow(const hub_notice& notice);
  void answer_positions(const inet_address& to,
                        const position_question& question);
  void take_positions(std::uint64_t echo,
                      std::span<const group_position> positions);

  void change_role();
  void expect_peers();
  void note_members();
  void choose_probers();
  const peer* prober_of(const upstream_group& group, const peer* reader) const;
  std::optional<group_position> position_of(upstream_group& group) const;
  bool is_urgent() const;
  duration least_interval() const;
  void tick_mesh();
  void tick_hub();
  void tick_member();

  peer_report make_report(const contents& what) const;
  parts make_parts(const contents& what);
  void send_near(bool to_all);
  void send_far();
  void send_to_hubs();
  void send_parts(const parts& bodies, const peer& to);
  void send(const std::string& body, std::uint64_t echo,
            const inet_address& to);
  bool lacks_store() const;
  std::uint64_t next_stamp();

  proxy_state& state_;
  handlers told_;
  udp_port port_;
  std::uint64_t incarnation_;
  peer_directory peers_;
  others_use others_;
  bool shares_positions_ = false;        ///< Of all groups, in each report.
  std::vector<member_id> near_members_;  ///< That live, with this instance.
  std::shared_ptr<const std::vector<member_id>> last_members_;
  std::uint64_t upstream_revision_ = 0;
  instant next_near_;  ///< To instances of the same failure domain.
  instant next_mesh_;  ///< To all of them, not only to the reader.
  instant next_far_;
  instant last_far_;
  instant next_full_;  ///< Far reports between name only pressed teams.
  unsigned turn_ = 0;
  std::uint64_t last_stamp_ = 0;
};

}  // namespace toucanmux
