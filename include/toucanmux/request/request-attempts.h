#pragma once

#include <boost/container/small_vector.hpp>
#include <variant>
#include <vector>

#include "toucanmux/request/candidates.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

/// A caller's request begins.
struct request_started {
  static constexpr std::string_view name = "request_started";

  std::uint64_t request = 0;  ///< Never used twice by an entry; 56 bits.
  access_class access = access_class::read;
  statement_step step = statement_step::single;
  std::uint64_t transaction = 0;  ///< The pool's id; 0 outside of any.
  log_position required;          ///< What a read's answer must cover.
  bool has_idempotency_key = false;
  duration time_left{0};
  std::vector<candidate> candidates;
  bool writes_open = true;
  duration retry_after{0};  ///< While writes are closed.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(request), CEREAL_NVP(access), CEREAL_NVP(step),
            CEREAL_NVP(transaction), CEREAL_NVP(required),
            CEREAL_NVP(has_idempotency_key), CEREAL_NVP(time_left),
            CEREAL_NVP(candidates), CEREAL_NVP(writes_open),
            CEREAL_NVP(retry_after));
  }
};

/// Hints changed while the request waits.
struct candidates_changed {
  static constexpr std::string_view name = "candidates_changed";

  std::vector<candidate> candidates;
  bool writes_open = true;
  duration retry_after{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(candidates), CEREAL_NVP(writes_open),
            CEREAL_NVP(retry_after));
  }
};

/// A pool's answer arrived; its text stays with the caller of `step`.
struct attempt_answered {
  static constexpr std::string_view name = "attempt_answered";

  std::uint64_t id = 0;
  outcome_code outcome = outcome_code::done;
  reason_code reason = reason_code::none;
  log_position position;
  bool from_replica = false;
  duration retry_after{0};
  bool may_retry = true;  ///< The team's retry budget allows one.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), cereal::make_nvp("how", outcome),
            cereal::make_nvp("why", reason), CEREAL_NVP(position),
            CEREAL_NVP(from_replica), CEREAL_NVP(retry_after),
            CEREAL_NVP(may_retry));
  }
};

/// The link to the pool broke, or there is none.
struct attempt_lost {
  static constexpr std::string_view name = "attempt_lost";

  std::uint64_t id = 0;
  bool sent = true;  ///< False only if no byte of the statement left.
  bool may_retry = true;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(sent), CEREAL_NVP(may_retry));
  }
};

/// The time that `wake_at` named has come.
struct attempt_timer {
  static constexpr std::string_view name = "attempt_timer";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The caller closed its connection.
struct caller_gone {
  static constexpr std::string_view name = "caller_gone";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The key that came with the request is withdrawn.
struct key_withdrawn {
  static constexpr std::string_view name = "key_withdrawn";
  template <class Archive>
  void serialize(Archive&) {}
};

/// Send the statement under this id.
struct send_attempt {
  static constexpr std::string_view name = "send_attempt";

  std::uint64_t id = 0;
  database_id database;  ///< Empty inside a transaction.
  std::uint32_t owner_index =
      0;                  ///< 0 is the database's first owner, 1 the next.
  duration time_left{0};  ///< For the statement.
  bool counts_as_retry = false;  ///< Takes one from the retry budget.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(database),
            cereal::make_nvp("choice", owner_index), CEREAL_NVP(time_left),
            CEREAL_NVP(counts_as_retry));
  }
};

/// Tell the pool that the answer is not wanted. It drops what has not begun,
/// and rolls back a transaction that the statement began.
struct cancel_attempt {
  static constexpr std::string_view name = "cancel_attempt";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// The caller's one final answer.
struct answer_caller {
  static constexpr std::string_view name = "answer_caller";

  outcome_code outcome = outcome_code::done;
  reason_code reason = reason_code::none;
  log_position position;
  duration retry_after{0};
  bool relay = false;  ///< With the text of the answer that just arrived.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cereal::make_nvp("how", outcome), cereal::make_nvp("why", reason),
            CEREAL_NVP(position), CEREAL_NVP(retry_after), CEREAL_NVP(relay));
  }
};

/// Step `attempt_timer` at this time; it replaces the one before.
struct wake_at {
  static constexpr std::string_view name = "wake_at";

  instant at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(at));
  }
};

/// The transaction is over for the entry: have its pool roll it back.
struct abandon_transaction {
  static constexpr std::string_view name = "abandon_transaction";

  std::uint64_t transaction = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(transaction));
  }
};

/// What an entry does with one request until its final answer. One attempt is
/// out at a time. A write without an idempotency key is sent again only when
/// the attempt before it is certain not to have run.
class request_attempts {
 public:
  struct settings {
    /// How long a read may wait for a replica that is nearly fresh enough.
    duration max_replica_wait = std::chrono::milliseconds(15);
    duration retry_delay = std::chrono::milliseconds(5);
    /// A pool's refusal arrives before the caller's deadline.
    duration answer_margin = std::chrono::milliseconds(4);
    /// How long a request whose key is withdrawn may wait for the truth.
    duration withdrawal_wait = std::chrono::seconds(1);
    /// Come back after this if nothing better is known.
    duration default_retry_after = std::chrono::milliseconds(200);
    std::uint32_t move_limit = 6;
    std::uint32_t retry_limit = 2;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(cereal::make_nvp("short_wait", max_replica_wait),
              CEREAL_NVP(retry_delay), CEREAL_NVP(answer_margin),
              CEREAL_NVP(withdrawal_wait),
              cereal::make_nvp("retry_after", default_retry_after),
              CEREAL_NVP(move_limit), CEREAL_NVP(retry_limit));
    }
  };

  using event =
      std::variant<request_started, candidates_changed, attempt_answered,
                   attempt_lost, attempt_timer, caller_gone, key_withdrawn>;
  using action = std::variant<send_attempt, cancel_attempt, answer_caller,
                              wake_at, abandon_transaction>;
  using actions = boost::container::small_vector<action, 2>;

  explicit request_attempts(const settings& values) : settings_(values) {}

  actions step(instant now, const event& new_event);

  /// True once the caller was answered or is gone.
  bool finished() const { return state_ == state::finished; }

 private:
  enum class state : std::uint8_t { idle, waiting, sent, finished };
  enum class trial_state : std::uint8_t { untried, lost, tried };

  struct candidate_state {
    candidate target;
    trial_state trial = trial_state::untried;
    std::uint32_t owner_index = 0;  ///< Which of the database's pools is next.
  };

  void handle(const request_started& e);
  void handle(const candidates_changed& e);
  void handle(const attempt_answered& e);
  void handle(const attempt_lost& e);
  void handle(const attempt_timer&);
  void handle(const caller_gone&);
  void handle(const key_withdrawn&);

  void handle_done(const attempt_answered& e);
  bool is_fresh(const attempt_answered& e) const;
  void handle_behind();
  void handle_not_run(const attempt_answered& e);
  void handle_unknown(const attempt_answered& e);
  void handle_lost_in_transaction(bool sent);
  void handle_deadline();

  void route();
  void route_read();
  void route_to_primary();
  bool check_primary();
  bool wait_for_replica();
  candidate_state* best_replica(duration max_wait);
  candidate_state* find_primary();
  candidate_state* find_lost_candidate();
  candidate_state* find_current_candidate();
  void set_candidates(const std::vector<candidate>& candidates);

  void send(candidate_state& target);
  void send_in_transaction();
  void push_send(const database_id& database, std::uint32_t owner_index);
  void try_other_owner(reason_code reason, duration retry_after);
  void retry(bool allowed);
  void wait_until(instant at);
  void finish(outcome_code outcome, reason_code reason, duration retry_after);
  void relay(const attempt_answered& e);
  void abandon();

  bool is_read() const { return access_ == access_class::read; }
  bool in_transaction() const { return transaction_ != 0; }
  bool opens_transaction() const {
    return access_ == access_class::transaction && !in_transaction();
  }

  settings settings_;
  state state_ = state::idle;
  access_class access_ = access_class::read;
  statement_step step_ = statement_step::single;
  bool has_idempotency_key_ = false;
  bool writes_open_ = true;
  bool may_have_run_ = false;
  bool replica_was_behind_ = false;
  bool has_waited_for_replica_ = false;
  bool backing_off_ = false;
  bool key_withdrawn_ = false;
  bool next_is_retry_ = false;
  std::uint32_t moves_ = 0;
  std::uint32_t retries_ = 0;
  std::uint64_t transaction_ = 0;
  std::uint64_t attempt_id_ = 0;  ///< The latest attempt's.
  log_position required_;
  duration writes_retry_after_{0};  ///< While writes are closed.
  reason_code last_reason_ = reason_code::no_upstream;
  duration last_retry_after_{0};
  instant now_;
  instant
      waits_estimated_at_;  ///< When the waits of the choices were estimated.
  instant deadline_;
  instant wake_time_;
  boost::container::small_vector<candidate_state, 3> candidates_;
  database_id current_database_;
  actions actions_;
};

}  // namespace toucanmux
