#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "proxy/link-answer.h"
#include "proxy/tcp-stream.h"
#include "toucanmux/core.h"
#include "toucanmux/proxy/session-values.h"
#include "toucanmux/proxy/upstream-entry.h"

namespace toucanmux {

class upstream_link;

/// Sends statements over a link and receives their answers.
class link_user {
 public:
  virtual ~link_user() = default;
  virtual void on_answer(upstream_link& link, const link_answer& answer) = 0;
  /// The link was closed; the answers still expected never arrive.
  virtual void on_link_lost(upstream_link& link) = 0;
  /// The database answers on no connection; the outcome of the statements
  /// without an answer is unknown. The link stays open.
  virtual void on_link_silent(upstream_link& link) = 0;
};

/// Owns links; is notified of their state changes and answers.
class link_owner {
 public:
  virtual ~link_owner() = default;
  /// The connection is open.
  virtual void on_link_ready(upstream_link& link) = 0;
  /// All answers were received and the link has no user.
  virtual void on_link_idle(upstream_link& link) = 0;
  /// The connection failed or was closed.
  virtual void on_link_ended(upstream_link& link) = 0;
  /// Called for each answer before the link's user gets it.
  virtual void on_link_answer(upstream_link& link,
                              const link_answer& answer) = 0;
};

/// A connection to one database for one team. Statements are pipelined: they
/// are sent without waiting for answers, which arrive in the order of sending.
class upstream_link final
    : public stream_owner,
      public boost::intrusive_ref_counter<upstream_link,
                                          boost::thread_unsafe_counter> {
 public:
  enum class state : std::uint8_t { connecting, open, retiring, ended };

  upstream_link(event_loop& loop, link_owner& owner, std::size_t upstream,
                const team_id& team)
      : loop_(loop),
        owner_(owner),
        upstream_(upstream),
        team_(team),
        stream_(loop, *this),
        timeout_timer_([this] { on_timeout(); }) {}

  /// Starts to connect; aborts if that takes longer than `timeout`.
  /// @return false if the attempt could not be started.
  bool connect(const upstream_entry& entry, duration timeout);
  /// Starts to connect to an instance that relays statements to the database.
  bool connect_relay(const upstream_entry& entry, const inet_address& relay,
                     unsigned priority, duration timeout);

  /// True if another instance relays the statements to the database.
  bool relayed() const { return relayed_; }
  std::size_t upstream() const { return upstream_; }
  const team_id& team() const { return team_; }
  state current_state() const { return state_; }
  bool idle() const {
    return state_ == state::open && !user_ && expected_answers_.empty();
  }
  /// When the last user released the link.
  instant idle_since() const { return idle_since_; }
  instant opened_at() const { return opened_at_; }
  /// When the link began to connect.
  instant created_at() const { return created_at_; }
  /// When the oldest statement without an answer was sent, if there is one.
  std::optional<instant> oldest_unanswered_at() const;
  const session_values& values() const { return values_; }
  /// True if this instance closed the connection by `abort`.
  bool aborted() const { return aborted_; }
  /// True if the connection ended after an error that completes no answer: an
  /// instance that relays statements has lost its connection to the database.
  bool ended_with_error() const {
    return state_ == state::ended && error_.has_value();
  }
  /// Why the database refused the connection, if it did.
  std::optional<wire::failure_kind> refusal() const { return refusal_; }

  /// Sets the receiver of all further answers; null discards them.
  void set_user(link_user* user) { user_ = user; }
  link_user* user() const { return user_; }
  /// Sets the deadline of the statements that are sent from now on. An instance
  /// that relays them refuses those that it can't have answered by then.
  void set_deadline(instant deadline) { deadline_ = deadline; }
  /// Whether the user's statements require the leader.
  void set_leader_only(bool leader_only) { leader_only_ = leader_only; }
  bool for_leader_only() const { return leader_only_; }
  /// Ends the use of the link. `on_link_idle` follows after the last answer.
  void release();

  /// Sends the changes that give the connection the session's values.
  void send_values(const session_values& session);
  /// Returns the statement's name on this connection; prepares it if needed.
  std::string prepared_name(const prepared_statement& statement);
  void forget_prepared() { prepared_.clear(); }
  /// @param after the position that the database's log must have reached.
  void send_begin(bool read_only, const std::optional<log_position>& after);
  /// @param after as for `send_begin`.
  void send_statement(std::string_view id,
                      const std::optional<log_position>& after,
                      std::string_view text);
  void send_rollback();
  /// Checks leadership and position by an empty transaction, which uses none of
  /// the database's slots.
  void send_probe();
  /// Sends a control request to the database.
  /// @param purpose one of `ask_status`, `fence` and `step_down`.
  void send_control_request(link_purpose purpose, std::uint64_t term);

  /// Asks the database to close the connection and aborts it after `timeout`;
  /// `on_link_ended` follows.
  void retire(duration timeout);
  /// Closes the connection at once. Calls `on_link_ended`, then `on_link_lost`
  /// of the user.
  void abort();

  void on_open() override;
  void on_input() override;
  void on_closed() override;

 private:
  struct expected_answer {
    link_purpose purpose;
    instant sent_at;
  };

  void expect_answer(link_purpose purpose);
  std::optional<duration> time_left() const;
  void handle_line(std::string_view line);
  void handle_ready(const wire::ready& ready);
  void finish_connect(const wire::ready& ready);
  void complete_answer(const wire::ready& ready);
  void notify_if_idle();
  void end();
  void on_timeout();

  event_loop& loop_;
  link_owner& owner_;
  std::size_t upstream_;
  team_id team_;
  tcp_stream stream_;
  timer timeout_timer_;
  state state_ = state::connecting;
  link_user* user_ = nullptr;
  bool leader_only_ = false;
  bool relayed_ = false;
  bool aborted_ = false;
  bool delivering_answer_ = false;
  wire::transaction_state transaction_state_ = wire::transaction_state::idle;
  instant idle_since_;
  instant opened_at_;
  instant created_at_;
  instant deadline_;
  std::deque<expected_answer> expected_answers_;
  session_values values_;
  std::map<prepared_statement, std::string> prepared_;
  unsigned prepared_count_ = 0;
  // The answer that is being received.
  std::string rows_;
  bool done_ = false;
  std::optional<wire::failure_kind> error_;
  std::string last_line_;
  std::optional<wire::failure_kind> refusal_;
  std::string connect_line_;
};

using link_ptr = boost::intrusive_ptr<upstream_link>;

}  // namespace toucanmux
