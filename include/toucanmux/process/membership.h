#pragma once

#include <map>
#include <random>
#include <variant>
#include <vector>

#include "toucanmux/process/gossip-queue.h"
#include "toucanmux/process/member-message.h"
#include "toucanmux/process/member-table.h"

namespace toucanmux {

/// The control address of a member whose identity is not known yet.
struct seed_address {
  std::string address;  ///< An IP address.
  std::uint16_t port = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(address), CEREAL_NVP(port));
  }
};

/// Detects which members of the fleet are alive, by a SWIM-style protocol: each
/// member probes one member of its own failure domain per period and spreads
/// the results by gossip. Of other failure domains it learns only the pools.
class membership {
 public:
  struct settings {
    member self;
    std::vector<seed_address> seeds;
    /// Time between two probes.
    duration period = std::chrono::seconds(1);
    /// Time without a reply after which relays are asked to probe the member.
    duration ack_timeout = std::chrono::milliseconds(300);
    /// Number of members that probe a member on request after it did not reply.
    std::uint32_t relays = 3;
    /// The suspicion timeout in periods is this factor times log10 of the
    /// number of members in the domain.
    double suspicion_factor = 3;
    /// An update is sent this factor times log2 of the number of members.
    double gossip_factor = 2;
    /// Pings per second from one failure domain to each other one, by all its
    /// members together.
    double contacts = 3;
    /// Number of messages to random peers after an urgent digest change and at
    /// `stop`.
    std::uint32_t urgent_pings = 4;
    std::uint32_t sync_datagrams = 8;  ///< Limit per synchronized domain.
    /// How long a dead member stays in the table.
    duration forget_after = std::chrono::minutes(2);
    std::uint64_t random_seed = 1;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(self), CEREAL_NVP(seeds), CEREAL_NVP(period),
              CEREAL_NVP(ack_timeout), CEREAL_NVP(relays),
              CEREAL_NVP(suspicion_factor), CEREAL_NVP(gossip_factor),
              CEREAL_NVP(contacts), CEREAL_NVP(urgent_pings),
              CEREAL_NVP(sync_datagrams), CEREAL_NVP(forget_after),
              CEREAL_NVP(random_seed));
    }
  };

  /// The periodic timer has fired. The caller sends several ticks within each
  /// `ack_timeout`.
  struct tick {
    static constexpr std::string_view name = "tick";
    template <class Archive>
    void serialize(Archive&) {}
  };
  /// A message received in a datagram.
  template <class Message>
  struct received {
    static constexpr std::string_view name = Message::name;
    member_id from;
    Message message;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(from), CEREAL_NVP(message));
    }
  };
  /// The configuration digest that every ping and ack carries.
  struct set_digest {
    static constexpr std::string_view name = "set_digest";
    std::string digest;
    bool urgent = false;  ///< Ping a few peers immediately.
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(digest), CEREAL_NVP(urgent));
    }
  };
  /// The platform's list of instances, which lags behind. It provides addresses
  /// to contact and is authoritative on which instances are leaving.
  struct instance_list {
    static constexpr std::string_view name = "instance_list";
    std::vector<member> members;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(members));
    }
  };
  /// This member starts its drain.
  struct leave {
    static constexpr std::string_view name = "leave";
    template <class Archive>
    void serialize(Archive&) {}
  };
  /// This process is about to exit.
  struct stop {
    static constexpr std::string_view name = "stop";
    template <class Archive>
    void serialize(Archive&) {}
  };

  /// A message to one member; `to` is empty if it goes to a seed whose identity
  /// is unknown.
  template <class Message>
  struct send {
    static constexpr std::string_view name = Message::name;
    member_id to;
    std::string address;
    std::uint16_t port = 0;
    Message message;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(to), CEREAL_NVP(address), CEREAL_NVP(port),
              CEREAL_NVP(message));
    }
  };
  /// A member joined, died or changed its state.
  struct member_changed {
    static constexpr std::string_view name = "member_changed";
    member info;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(cereal::make_nvp("who", info));
    }
  };
  /// The configuration digest that a peer sent.
  struct peer_digest {
    static constexpr std::string_view name = "peer_digest";
    member_id from;
    std::string digest;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(from), CEREAL_NVP(digest));
    }
  };
  /// The platform or a peer reports that this member's instance is leaving.
  struct told_to_leave {
    static constexpr std::string_view name = "told_to_leave";
    template <class Archive>
    void serialize(Archive&) {}
  };

  using event =
      std::variant<tick, received<ping>, received<ack>, received<ping_request>,
                   received<bucket_digests>, received<bucket_members>,
                   set_digest, instance_list, leave, stop>;
  using action = std::variant<send<ping>, send<ack>, send<ping_request>,
                              send<bucket_digests>, send<bucket_members>,
                              member_changed, peer_digest, told_to_leave>;

  explicit membership(const settings& values);
  std::vector<action> step(instant now, const event& new_event);

  /// All known members, including this one.
  const member_table& table() const { return table_; }
  /// True once a member of the same failure domain has sent a message.
  bool joined() const { return joined_; }

 private:
  using record = member_table::record;

  struct probe {
    member_id target;
    instant sent_at;
    bool relays_asked = false;
    // The member for which this member probes as a relay; empty if the probe is
    // its own.
    member_id requester;
    std::uint64_t requester_sequence = 0;
  };

  void handle(const tick&);
  void handle(const received<ping>& received_ping);
  void handle(const received<ack>& received_ack);
  void handle(const received<ping_request>& received_request);
  void handle(const received<bucket_digests>& received_digests);
  void handle(const received<bucket_members>& received_members);
  void handle(const set_digest& change);
  void handle(const instance_list& list);
  void handle(const leave&);
  void handle(const stop&);

  void detect_pause();
  void check_probes();
  void check_suspicions();
  void start_period();
  void probe_next();
  void contact_other_domain();
  void contact_seed();
  const seed_address* choose_seed();
  void remove_unanswered_seed(seed_address seed);

  void send_ping(const member& to, std::uint64_t sequence);
  void ask_relays(const member_id& target, std::uint64_t sequence);
  void send_buckets(const member& to, std::uint32_t domain);
  void send_members(const member& to, std::uint32_t domain,
                    std::span<const record* const> members,
                    std::uint64_t requested_buckets);
  void answer_ping(const member& to, const ping& message);
  bool own_domain_view_matches(const ping& message) const;
  void compare_domains(const member& from,
                       std::span<const domain_digest> their_digests);
  template <class Message>
  void send_to(const member& to, Message message);

  void apply_update(const member_update& update);
  void apply_update_about_self(const member_update& update);
  void apply_updates(std::span<const member_update> updates);
  void report_peer_digest(const member_id& from, const std::string& digest);
  void suspect(record& target);
  void declare_dead(const record& target);
  void change_self(member_state state);
  void end_local_suspicion(const member_id& id);

  const member* record_contact(const member_id& id);
  const record* random_peer(const member_table::domain_view& view);
  duration suspicion_time() const;
  std::vector<member_update> gossip(bool to_own_domain, std::size_t used_bytes);
  bool in_own_domain(const member& info) const;
  std::uint64_t random_below(std::uint64_t count) { return random_() % count; }
  bool chance(double probability);

  settings values_;
  std::mt19937_64 random_;
  member_table table_;
  gossip_queue gossip_queue_;
  member_update self_;
  std::string digest_;
  std::vector<action> actions_;
  instant now_;
  instant last_tick_at_;
  instant next_period_at_;
  instant last_message_at_;
  std::map<std::uint64_t, probe> probes_;
  // The remaining targets of the current probe round; the next one is last.
  std::vector<member_id> probe_order_;
  std::map<member_id, instant> suspicion_ends_;
  std::vector<seed_address> platform_addresses_;
  std::vector<seed_address> unanswered_seeds_;
  std::map<std::uint64_t, seed_address> pinged_seeds_;  ///< By ping sequence.
  /// Counts only up to `new_member_periods + 1`.
  int periods_since_start_ = 0;
  // Entries of other failure domains that sent a ping recently. The table
  // stores only pools of other domains.
  std::map<member_id, member> foreign_entries_;
  std::uint64_t last_sequence_ = 0;
  std::uint32_t syncs_left_ = 0;
  bool ticked_ = false;
  bool joined_ = false;
  bool stopped_ = false;
};

}  // namespace toucanmux
