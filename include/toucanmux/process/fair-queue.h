#pragma once

#include <boost/container/small_vector.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <unordered_map>
#include <variant>

#include "toucanmux/core.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

/// A statement, or a transaction's first one, asks for a slot.
struct slot_wanted {
  static constexpr std::string_view name = "slot_wanted";

  std::uint64_t id = 0;  ///< Never used twice.
  team_id team;
  double weight = 1;         ///< Above 0; other values count as 1.
  bool transaction = false;  ///< Keeps the slot until it ends.
  duration time_left{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(team), CEREAL_NVP(weight),
            CEREAL_NVP(transaction), CEREAL_NVP(time_left));
  }
};

/// The caller of `id` does not wait any more. What has a slot goes on.
struct slot_cancelled {
  static constexpr std::string_view name = "slot_cancelled";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// The team may not use the database any more.
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

/// A statement of the transaction `id` begins or ends to run.
struct transaction_busy {
  static constexpr std::string_view name = "transaction_busy";

  std::uint64_t id = 0;
  bool busy = true;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(busy));
  }
};

/// How many statements may run at once from now on.
struct slots_changed {
  static constexpr std::string_view name = "slots_changed";

  std::uint32_t slots = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(slots));
  }
};

/// The database can't be used: nothing that waits will run.
struct upstream_lost {
  static constexpr std::string_view name = "upstream_lost";

  reason_code why = reason_code::no_upstream;
  duration retry_after{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(why), CEREAL_NVP(retry_after));
  }
};

/// The database or the pool leaves: no new work, and the old is finished.
struct upstream_leaving {
  static constexpr std::string_view name = "upstream_leaving";

  bool leaving = true;  ///< False if it stays after all.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(leaving));
  }
};

/// The time that `queue_wake` named has come.
struct queue_timer {
  static constexpr std::string_view name = "queue_timer";
  template <class Archive>
  void serialize(Archive&) {}
};

/// Run it.
struct grant_slot {
  static constexpr std::string_view name = "grant_slot";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// It did not run and never will.
struct refuse_slot {
  static constexpr std::string_view name = "refuse_slot";

  std::uint64_t id = 0;
  reason_code why = reason_code::none;  ///< `none` if it was cancelled.
  duration retry_after{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(why), CEREAL_NVP(retry_after));
  }
};

/// Roll the transaction back; it keeps its slot until `slot_released`.
struct end_transaction {
  static constexpr std::string_view name = "end_transaction";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// Step `queue_timer` at this time; it replaces the one before.
struct queue_wake {
  static constexpr std::string_view name = "queue_wake";

  instant at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(at));
  }
};

/// Shares one database's slots: weighted fair queueing by team, in which a
/// team pays for the time that its statements hold slots. A step takes
/// O(log(teams) + log(waiting)).
class fair_queue {
 public:
  struct settings {
    std::uint32_t slots = 1;
    std::uint32_t team_limit = 200;    ///< Waiting statements of one team.
    std::uint32_t total_limit = 2000;  ///< Waiting statements of all teams.
    /// Expected of a statement until some were measured.
    duration service_time = std::chrono::milliseconds(2);
    duration transaction_idle = std::chrono::seconds(5);
    duration transaction_hold = std::chrono::seconds(30);
    /// Slot time that a team may claim of a pause, over its weight.
    duration pause_credit = std::chrono::milliseconds(50);
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

  actions step(instant now, const event& what);

  std::size_t waiting() const { return waiting_[0] + waiting_[1]; }
  std::size_t running() const { return running_; }
  /// Slots that transactions may hold; one is left to single statements.
  std::uint32_t transaction_slots() const;

 private:
  enum class kind : std::uint8_t { single, transaction };
  static constexpr std::size_t kinds = 2;
  static constexpr std::size_t index_of(kind what) {
    return static_cast<std::size_t>(what);
  }

  struct by_deadline_tag;
  struct by_tag;
  struct team_queue;

  using list_hook = boost::intrusive::list_base_hook<>;
  using deadline_hook =
      boost::intrusive::set_base_hook<boost::intrusive::tag<by_deadline_tag>>;
  using flow_hook =
      boost::intrusive::set_base_hook<boost::intrusive::tag<by_tag>>;

  // One that waits is in its flow's list; one that runs, in a list of those
  // whose transaction may have to end.
  struct item : list_hook, deadline_hook {
    std::uint64_t id = 0;
    team_queue* team = nullptr;
    kind what = kind::single;
    bool granted = false;
    bool ending = false;
    instant deadline;  ///< When waiting; of an idle transaction, its end.
    instant started;
    double charged = 0;  ///< Seconds of a slot, paid in advance.
  };

  struct earlier {
    bool operator()(const item& a, const item& b) const {
      return a.deadline < b.deadline;
    }
  };

  struct flow : flow_hook {
    team_queue* team = nullptr;
    std::uint64_t turn = 0;  ///< Of equal tags the earlier goes first.
    boost::intrusive::list<item, boost::intrusive::base_hook<list_hook>>
        waiting;
  };

  struct lower_tag {
    bool operator()(const flow& a, const flow& b) const;
  };

  using flow_set =
      boost::intrusive::multiset<flow, boost::intrusive::base_hook<flow_hook>,
                                 boost::intrusive::compare<lower_tag>>;
  using deadline_set =
      boost::intrusive::multiset<item,
                                 boost::intrusive::base_hook<deadline_hook>,
                                 boost::intrusive::compare<earlier>>;

  void take(const slot_wanted& e);
  void take(const slot_cancelled& e);
  void take(const team_withdrawn& e);
  void take(const slot_released& e);
  void take(const transaction_busy& e);
  void take(const slots_changed& e);
  void take(const upstream_lost& e);
  void take(const upstream_leaving& e);
  void take(const queue_timer&);

  team_queue& find_team(const slot_wanted& e);
  reason_code refusal(const team_queue& team, duration time_left,
                      kind what) const;
  duration expected_wait(const team_queue& team, kind what) const;
  std::size_t free_slots(kind what) const;
  void refuse(std::uint64_t id, reason_code why, duration retry_after);
  void drop(item& waiting, reason_code why, duration retry_after);
  void refuse_waiting(team_queue& team, reason_code why, duration retry_after);
  void push(item& arrived);
  void unlink(item& waiting);
  void pump();
  flow* next_flow();
  void grant(item& next);
  void pay_so_far(item& one);
  void charge(team_queue& team, double seconds);
  void insert(flow& ready, kind what);
  void leave_sets(team_queue& team);
  void join_sets(team_queue& team);
  void set_deadline(item& one, instant at);
  void end(item& transaction);
  void forget_idle_teams();
  void plan_wake();

  settings settings_;
  instant now_;
  bool leaving_ = false;
  std::uint32_t slots_ = 0;
  std::size_t waiting_[kinds] = {};
  std::size_t running_ = 0;
  std::size_t transactions_ = 0;
  std::uint64_t turn_ = 0;
  double virtual_time_ = 0;
  double active_weight_ = 0;
  double service_seconds_[kinds] = {};
  instant wake_ = instant::max();
  std::unordered_map<team_id, team_queue> teams_;
  std::unordered_map<std::uint64_t, item> items_;
  flow_set ready_[kinds];
  deadline_set deadlines_;
  std::size_t forget_at_ = 0;
  actions out_;
};

}  // namespace toucanmux
