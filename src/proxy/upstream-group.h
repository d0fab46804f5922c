#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "proxy/admission/wait-queue.h"
#include "proxy/link-request.h"
#include "proxy/upstream-link.h"
#include "proxy/upstream.h"
#include "toucanmux/proxy/admission/finish-estimate.h"
#include "toucanmux/proxy/admission/promotion-time.h"
#include "toucanmux/proxy/admission/retry-schedule.h"
#include "toucanmux/proxy/domain/availability.h"
#include "toucanmux/proxy/fleet-config.h"
#include "toucanmux/proxy/leader-lease.h"
#include "toucanmux/proxy/leader-watch.h"
#include "toucanmux/proxy/placement/group-placement.h"
#include "toucanmux/proxy/position-samples.h"

namespace toucanmux {

class connection_sharing;
class journal;
struct domain_rules;

/// The databases of one group, this instance's connections to them, and the
/// queue of statements that wait for a connection.
class upstream_group final : public link_owner {
 public:
  using status_handler =
      std::function<void(std::optional<wire::upstream_status>)>;

  upstream_group(event_loop& loop, journal& log, const group_id& id,
                 const member_id& self, const domain_id& domain,
                 const leader_lease& leases, duration heartbeat,
                 duration drain_timeout);
  ~upstream_group() override;
  upstream_group(const upstream_group&) = delete;
  upstream_group(upstream_group&&) = delete;
  upstream_group& operator=(const upstream_group&) = delete;
  upstream_group& operator=(upstream_group&&) = delete;

  const group_id& id() const { return id_; }
  /// The low bits of the group name's stable hash.
  std::uint32_t hash() const { return hash_; }

  void set_policy(const group_policy& policy) { policy_ = policy; }
  unsigned max_connections() const { return policy_.max_connections; }
  /// Shares connections with other instances; null ends that.
  void set_sharing(connection_sharing* sharing);
  /// @param rules are used as long as the group exists.
  void set_domain_rules(const domain_rules& rules) { rules_ = &rules; }
  /// @param shared by all groups, since leaders change rarely; is used as long
  /// as the group exists.
  void set_promotion_time(promotion_time& shared) { promotion_time_ = &shared; }
  void set_members(std::shared_ptr<const std::vector<member_id>> members);
  /// Adds a database or updates its discovery entry.
  /// @param changed_after no later than the entry's last change in the store;
  /// the drain timeout is counted from it.
  void set_entry(const upstream_entry& entry,
                 instant changed_after = instant::max());
  /// Records that the database's discovery entry was removed.
  void remove_entry(const database_id& id);

  /// Returns a link that the request may use now, or null if no link is free.
  /// In that case a new connection may have been started.
  upstream_link* try_acquire(const link_request& request);
  /// Queues the request for a link, in the order of `fair_order`. A request
  /// uses nothing that a more urgent waiting one could use. `unlink` or
  /// destroying the request removes it from the queue.
  void enqueue(link_request& request);
  std::size_t queue_length() const { return queue_.size(); }
  /// When the request is expected to finish if it waits in the queue.
  finish_estimate estimate_finish(const link_request& request) const;
  /// When a refused request may return, so that those that were refused
  /// together return as fast as they can be served.
  /// @param expected when the cause of the refusal is expected to end.
  duration schedule_retry(const link_request& request, duration expected);
  /// The expected time until statements may be sent to a leader again.
  duration leader_change_remaining() const;
  /// Whether the group's databases refuse more and more.
  bool refusals_increase();
  /// True if at least one database could serve the request. Otherwise the
  /// request should be refused rather than queued.
  bool may_serve(const upstream_requirements& requirements) const;
  /// Why a request that `may_serve` rejects can't be served; `available` if
  /// failure domains, regions and warm-up are not the reason.
  availability obstacle(const upstream_requirements& requirements) const;
  /// Whether a transaction may begin at the database that a link leads to.
  bool may_begin(std::size_t index,
                 const upstream_requirements& requirements) const;
  /// Counts a statement that is about to be sent to a database. False if the
  /// database is cold and must not get it.
  bool take_warm_up(std::size_t index);
  /// Refuses the queued requests that only databases of drained failure domains
  /// could serve, and serves those that may be served now.
  void apply_drain_change();
  /// Whether any database is cold.
  bool warming_up() const;
  /// Divides the warm-up budgets over the known instances.
  void update_warm_up_shares();
  /// How many statements this instance may send to cold databases now.
  unsigned warm_up_left() const;
  /// Whether the database's failure domain is drained.
  bool is_drained(const upstream& database) const;

  bool has_leader() const { return leader_index().has_value(); }
  std::optional<database_id> leader() const;
  /// The leader by the store's record or else by discovery, even if its
  /// leadership is revoked or not confirmed.
  std::optional<database_id> expected_leader() const;
  /// True if the database leads and this instance's lease on that knowledge has
  /// not expired, so that statements may be sent to the database as leader.
  bool leads(std::size_t index) const;
  /// Whether the database led at `since` or later; nothing if that is not known
  /// yet.
  std::optional<bool> led_since(std::size_t index, instant since) const;
  /// The store's record of the group's leader; null if no leader was ever
  /// replaced.
  const leader_record* record() const { return leases_.find(hash_); }
  const upstream* find(const database_id& id) const;
  std::optional<std::size_t> index_of(const database_id& id) const;
  /// Whether new statements may be sent to the database.
  bool may_use(std::size_t index) const;
  /// The number of databases, including those that were removed a moment ago.
  std::size_t size() const { return upstreams_.size(); }
  const upstream& at(std::size_t index) const { return *upstreams_[index]; }
  std::vector<const upstream*> upstreams() const;
  /// Whether the leader or its failure domain is being drained.
  bool leader_is_draining() const;
  /// The highest term seen in answers of any database.
  std::uint64_t leader_term() const;

  /// Records that the database refused a statement because it does not lead.
  void record_not_leader(std::size_t index);
  /// Records that the database's log lacks a position that a read requires.
  void record_lag(std::size_t index);
  /// Records that a statement failed at the database, for any reason.
  /// @param leader_only only the leader could run it.
  void record_failure(std::size_t index, bool leader_only);
  /// Records that the database refused a statement because of its load.
  /// @param leader_only only the leader could run it.
  void record_refusal(std::size_t index, bool leader_only);
  /// Adds a sample of the leader's position that a peer has confirmed.
  /// @param sent_at no later than when the peer sent its probe.
  void apply_sample(instant sent_at, const log_position& position);
  const position_samples& samples() const { return samples_; }
  leader_watch& watch() { return watch_; }
  /// Updates the view of the database by an answer that another instance
  /// relayed. Suspension, probes and position samples do not use it.
  void record_relayed_answer(const upstream_link& link,
                             const link_answer& answer);
  /// How long to wait for an answer of the database before it counts as late.
  duration answer_timeout(std::size_t index) const;
  /// Keeps the samples of the leader's position recent for the next 3 s.
  void request_samples() { samples_requested_at_ = loop_.now(); }

  /// Sends a control request to one database. `done` is called once, with
  /// nothing if the request failed.
  void send_control_request(const database_id& id, link_purpose purpose,
                            std::uint64_t term, status_handler done);
  /// Which instance probes the leader for its position.
  enum class probe_mode : std::uint8_t {
    own,     ///< This instance, while its own reads need samples.
    shared,  ///< This instance, always; peers get its samples.
    none     ///< A peer, which reports its samples.
  };
  void set_probe_mode(probe_mode mode) { probe_mode_ = mode; }
  /// True if reads need newer samples and a peer, which is to probe the leader,
  /// has not reported any.
  bool needs_samples() const;
  /// True if this instance borrows connections to the leader.
  bool borrows_leader_connections() const;
  /// The team whose connections probe databases until another team is known.
  void set_probe_team(const team_id& team) { probe_team_ = team; }
  /// Adds what this instance does at the databases that it uses.
  void add_own_loads(std::vector<database_load>& out) const;
  /// Takes the fleet's load into account from now on; null ends that.
  void update_placement(const load_view* view);
  const group_placement& placement() const { return placement_; }
  /// Called a few times a second for timeouts and probes.
  void tick();
  std::uint64_t connections_opened() const { return connections_opened_; }
  std::uint64_t connections_refused() const { return connections_refused_; }
  /// Idle connections that were closed for one of another team.
  std::uint64_t connections_evicted() const { return connections_evicted_; }
  /// Statements that were answered over connections of this instance.
  std::uint64_t statements_answered() const { return statements_answered_; }
  /// Serves the queue at the end of the turn.
  void schedule_serve();

  void on_link_ready(upstream_link& link) override;
  void on_link_idle(upstream_link& link) override;
  void on_link_ended(upstream_link& link) override;
  void on_link_answer(upstream_link& link, const link_answer& answer) override;

 private:
  /// How long a database is still used after its discovery entry was removed:
  /// entries also expire while the store is unavailable. Well within the drain
  /// timeout.
  static constexpr duration removed_use_period = std::chrono::seconds(3);
  /// Time for the database to close a connection on request; it does so as soon
  /// as it has read the request.
  static constexpr duration retire_timeout = std::chrono::milliseconds(300);
  /// Beyond this time a statement without an answer says that the database is
  /// silent rather than that it is loaded.
  static constexpr duration max_outstanding = std::chrono::milliseconds(500);

  class control_request;
  static bool is_outdated(const upstream& known, const upstream_entry& entry);

  using upstream_slot = std::vector<std::unique_ptr<upstream>>::iterator;

  void update_allowance(upstream& database) const;
  upstream_slot find_free_slot(const database_id& id);
  std::optional<std::size_t> leader_index() const;
  std::optional<std::size_t> expected_leader_index() const;
  std::optional<std::size_t> claimed_leader_index() const;
  void confirm_leadership(std::size_t index);
  bool removal_is_final(const upstream& database) const;
  bool usable(const upstream& database) const;
  availability availability_of(const upstream& database,
                               const upstream_requirements& requirements) const;
  bool may_use(const upstream& database,
               const upstream_requirements& requirements) const;
  void note_warm_up(upstream& database);
  void update_warm_up_share(upstream& database) const;
  void log_ended_warm_ups();
  void record_answer(upstream& database);
  void record_opening(const upstream_link& link);
  void update_leader();
  void note_naming(const leader_record& stored);
  void measure_promotion();
  upstream_candidate make_candidate(std::size_t index, bool is_leader,
                                    const link_request& request) const;
  upstream_link* idle_link(upstream& database,
                           const link_request& request) const;
  upstream_link* oldest_idle_link(upstream& database) const;
  bool open_link(std::size_t index, const team_id& team);
  void make_room_or_open(std::size_t index, const link_request& request);
  bool is_opening(std::size_t index, const team_id& team) const;
  void serve_queue();
  void withhold_claimed(const link_request& request,
                        upstream_candidate& candidate) const;
  std::optional<std::size_t> choose_free(
      std::span<upstream_candidate> candidates,
      const link_request& request) const;
  serving_state serving_state_for(const link_request& request) const;
  serving_state serving_state_at(std::size_t index,
                                 const link_request& request) const;
  void add_work(const link_request& request, std::vector<duration>& work) const;
  duration work_for(const link_request& request,
                    std::span<const duration> work) const;
  duration expected_cost(const link_request& request) const;
  bool has_link_of(const link_request& request) const;
  bool may_run(std::size_t index, const link_request& request) const;
  void check_waiting();
  void schedule_check();
  void suspend_silent();
  void suspend(upstream& database);
  void probe_suspended(std::size_t index);
  bool open_probe(std::size_t index);
  bool need_newer_samples(duration older_than) const;
  void probe_leader();
  void close_surplus_links();
  void close_surplus_links_to(upstream& database, bool is_leader);
  void abort_removed();
  std::optional<std::size_t> choose(std::span<upstream_candidate> candidates,
                                    const link_request& request) const;
  database_load own_load(const upstream& database) const;
  void meter_opening(upstream& database);
  void meter_answer(const upstream_link& link, const link_answer& answer);
  void log_ejection(const ejection_policy::event& event,
                    std::span<const group_placement::database_state> states);
  bool uses_relay(std::size_t index, const link_request& request) const;
  upstream_link* acquire_relay(std::size_t index, const link_request& request);
  void record_statement(upstream& database, bool is_leader,
                        const link_answer& answer);

  event_loop& loop_;
  journal& log_;
  group_id id_;
  std::uint32_t hash_;
  member_id self_;
  domain_id domain_;
  const leader_lease& leases_;
  duration drain_timeout_;
  group_policy policy_;
  const domain_rules* rules_;
  std::shared_ptr<const std::vector<member_id>> members_;  ///< All instances.
  std::vector<std::unique_ptr<upstream>> upstreams_;
  wait_queue queue_;
  bool check_scheduled_ = false;
  retry_schedule retries_;
  std::optional<instant> leaderless_since_;
  std::optional<instant> named_at_;  ///< While the leader is being promoted.
  promotion_time own_promotion_time_;
  promotion_time* promotion_time_ = &own_promotion_time_;
  position_samples samples_;
  leader_watch watch_;
  std::optional<database_id> logged_leader_;
  leader_record seen_record_;
  /// `leader_term()` when `seen_record_` was first seen.
  std::uint64_t previous_term_ = 0;
  instant samples_requested_at_;
  probe_mode probe_mode_ = probe_mode::own;
  team_id probe_team_;
  bool serve_scheduled_ = false;
  std::vector<std::unique_ptr<control_request>> control_requests_;
  group_placement placement_;
  bool balances_ = false;  ///< `placement_` chooses.
  std::uint64_t placement_seed_;
  std::uint64_t connections_opened_ = 0;
  std::uint64_t connections_refused_ = 0;
  std::uint64_t connections_evicted_ = 0;
  std::uint64_t statements_answered_ = 0;
  connection_sharing* sharing_ = nullptr;
};

}  // namespace toucanmux
