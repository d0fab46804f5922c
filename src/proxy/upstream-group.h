#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/link-request.h"
#include "proxy/upstream-link.h"
#include "proxy/upstream.h"
#include "toucanmux/proxy/fleet-config.h"
#include "toucanmux/proxy/lead-lease.h"
#include "toucanmux/proxy/leader-watch.h"
#include "toucanmux/proxy/position-samples.h"
#include "toucanmux/proxy/waiting-rule.h"

namespace toucanmux {

class journal;

/// The databases of one group, this instance's connections to them and the
/// statements that wait for one.
class upstream_group final : public link_owner {
 public:
  using status_handler =
      std::function<void(std::optional<wire::upstream_status>)>;

  upstream_group(event_loop& loop, journal& log, const group_id& id,
                 const member_id& self, const domain_id& domain,
                 const lead_lease& leases, duration heartbeat,
                 duration drain_bound);
  ~upstream_group() override;
  upstream_group(const upstream_group&) = delete;
  upstream_group(upstream_group&&) = delete;
  upstream_group& operator=(const upstream_group&) = delete;
  upstream_group& operator=(upstream_group&&) = delete;

  const group_id& id() const { return id_; }
  /// The low bits of the name's stable hash.
  std::uint32_t hash() const { return hash_; }

  void set_policy(const group_policy& policy) { policy_ = policy; }
  void set_members(std::shared_ptr<const std::vector<member_id>> members);
  /// Discovery names a database, or names it anew.
  void set_entry(const upstream_entry& entry);
  /// Discovery does not name it any more.
  void remove_entry(const database_id& id);

  /// A link that the request may use now, or null.
  upstream_link* try_acquire(const link_request& request);
  /// Waits for a link; the request's line is left by destroying it or by
  /// `unlink`.
  void enqueue(link_request& request);
  std::size_t queue_length() const;
  /// False if nothing can run the request for now, so that waiting is in vain.
  bool may_serve(const upstream_requirements& need) const;
  /// The line that a request would join now.
  queue_state queue_for(const upstream_requirements& need) const;

  bool has_leader() const { return leader_index().has_value(); }
  std::optional<database_id> leader() const;
  /// The leader, or the one that a change under way replaces.
  std::optional<database_id> last_leader() const;
  /// Whether this instance may act on the database's lead now.
  bool leads(std::size_t index) const;
  /// Whether the database led at a moment at or after `since`; nothing if that
  /// is not known yet.
  std::optional<bool> led_since(std::size_t index, instant since) const;
  /// The group's record in the store, or null.
  const lead_record* record() const { return leases_.find(hash_); }
  const upstream* find(const database_id& id) const;
  const upstream& at(std::size_t index) const { return *upstreams_[index]; }
  std::vector<const upstream*> all() const;
  bool leader_is_draining() const;
  std::uint64_t leader_term() const;

  /// The statement's answer says that the database does not lead.
  void record_not_leader(std::size_t index);
  /// The database's log lacks a position that reads need.
  void record_lag(std::size_t index);
  /// A statement failed there, whatever the reason.
  void record_failure(std::size_t index) {
    upstreams_[index]->outcomes.record(loop_.now(), true);
  }
  /// A sample of the leader's position that a peer has proven.
  void apply_sample(instant asked, const log_position& position);
  const position_samples& samples() const { return samples_; }
  leader_watch& watch() { return watch_; }
  /// How long an answer of this database usually takes at the most.
  duration answer_timeout(std::size_t index) const;
  /// A read needs samples of the leader's position.
  void request_samples() { samples_requested_at_ = loop_.now(); }

  /// Asks one database about itself; `done` is called once.
  void send_control_request(const database_id& id, link_purpose step,
                            std::uint64_t term, status_handler done);
  /// Who probes the leader for its position.
  enum class probe_mode : std::uint8_t {
    own,     ///< This instance, as far as its reads want it.
    shared,  ///< This instance, always and for others as well.
    none     ///< Another one, which passes its samples on.
  };
  void set_probe_mode(probe_mode how) { probe_mode_ = how; }
  /// Fresh samples are wanted and this instance does not probe for them.
  bool needs_samples() const;
  /// True if connections to the leader are borrowed.
  bool borrows_leader_connections() const;
  /// The team in whose name the databases are probed until another is known.
  void set_probe_team(const team_id& team) { probe_team_ = team; }
  /// Called a few times a second.
  void tick();
  std::uint64_t connections_opened() const { return connections_opened_; }
  std::uint64_t connections_refused() const { return connections_refused_; }

  void on_link_ready(upstream_link& link) override;
  void on_link_idle(upstream_link& link) override;
  void on_link_ended(upstream_link& link) override;
  void on_link_answer(upstream_link& link, const link_answer& answer) override;

 private:
  /// A database whose entry is gone may live: entries lapse while the store is
  /// away. It gets requests for so long, well within the bound on leaving ones.
  static constexpr duration removed_use_period = std::chrono::seconds(3);
  /// A database closes as soon as it reads the request to.
  static constexpr duration retire_timeout = std::chrono::milliseconds(300);

  class control_request;
  using request_queue =
      boost::intrusive::list<link_request,
                             boost::intrusive::constant_time_size<false>>;

  using upstream_slot = std::vector<std::unique_ptr<upstream>>::iterator;

  void update_allowance(upstream& what) const;
  upstream_slot find_free_slot(const database_id& id);
  std::optional<std::size_t> leader_index() const;
  std::optional<std::size_t> expected_leader_index() const;
  std::optional<std::size_t> claimed_leader_index() const;
  void confirm_leadership(std::size_t index);
  bool is_removed(const upstream& what) const;
  bool usable(const upstream& what) const;
  void record_answer(upstream& what);
  void update_leader();
  upstream_candidate make_candidate(std::size_t index, bool leads,
                                    const link_request& request) const;
  upstream_link* idle_link(upstream& on, const link_request& request) const;
  upstream_link* oldest_idle_link(upstream& on) const;
  bool open_link(std::size_t index, const team_id& team);
  void make_room_or_open(std::size_t index, const link_request& request);
  bool is_opening(std::size_t index, const team_id& team) const;
  void serve_queue();
  void suspend_silent();
  void suspend(upstream& what);
  void probe_suspended(std::size_t index);
  bool open_probe(std::size_t index);
  bool need_newer_samples(duration older_than) const;
  void probe_leader();
  void close_surplus_links();
  void close_surplus_links_to(upstream& on, bool leads);
  void abort_removed();
  void schedule_serve();

  event_loop& loop_;
  journal& log_;
  group_id id_;
  std::uint32_t hash_;
  member_id self_;
  domain_id domain_;
  const lead_lease& leases_;
  duration drain_timeout_;
  group_policy policy_;
  std::shared_ptr<const std::vector<member_id>> members_;  ///< Of all groups.
  std::vector<std::unique_ptr<upstream>> upstreams_;
  request_queue queue_;
  position_samples samples_;
  leader_watch watch_;
  std::optional<database_id> last_leader_;
  std::uint64_t seen_record_revision_ =
      0;                             ///< Of the record that was seen last.
  std::uint64_t previous_term_ = 0;  ///< The highest when it was seen first.
  instant samples_requested_at_;
  probe_mode probe_mode_ = probe_mode::own;
  team_id probe_team_;
  bool serving_queue_ = false;
  bool serve_scheduled_ = false;
  std::vector<std::unique_ptr<control_request>> control_requests_;
  std::uint64_t connections_opened_ = 0;
  std::uint64_t connections_refused_ = 0;
};

}  // namespace toucanmux
