#pragma once

#include <boost/container/small_vector.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <unordered_map>
#include <variant>

#include "toucanmux/core.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

/// A statement, or the first statement of a transaction, requests a slot.
struct slot_wanted {
  static constexpr std::string_view name = "slot_wanted";

  std::uint64_t id = 0;  ///< Unique for the lifetime of the queue.
  team_id team;
  double weight = 1;         ///< Positive; other values count as 1.
  bool transaction = false;  ///< Holds the slot until it ends.
  duration time_left{0};     ///< Until the deadline of the request.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(team), CEREAL_NVP(weight),
            CEREAL_NVP(transaction), CEREAL_NVP(time_left));
  }
};

/// The caller of `id` cancelled the request. A request that already has a slot
/// continues.
struct slot_cancelled {
  static constexpr std::string_view name = "slot_cancelled";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// The team's access to the database was revoked.
struct team_withdrawn {
  static constexpr std::string_view name = "team_withdrawn";

  team_id team;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team));
  }
};

/// The statement or the transaction of `id` has ended.
struct slot_released {
  static constexpr std::string_view name = "slot_released";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// A statement of the transaction `id` starts or ends.
struct transaction_busy {
  static constexpr std::string_view name = "transaction_busy";

  std::uint64_t id = 0;
  bool busy = true;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(busy));
  }
};

/// The number of slots changed.
struct slots_changed {
  static constexpr std::string_view name = "slots_changed";

  std::uint32_t slots = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(slots));
  }
};

/// The database is unavailable: all waiting requests are refused.
struct upstream_lost {
  static constexpr std::string_view name = "upstream_lost";

  reason_code cause = reason_code::no_upstream;
  duration retry_after{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cereal::make_nvp("why", cause), CEREAL_NVP(retry_after));
  }
};

/// The database or the pool is draining: new requests are refused, waiting ones
/// are still served.
struct upstream_leaving {
  static constexpr std::string_view name = "upstream_leaving";

  bool leaving = true;  ///< False if the drain was cancelled.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(leaving));
  }
};

/// The time of the last `queue_wake` has come.
struct queue_timer {
  static constexpr std::string_view name = "queue_timer";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The request has a slot and may run.
struct grant_slot {
  static constexpr std::string_view name = "grant_slot";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// The request did not run and will not.
struct refuse_slot {
  static constexpr std::string_view name = "refuse_slot";

  std::uint64_t id = 0;
  reason_code cause = reason_code::none;  ///< `none` if the caller cancelled.
  duration retry_after{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), cereal::make_nvp("why", cause),
            CEREAL_NVP(retry_after));
  }
};

/// Roll back the transaction. It holds its slot until `slot_released`.
struct end_transaction {
  static constexpr std::string_view name = "end_transaction";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// Send `queue_timer` at this time. Replaces the previous wake time.
struct queue_wake {
  static constexpr std::string_view name = "queue_wake";

  instant at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(at));
  }
};

/// Schedules the slots of one database by weighted fair queueing over teams. A
/// team is charged for the time that its statements hold slots. A step takes
/// O(log(teams) + log(waiting)).
class fair_queue {
 public:
  struct settings {
    std::uint32_t slots = 1;
    std::uint32_t team_limit = 200;    ///< Waiting requests of one team.
    std::uint32_t total_limit = 2000;  ///< Waiting requests of all teams.
    /// Initial estimate of the time that a request holds a slot.
    duration service_time = std::chrono::milliseconds(2);
    /// A transaction is rolled back after this time without a statement.
    duration transaction_idle = std::chrono::seconds(5);
    /// A transaction is rolled back after holding its slot for this time.
    duration transaction_hold = std::chrono::seconds(30);
    /// Slot time that a team is credited after it was idle, divided by its
    /// weight.
    duration pause_credit = std::chrono::milliseconds(50);
    /// Minimum retry delay that a refusal returns.
    duration least_retry_after = std::chrono::milliseconds(20);

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(slots), CEREAL_NVP(team_limit),
              CEREAL_NVP(total_limit), CEREAL_NVP(service_time),
              CEREAL_NVP(transaction_idle), CEREAL_NVP(transaction_hold),
              CEREAL_NVP(pause_credit), CEREAL_NVP(least_retry_after));
    }
  };

  using event = std::variant<slot_wanted, slot_cancelled, team_withdrawn,
                             slot_released, transaction_busy, slots_changed,
                             upstream_lost, upstream_leaving, queue_timer>;
  using action =
      std::variant<grant_slot, refuse_slot, end_transaction, queue_wake>;
  using actions = boost::container::small_vector<action, 2>;

  explicit fair_queue(const settings& values);
  ~fair_queue();
  fair_queue(const fair_queue&) = delete;
  fair_queue& operator=(const fair_queue&) = delete;
  fair_queue(fair_queue&&) = delete;
  fair_queue& operator=(fair_queue&&) = delete;

  actions step(instant now, const event& new_event);

  std::size_t waiting() const { return waiting_[0] + waiting_[1]; }
  std::size_t running() const { return running_; }
  /// Slots that transactions may hold. One slot is reserved for single
  /// statements if there are at least two.
  std::uint32_t transaction_slots() const;

 private:
  enum class request_kind : std::uint8_t { single, transaction };
  static constexpr std::size_t kind_count = 2;
  static constexpr std::size_t index_of(request_kind kind) {
    return static_cast<std::size_t>(kind);
  }

  struct deadline_set_tag;
  struct flow_set_tag;
  struct team_queue;

  using list_hook = boost::intrusive::list_base_hook<>;
  using deadline_hook =
      boost::intrusive::set_base_hook<boost::intrusive::tag<deadline_set_tag>>;
  using flow_hook =
      boost::intrusive::set_base_hook<boost::intrusive::tag<flow_set_tag>>;

  // A waiting request is in its flow's list. `deadlines_` holds the waiting
  // requests and the transactions that may have to be rolled back.
  struct slot_request : list_hook, deadline_hook {
    std::uint64_t id = 0;
    team_queue* team = nullptr;
    request_kind kind = request_kind::single;
    bool granted = false;
    bool rollback_requested = false;
    /// Latest start of a waiting request; rollback time of a running
    /// transaction.
    instant deadline;
    instant granted_at;
    /// Slot time that the team was charged for this request so far.
    double charged_seconds = 0;
  };

  struct earlier_deadline {
    bool operator()(const slot_request& a, const slot_request& b) const {
      return a.deadline < b.deadline;
    }
  };

  struct flow : flow_hook {
    team_queue* team = nullptr;
    /// Breaks ties between equal virtual finish times: the earlier insertion
    /// goes first.
    std::uint64_t insertion_number = 0;
    boost::intrusive::list<slot_request, boost::intrusive::base_hook<list_hook>>
        waiting;
  };

  struct lower_virtual_finish {
    bool operator()(const flow& a, const flow& b) const;
  };

  using flow_set = boost::intrusive::multiset<
      flow, boost::intrusive::base_hook<flow_hook>,
      boost::intrusive::compare<lower_virtual_finish>>;
  using deadline_set =
      boost::intrusive::multiset<slot_request,
                                 boost::intrusive::base_hook<deadline_hook>,
                                 boost::intrusive::compare<earlier_deadline>>;

  void handle(const slot_wanted& request);
  void handle(const slot_cancelled& cancelled);
  void handle(const team_withdrawn& withdrawn);
  void handle(const slot_released& released);
  void handle(const transaction_busy& change);
  void handle(const slots_changed& change);
  void handle(const upstream_lost& loss);
  void handle(const upstream_leaving& change);
  void handle(const queue_timer&);

  team_queue& find_team(const slot_wanted& request);
  reason_code refusal_cause(const team_queue& team, duration time_left,
                            request_kind kind) const;
  duration expected_wait(const team_queue& team, request_kind kind) const;
  duration expected_service() const;
  std::size_t free_slots(request_kind kind) const;
  void refuse(std::uint64_t id, reason_code cause, duration retry_after);
  void refuse_queued(slot_request& request, reason_code cause,
                     duration retry_after);
  void refuse_late(slot_request& request);
  void refuse_all_waiting(team_queue& team, reason_code cause,
                          duration retry_after);
  void enqueue(slot_request& arrived);
  void dequeue(slot_request& request);
  void grant_free_slots();
  flow* next_flow();
  void grant(slot_request& next);
  void charge_actual_time(slot_request& request);
  void charge(team_queue& team, double seconds);
  void insert(flow& ready, request_kind kind);
  void erase_from_ready_flows(team_queue& team);
  void insert_into_ready_flows(team_queue& team);
  void set_deadline(slot_request& request, instant at);
  void request_rollback(slot_request& transaction);
  void erase_idle_teams();
  void schedule_wake();

  settings settings_;
  instant now_;
  bool leaving_ = false;
  std::uint32_t slots_ = 0;
  std::size_t waiting_[kind_count] = {};
  std::size_t running_ = 0;
  std::size_t running_transactions_ = 0;
  std::uint64_t last_insertion_ = 0;
  double virtual_time_ = 0;
  double active_weight_ = 0;
  double expected_service_seconds_[kind_count] = {};
  instant wake_at_ = instant::max();
  std::unordered_map<team_id, team_queue> teams_;
  std::unordered_map<std::uint64_t, slot_request> requests_;
  flow_set ready_flows_[kind_count];
  deadline_set deadlines_;
  std::size_t sweep_size_ = 0;
  actions actions_;
};

}  // namespace toucanmux
