#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "toucanmux/process/failure-detector.h"
#include "toucanmux/process/platform-object.h"
#include "toucanmux/process/promotion-events.h"
#include "toucanmux/process/promotion-round.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// Promotes a replica when the primary of a database group fails, and makes the
/// databases that this pool owns follow the recorded primary. Runs at each pool
/// that owns a database of the group.
class promoter {
 public:
  struct settings {
    member_id self;
    group_id group;
    /// Time between two polls of an owned database.
    duration poll_interval = std::chrono::milliseconds(100);
    /// Time between two polls while the primary is not healthy.
    duration poll_interval_suspect = std::chrono::milliseconds(40);
    /// Time between periodic reports to the peers.
    duration report_interval = std::chrono::milliseconds(200);
    /// Minimum time between two reports to a peer.
    duration report_spacing = std::chrono::milliseconds(20);
    /// How long a report counts as fresh, from the time of the stamp that it
    /// echoes.
    duration report_lifetime = std::chrono::milliseconds(400);
    /// How long a promotion waits for a veto if the primary's owner has sent no
    /// fresh report.
    duration veto_wait = std::chrono::milliseconds(60);
    /// Delay of a promotion, multiplied by the rank of this pool.
    duration rank_delay = std::chrono::milliseconds(60);
    /// How long a peer's last report counts as its current state.
    duration peer_timeout = std::chrono::milliseconds(600);
    /// Time between commands to a database.
    duration command_retry = std::chrono::milliseconds(200);
    /// How long an owned database may have a higher control term before this
    /// pool starts a round to finish the earlier one.
    duration unfinished_after = std::chrono::milliseconds(1000);
    /// Time until a round repeats its fence requests.
    duration round_retry = std::chrono::milliseconds(100);
    /// Time after which a round without a quorum reads the group again.
    duration round_restart = std::chrono::milliseconds(1000);
    /// First delay of a retry while the platform is unreachable; doubles.
    duration platform_retry = std::chrono::milliseconds(250);
    /// Maximum delay of a retry while the platform is unreachable.
    duration platform_retry_limit = std::chrono::milliseconds(1000);
    /// Time for statements in flight to end before a planned hand-over.
    duration hand_over_drain = std::chrono::milliseconds(100);
    /// Minimum time between two hand-overs by a leaving primary.
    duration hand_over_retry = std::chrono::milliseconds(5000);
    /// Expected duration of a round; clients get it as retry delay.
    duration round_estimate = std::chrono::milliseconds(200);
    failure_detector::settings detector;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(self), CEREAL_NVP(group), CEREAL_NVP(poll_interval),
              CEREAL_NVP(poll_interval_suspect), CEREAL_NVP(report_interval),
              CEREAL_NVP(report_spacing),
              cereal::make_nvp("opinion_lifetime", report_lifetime),
              CEREAL_NVP(veto_wait), CEREAL_NVP(rank_delay),
              cereal::make_nvp("peer_patience", peer_timeout),
              CEREAL_NVP(command_retry), CEREAL_NVP(unfinished_after),
              CEREAL_NVP(round_retry), CEREAL_NVP(round_restart),
              CEREAL_NVP(platform_retry), CEREAL_NVP(platform_retry_limit),
              CEREAL_NVP(hand_over_drain), CEREAL_NVP(hand_over_retry),
              CEREAL_NVP(round_estimate), CEREAL_NVP(detector));
    }
  };
  using event =
      std::variant<group_tick, object_read, object_written, owners_changed,
                   heartbeat_ended, database_polled, command_ended,
                   report_received, fence_requested, fence_answered, hand_over>;
  using action = std::variant<send_heartbeat, poll_database, fence_database,
                              promote_database, follow_database, read_object,
                              write_object, send_report, send_fence_request,
                              send_fence_reply, group_view>;

  explicit promoter(const settings& values);
  std::vector<action> step(instant now, const event& new_event);

  std::uint64_t term() const { return term_; }
  const database_id& primary() const { return primary_; }
  const group_view& view() const { return view_; }
  const failure_detector& detector() const { return detector_; }
  /// True while this pool drives a promotion round.
  bool promoting() const { return round_.has_value(); }

 private:
  struct owned_database {
    bool reachable = false;  ///< The last poll or command got an answer.
    database_status status;
    bool poll_in_flight = false;
    instant next_poll_at{};
    instant next_command_at{};
    instant ahead_since{};  ///< Since when `control_term` exceeds `term_`.
    std::uint64_t fence_term = 0;  ///< Term of the fence in flight; 0 if none.
    std::set<member_id> fence_requesters;
  };
  struct peer {
    group_report report;
    instant received_at{};
    instant confirmed_at{};  ///< The report was sent after this.
    instant last_report_sent_at{};
  };

  void handle(const group_tick&);
  void handle(const object_read& read);
  void handle(const object_written& written);
  void handle(const owners_changed& change);
  void handle(const heartbeat_ended& end);
  void handle(const database_polled& poll);
  void handle(const command_ended& end);
  void handle(const report_received& received);
  void handle(const fence_requested& requested);
  void handle(const fence_answered& answered);
  void handle(const hand_over& request);

  void detect(const failure_detector::event& new_event);
  void apply_group(const database_group& group, std::uint64_t version);
  database_group proposed_group() const;
  void change_primary_to(std::uint64_t term, const database_id& primary);
  void update_status(const database_id& id, const database_status& status);
  void reconcile(const database_id& id, owned_database& db);
  bool may_promote(const database_status& status) const;
  void poll(const database_id& id, owned_database& db);

  void check_primary_now();
  bool fresh(const peer& sender) const;

  bool from_other_domain(const group_report& report) const;
  bool suspicion_agreed() const;
  bool primary_owner_reachable() const;
  bool peer_promoting() const;
  bool has_unfinished_round() const;
  bool hand_over_due() const;
  std::size_t rank() const;
  bool owns(const database_id& id) const { return owned_.contains(id); }

  void start_round_if_needed();
  void start_round(promotion_cause cause);
  void end_round();
  bool round_still_needed() const;
  void read_group();
  duration keep_primary_delay() const;
  void begin_fencing();
  void advance_round();
  void request_fences();
  void handle_fence_reply(const fence_reply& reply);
  void handle_fence_request(const member_id& from,
                            const fence_request& request);
  void reply_to_fence_request(const member_id& to, const fence_reply& reply);
  void write_proposed_group();

  void send_due_reports();
  void report_all();
  void send_report_to(const member_id& to);
  group_view current_view() const;
  bool primary_writable() const;
  void update_view();

  settings settings_;
  failure_detector detector_;
  instant now_{};
  std::vector<action> actions_;

  std::uint64_t term_ = 0;
  database_id primary_;
  database_group group_;
  std::uint64_t group_version_ = 0;

  std::vector<database_owner> owners_;
  std::map<database_id, owned_database> owned_;
  std::map<member_id, peer> peers_;

  std::optional<promotion_round> round_;
  std::uint64_t round_count_ = 0;
  bool suspicion_agreed_ = false;
  instant suspicion_agreed_at_{};
  bool platform_unreachable_ = false;
  duration platform_backoff_{0};
  bool read_in_flight_ = false;
  instant next_hand_over_at_{};
  instant next_report_at_{};
  bool report_requested_ = false;
  group_view view_;
};

}  // namespace toucanmux
