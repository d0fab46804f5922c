#pragma once

#include <boost/container/small_vector.hpp>
#include <variant>
#include <vector>

#include "toucanmux/request/candidates.h"
#include "toucanmux/request/statement.h"

namespace toucanmux {

/// A caller's request starts.
struct request_started {
  static constexpr std::string_view name = "request_started";

  std::uint64_t request = 0;  ///< Unique within the entry; at most 56 bits.
  access_class access = access_class::read;
  statement_step step = statement_step::single;
  std::uint64_t transaction = 0;  ///< The pool's id; 0 if in no transaction.
  log_position required;          ///< The position a read's answer must cover.
  bool has_idempotency_key = false;
  duration time_left{0};  ///< Until the caller's deadline.
  std::vector<candidate> candidates;
  bool writes_open = true;  ///< Whether the primary accepts writes.
  duration retry_after{0};  ///< For writes that are refused meanwhile.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(request), CEREAL_NVP(access), CEREAL_NVP(step),
            CEREAL_NVP(transaction), CEREAL_NVP(required),
            CEREAL_NVP(has_idempotency_key), CEREAL_NVP(time_left),
            CEREAL_NVP(candidates), CEREAL_NVP(writes_open),
            CEREAL_NVP(retry_after));
  }
};

/// The group's hints changed; the fields are as in `request_started`.
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

/// A pool's answer arrived, without its result or message: the caller of `step`
/// keeps these.
struct attempt_answered {
  static constexpr std::string_view name = "attempt_answered";

  std::uint64_t id = 0;
  outcome_code outcome = outcome_code::done;
  reason_code reason = reason_code::none;
  log_position position;
  bool from_replica = false;
  duration retry_after{0};
  bool may_retry = true;  ///< The team's retry budget allows a retry.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), cereal::make_nvp("how", outcome),
            cereal::make_nvp("why", reason), CEREAL_NVP(position),
            CEREAL_NVP(from_replica), CEREAL_NVP(retry_after),
            CEREAL_NVP(may_retry));
  }
};

/// The link to the pool was lost, or there is no pool to send to.
struct attempt_lost {
  static constexpr std::string_view name = "attempt_lost";

  std::uint64_t id = 0;
  bool sent = true;       ///< False only if no byte of the statement was sent.
  bool may_retry = true;  ///< The team's retry budget allows a retry.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(sent), CEREAL_NVP(may_retry));
  }
};

/// The time of the latest `wake_at` has been reached.
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

/// The API key of the request was withdrawn.
struct key_withdrawn {
  static constexpr std::string_view name = "key_withdrawn";
  template <class Archive>
  void serialize(Archive&) {}
};

/// Sends the statement as the attempt with this id.
struct send_attempt {
  static constexpr std::string_view name = "send_attempt";

  std::uint64_t id = 0;
  database_id database;  ///< Empty inside a transaction.
  /// 0: the database's owner; 1: the next owner.
  std::uint32_t owner_index = 0;
  duration time_left{0};         ///< For the statement, less the answer margin.
  bool counts_as_retry = false;  ///< Uses one retry of the team's budget.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(database),
            cereal::make_nvp("choice", owner_index), CEREAL_NVP(time_left),
            CEREAL_NVP(counts_as_retry));
  }
};

/// Tells the pool that the answer is no longer needed. The pool drops a
/// statement that has not started and rolls back a transaction that the
/// statement opened.
struct cancel_attempt {
  static constexpr std::string_view name = "cancel_attempt";

  std::uint64_t id = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id));
  }
};

/// Sends the final answer to the caller, at most once per request.
struct answer_caller {
  static constexpr std::string_view name = "answer_caller";

  outcome_code outcome = outcome_code::done;
  reason_code reason = reason_code::none;
  log_position position;
  duration retry_after{0};
  bool relay = false;  ///< Include the result or error of the latest answer.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cereal::make_nvp("how", outcome), cereal::make_nvp("why", reason),
            CEREAL_NVP(position), CEREAL_NVP(retry_after), CEREAL_NVP(relay));
  }
};

/// Sets the timer: `attempt_timer` is due at this time. Replaces an earlier
/// `wake_at`.
struct wake_at {
  static constexpr std::string_view name = "wake_at";

  instant at;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(at));
  }
};

/// Abandons the caller's transaction; the pool rolls it back.
struct abandon_transaction {
  static constexpr std::string_view name = "abandon_transaction";

  std::uint64_t transaction = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(transaction));
  }
};

/// Routes and retries one request of an entry until its final answer. At most
/// one attempt is in flight. A write without an idempotency key is sent again
/// only if the previous attempt is certain not to have run.
class request_attempts {
 public:
  struct settings {
    /// Maximum time that a read waits for a replica to become fresh enough.
    duration max_replica_wait = std::chrono::milliseconds(15);
    /// Base of the exponential backoff between attempts.
    duration retry_delay = std::chrono::milliseconds(5);
    /// Taken off the time left, so that a pool's refusal arrives before the
    /// caller's deadline.
    duration answer_margin = std::chrono::milliseconds(4);
    /// Maximum wait for the outcome of an attempt in flight after the key was
    /// withdrawn.
    duration withdrawal_wait = std::chrono::seconds(1);
    /// The retry delay that callers get unless a pool gave a longer one.
    duration default_retry_after = std::chrono::milliseconds(200);
    /// Redirects to another owner before the request fails.
    std::uint32_t redirect_limit = 6;
    /// Retries that count against the team's retry budget.
    std::uint32_t retry_limit = 2;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(cereal::make_nvp("short_wait", max_replica_wait),
              CEREAL_NVP(retry_delay), CEREAL_NVP(answer_margin),
              CEREAL_NVP(withdrawal_wait),
              cereal::make_nvp("retry_after", default_retry_after),
              cereal::make_nvp("move_limit", redirect_limit),
              CEREAL_NVP(retry_limit));
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

  /// True once the final answer was given or the caller disconnected.
  bool finished() const { return state_ == state::finished; }

 private:
  enum class state : std::uint8_t { idle, waiting, sent, finished };
  enum class trial_state : std::uint8_t { untried, lost, tried };

  /// A candidate and what this request has tried there.
  struct candidate_state {
    candidate target;
    trial_state trial = trial_state::untried;
    std::uint32_t owner_index = 0;  ///< The owner to send the next attempt to.
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
  void handle_stale_answer();
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

  void send(candidate_state& next);
  void send_in_transaction();
  void push_send(const database_id& database, std::uint32_t owner_index);
  void redirect(reason_code reason, duration retry_after);
  void retry(bool allowed);
  void wait_until(instant at);
  void finish(outcome_code outcome, reason_code reason, duration retry_after);
  void relay(const attempt_answered& e);
  void abandon_if_in_transaction();

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
  bool answer_was_stale_ = false;
  bool has_waited_for_replica_ = false;
  bool backing_off_ = false;
  bool key_withdrawn_ = false;
  bool next_is_retry_ = false;
  std::uint32_t redirects_ = 0;
  std::uint32_t retries_ = 0;
  std::uint64_t transaction_ = 0;
  std::uint64_t attempt_id_ = 0;  ///< Of the latest attempt.
  log_position required_;
  duration writes_retry_after_{0};  ///< For writes that are refused.
  reason_code last_reason_ = reason_code::no_upstream;
  duration last_retry_after_{0};
  instant now_;
  instant waits_estimated_at_;  ///< Start of the candidates' waits.
  instant deadline_;
  instant wake_time_;
  boost::container::small_vector<candidate_state, 3> candidates_;
  database_id current_database_;
  actions actions_;
};

}  // namespace toucanmux
