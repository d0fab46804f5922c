#pragma once

#include <functional>
#include <map>
#include <vector>

#include "proxy/proxy-state.h"
#include "proxy/store-api.h"
#include "proxy/udp-port.h"
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
  /// Called a few times a second.
  void tick();
  /// Peers should hear of a change at once.
  void hurry() { next_near_ = next_mesh_ = next_far_ = {}; }

  /// All instances that live as far as is known, this one included.
  const std::vector<member_id>& members() const { return last_members_; }
  /// Peers that have reported within two of their intervals.
  std::vector<member_id> heard_lately() const;
  std::size_t heard_within(duration age) const;
  std::size_t member_count() const { return last_members_.size(); }
  /// Whether this instance follows the store for its failure domain and
  /// probes the leaders for it: the largest of those that reach the store.
  bool reads_for_domain() const { return domain_reader() == nullptr; }
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
  std::vector<store_api::member_record> long_silent() const;
  void remove(const member_id& id);

 private:
  struct peer {
    store_api::member_record record;
    std::uint64_t incarnation = 0;
    instant known;  ///< Since when its record is known.
    instant heard;  ///< The last report.
    bool ever_heard = false;
    bool leaving = false;
    bool lacks_store = false;
    std::uint32_t capacity = 0;
    std::uint64_t upstream_revision = 0;
    std::uint64_t stamp = 0;   ///< Of its last report.
    std::uint64_t echoed = 0;  ///< Our last stamp that it has heard.
    std::uint64_t config_revision = 0;
  };

  bool lives(const peer& what) const;
  bool reads_before_self(const member_id& id, const peer& other) const;
  const peer* domain_reader() const;
  domain_id domain_of(std::uint32_t hash) const;

  void take(std::span<const char> bytes, const inet_address& from);
  void take_report(const datagram& envelope, const inet_address& from,
                   std::uint64_t echo, const peer_report& report);
  void take_proof(const peer& from, const peer_report& report);
  void answer_positions(const inet_address& to,
                        const position_question& question);
  void take_positions(const position_answer& answer);

  void ask_positions();
  duration least_interval() const;
  void send_near(bool to_all);
  void send_far();
  /// What a report is for.
  enum class purpose : std::uint8_t {
    full,           ///< Names all teams.
    pressed_teams,  ///< Names only those near their limit.
    reply           ///< Full, and wants no reply itself.
  };

  std::vector<std::string> make_reports(purpose what_for) const;
  peer_report make_report() const;
  void send_report(const std::vector<std::string>& bodies, const peer& to);
  void send(const std::string& body, std::uint64_t echo,
            const inet_address& to);
  bool is_near(const peer& what) const;
  bool lacks_store() const;
  void note_members();
  std::vector<member_id> find_members() const;

  proxy_state& state_;
  handlers told_;
  udp_port port_;
  std::uint64_t incarnation_;
  std::map<member_id, peer> peers_;
  std::vector<member_id> last_members_;
  std::uint64_t upstream_revision_ = 0;
  instant next_near_;  ///< To instances of the same failure domain.
  instant next_mesh_;  ///< To all of them, not only to the reader.
  instant next_far_;
  instant last_far_;
  instant next_full_;  ///< Far reports between name only pressed teams.
  unsigned turn_ = 0;
};

}  // namespace toucanmux
