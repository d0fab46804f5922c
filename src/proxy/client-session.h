#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "proxy/deferred-answer.h"
#include "proxy/link-request.h"
#include "proxy/proxy-state.h"
#include "proxy/statement.h"
#include "proxy/tcp-stream.h"
#include "proxy/upstream-link.h"
#include "toucanmux/proxy/domain/allowed-regions.h"

namespace toucanmux {

class client_session;

/// Owns client sessions; is notified when one and its connection have ended.
class session_owner {
 public:
  virtual ~session_owner() = default;
  virtual void on_session_ended(client_session& session) = 0;
};

/// One caller's connection. The session uses an upstream connection only while
/// a statement runs or a transaction is open.
class client_session final
    : public stream_owner,
      public link_user,
      public link_request,
      public boost::intrusive_ref_counter<client_session,
                                          boost::thread_unsafe_counter> {
 public:
  client_session(proxy_state& state, session_owner& owner, int descriptor);
  ~client_session() override;
  client_session(const client_session&) = delete;
  client_session(client_session&&) = delete;
  client_session& operator=(const client_session&) = delete;
  client_session& operator=(client_session&&) = delete;

  /// True if no statement was received without being answered, and no
  /// transaction is open.
  bool can_close() const {
    return !running_ && transaction_phase_ == phase::none &&
           stream_.unread().empty();
  }
  /// True until the caller's system has all answers, and until the connection
  /// of an ended session is closed.
  bool is_sending() const {
    return ended_ || !stream_.unsent().empty() || stream_.unacknowledged() > 0;
  }
  bool running() const { return running_; }
  bool in_transaction() const { return transaction_phase_ != phase::none; }
  /// Closes the session if it can be closed, unless the caller may have sent a
  /// statement right after the last answer. The caller gets an error, which
  /// answers a statement that crosses the close.
  void close_if_idle();
  /// While the instance stops: refuses a statement that waits and can't be sent
  /// any more, and ends a transaction whose next statement can't be.
  void end_unsent_work();
  /// Answers a running statement without its result, and ends the session.
  void give_up();
  /// Ends the session. Answers that are already written are still sent;
  /// `on_session_ended` follows.
  void finish();

  void on_input() override;
  void on_sent() override;
  void on_closed() override;
  void on_link(upstream_link& link) override;
  void on_refused(refusal_reason reason) override;
  void on_answer(upstream_link& link, const link_answer& answer) override;
  void on_link_lost(upstream_link& link) override;
  void on_link_silent(upstream_link& link) override;

 private:
  /// Retry delay sent to callers while the configuration is not confirmed; by
  /// then the store or a peer has usually answered again.
  static constexpr duration unconfirmed_retry_after = std::chrono::seconds(1);
  /// Sent to callers while this instance stops: others take the operation.
  static constexpr duration stop_retry_after = std::chrono::milliseconds(10);

  enum class phase : std::uint8_t {
    none,
    open,    ///< The upstream transaction begins with the first statement.
    broken,  ///< The upstream connection was lost; no error was sent yet.
    failed   ///< The caller got an error and has to end the transaction.
  };

  /// The statement that is being executed.
  struct running_statement {
    std::string id;
    statement_verb verb = statement_verb::unknown;
    std::string text;
    std::optional<prepared_statement> prepared;  ///< For `execute`.
    std::string arguments;
    bool writes = false;
    /// True outside of a transaction and until a statement of the transaction
    /// has succeeded.
    bool first_in_transaction = false;
    instant arrived_at;
    instant deadline;
    unsigned attempts = 0;
    bool sent = false;  ///< To an upstream, by the current attempt.
    /// The timer ends this attempt before the deadline; a retry may follow.
    bool early_timeout = false;
    std::string text_after_begin;  ///< Sent after a successful begin.
    std::optional<deferred_answer> deferred;  ///< Not confirmed yet.
  };

  struct refusal {
    wire::failure_kind kind;
    refusal_reason reason;
    duration retry_after{0};
  };

  bool may_answer() const;
  void handle_lines();
  void handle_line(std::string_view line);
  void handle_open(const wire::open_session& request);
  void handle_statement(const session_statement& statement);
  void handle_begin(const session_statement& statement);
  void handle_rollback();
  void handle_commit(const session_statement& statement);
  void handle_set_value(const session_statement& statement);
  void handle_prepare(const session_statement& statement);
  void handle_close_prepared(const session_statement& statement);
  void handle_query(const session_statement& statement);

  std::optional<refusal> check_open() const;
  std::optional<refusal> begin_operation();
  std::optional<refusal> check_key(const route& current_route);
  bool key_is_valid();
  void limit_regions(const team_plan* plan);
  void refuse_unservable(const upstream_group& group);
  void spend_token();
  void return_token();
  void start_statement(const session_statement& statement);
  void try_upstream();
  duration statement_timeout() const;
  bool may_try_again() const;
  bool deadline_reached() const;
  void send(upstream_link& link);
  void send_with_begin(upstream_link& link, std::string_view text);
  void handle_begin_answer(upstream_link& link, const link_answer& answer);
  std::optional<log_position> required_position();
  bool reads_only() const;
  bool needs_leader() const;

  bool commits_data() const;
  bool leads(const upstream_link& link) const;
  void defer_answer(const upstream_link& link, const link_answer& answer);
  void check_deferred();
  void complete_statement(const link_answer& answer);
  void handle_error(upstream_link& link, wire::failure_kind kind);
  void handle_execution_error(upstream_link& link, wire::failure_kind kind);
  void record_lost_link(const upstream_link& link);
  void retry_or_refuse(refusal_reason reason);
  void fail_statement(wire::failure_kind kind, refusal_reason reason,
                      duration retry_after = duration{0});
  void end_statement();
  void release_link();
  void on_timer();
  void on_deadline();
  void fail_unanswered(refusal_reason reason);
  bool may_send() const;
  void refuse_for_stop();
  void finish_for_stop();
  void finish_when_delivered();
  bool may_rerun() const;
  void retry_elsewhere(upstream_link& link, std::string_view reason);
  bool may_retry_read() const;
  bool refusals_increase() const;
  void retry_refused_read();
  void wait_for_link(upstream_group& group);
  void refuse_statement(refusal_reason reason);
  duration retry_after(refusal_reason reason);
  void break_transaction(std::string_view reason);

  void reply_done();
  void reply_failure(const refusal& refused);
  void reply_ready(const std::optional<log_position>& position);
  wire::transaction_state reported_state() const;
  void log_attempt(std::string_view reason);
  void log_refusal(std::string_view id, const refusal& refused);

  proxy_state& state_;
  session_owner& owner_;
  tcp_stream stream_;
  timer timer_;
  bool opened_ = false;
  bool ended_ = false;
  bool handling_input_ = false;
  bool waits_for_caller_ = false;  ///< To take answers; statements wait, too.
  bool refused_for_stop_ = false;  ///< An operation; the session ends.
  instant answered_at_;
  std::string database_;
  std::string key_;
  session_values values_;
  std::map<group_id, log_position> own_commits_;

  // The current operation: a transaction or a single statement. Its route stays
  // the same until the operation ends.
  route route_;
  team_id operation_team_;
  allowed_regions regions_;
  bool key_required_ = false;
  bool token_reserved_ = false;  ///< In the team's bucket; not spent yet.
  phase transaction_phase_ = phase::none;
  bool transaction_read_only_ = false;  ///< Begun as read-only.
  bool transaction_wrote_ = false;      ///< One of its writes succeeded.
  bool transaction_started_ = false;    ///< One of its statements succeeded.
  std::string last_statement_id_;       ///< For the log.

  bool running_ = false;
  running_statement statement_;
  link_ptr link_;
};

using session_ptr = boost::intrusive_ptr<client_session>;

}  // namespace toucanmux
