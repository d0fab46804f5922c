#pragma once

#include <map>
#include <random>
#include <variant>
#include <vector>

#include "toucanmux/process/gossip-queue.h"
#include "toucanmux/process/member-message.h"
#include "toucanmux/process/member-table.h"

namespace toucanmux {

/// A member's control port, before anything else is known of it.
struct seed_address {
  std::string address;  ///< An IP number.
  std::uint16_t port = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(address), CEREAL_NVP(port));
  }
};

/// Finds out who is a member of the fleet and alive. Each member probes a few
/// of its own failure domain a second and passes on what it hears; of other
/// domains it only learns which pools they have.
class membership {
 public:
  struct settings {
    member self;
    std::vector<seed_address> seeds;
    duration period = std::chrono::seconds(1);  ///< Between two probes.
    duration ack_timeout = std::chrono::milliseconds(300);
    std::uint32_t relays = 3;  ///< Asked when a probe is not answered.
    /// Times log10 of the domain's members is the periods of a suspicion.
    double suspicion_factor = 3;
    double gossip_factor = 2;
    /// Pings a second from one domain to each other one, all members together.
    double contacts = 3;
    std::uint32_t urgent_pings = 4;  ///< Sent when the owner's digest changes.
    std::uint32_t sync_datagrams = 8;  ///< The most that one difference brings.
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

  /// Comes several times within `ack_timeout`.
  struct tick {
    static constexpr std::string_view name = "tick";
    template <class Archive>
    void serialize(Archive&) {}
  };
  /// A datagram's payload.
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
  /// The owner's digest, which every ping and ack carries.
  struct set_digest {
    static constexpr std::string_view name = "set_digest";
    std::string digest;
    bool urgent = false;  ///< Tell a few peers at once.
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(digest), CEREAL_NVP(urgent));
    }
  };
  /// The platform's list, which lags: a hint of whom to ask, and the word on
  /// who is leaving.
  struct instance_list {
    static constexpr std::string_view name = "instance_list";
    std::vector<member> members;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(members));
    }
  };
  /// This member starts to leave.
  struct leave {
    static constexpr std::string_view name = "leave";
    template <class Archive>
    void serialize(Archive&) {}
  };
  /// This member is about to end.
  struct stop {
    static constexpr std::string_view name = "stop";
    template <class Archive>
    void serialize(Archive&) {}
  };

  /// A message to one member; `to` is empty for a seed.
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
  /// A member came, went or changed its state.
  struct member_changed {
    static constexpr std::string_view name = "member_changed";
    member info;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(cereal::make_nvp("who", info));
    }
  };
  /// The digest that a peer's owner set.
  struct peer_digest {
    static constexpr std::string_view name = "peer_digest";
    member_id from;
    std::string digest;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(from), CEREAL_NVP(digest));
    }
  };
  /// The platform says that this member's instance is leaving.
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

  /// Everyone who is known, this member too.
  const member_table& table() const { return table_; }
  /// True once a member of the own domain has answered.
  bool joined() const { return joined_; }

 private:
  using record = member_table::record;

  struct probe {
    member_id target;
    instant sent_at;
    bool relays_asked = false;
    // Whom to tell, if this probe is for somebody else.
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
                    std::uint64_t wanted);
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
  std::vector<member_update> gossip(bool to_own_domain, std::size_t used);
  bool in_own_domain(const member& other) const;
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
  std::vector<member_id>
      probe_order_;  // Of the probes that are left in this round.
  std::map<member_id, instant> suspicion_ends_;
  std::vector<seed_address> platform_addresses_;
  std::vector<seed_address> unanswered_seeds_;
  std::map<std::uint64_t, seed_address> pinged_seeds_;  ///< By sequence.
  int periods_since_start_ = 0;  ///< Since the start, while it is new.
  // Entries of other domains that asked lately; the table does not keep them.
  std::map<member_id, member> foreign_entries_;
  std::uint64_t last_sequence_ = 0;
  std::uint32_t syncs_left_ = 0;
  bool ticked_ = false;
  bool joined_ = false;
  bool stopped_ = false;
};

}  // namespace toucanmux
