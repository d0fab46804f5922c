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

/// Takes the answers of the statements that it sent over a link.
class link_user {
 public:
  virtual ~link_user() = default;
  virtual void on_answer(upstream_link& link, const link_answer& answer) = 0;
  /// The link broke; what has no answer yet will get none.
  virtual void on_link_lost(upstream_link& link) = 0;
  /// The database answers nobody; nothing is known of what was sent.
  virtual void on_link_silent(upstream_link& link) = 0;
};

/// Looks after a link's life.
class link_owner {
 public:
  virtual ~link_owner() = default;
  virtual void on_link_ready(upstream_link& link) = 0;
  /// All answers have come and nobody uses the link.
  virtual void on_link_idle(upstream_link& link) = 0;
  virtual void on_link_ended(upstream_link& link) = 0;
  /// Any answer, before its user gets it.
  virtual void on_link_answer(upstream_link& link,
                              const link_answer& answer) = 0;
};

/// A connection to one database for one team. Statements are written in a row
/// and answered in their order.
class upstream_link final
    : public stream_owner,
      public boost::intrusive_ref_counter<upstream_link,
                                          boost::thread_unsafe_counter> {
 public:
  enum class state : std::uint8_t { connecting, open, retiring, ended };

  upstream_link(event_loop& loop, link_owner& keeper, std::size_t upstream,
                const team_id& team)
      : loop_(loop),
        owner_(keeper),
        upstream_(upstream),
        team_(team),
        stream_(loop, *this),
        timeout_timer_([this] { on_timeout(); }) {}

  /// @return false if no connection could be tried.
  bool connect(const upstream_entry& to, duration limit);

  std::size_t upstream() const { return upstream_; }
  const team_id& team() const { return team_; }
  state current_state() const { return state_; }
  bool idle() const {
    return state_ == state::open && !user_ && expected_answers_.empty();
  }
  /// When the link was last given back.
  instant idle_since() const { return idle_since_; }
  instant opened_at() const { return opened_at_; }
  /// Since when the first answer that has not come is due.
  std::optional<instant> oldest_unanswered_at() const;
  const session_values& values() const { return values_; }
  /// Why a connection attempt was refused, if it was.
  std::optional<wire::failure_kind> refusal() const { return refusal_; }

  /// Who gets the answers from now on; null leaves the rest unread.
  void set_user(link_user* user) { user_ = user; }
  link_user* user() const { return user_; }
  /// Ends the use; the keeper hears when the last answer has come.
  void release();

  /// Brings the connection's values to those of a session.
  void send_values(const session_values& session);
  /// The name under which a shape is prepared here, prepared first if needed.
  std::string prepared_name(const prepared_statement& shape);
  void forget_prepared() { prepared_.clear(); }
  void send_begin(bool read_only, const std::optional<log_position>& after);
  void send_statement(std::string_view id,
                      const std::optional<log_position>& after,
                      std::string_view text);
  void send_rollback();
  /// Proves the lead and the position without taking a slot.
  void send_probe();
  /// A question about the database itself.
  void send_control_request(link_purpose step, std::uint64_t term);

  /// Asks the database to close; `on_link_ended` follows.
  void retire(duration limit);
  /// Closes now; `on_link_ended` follows, the user hears `on_link_lost`.
  void abort();

  void on_open() override;
  void on_input() override;
  void on_closed() override;

 private:
  struct expected_answer {
    link_purpose purpose;
    instant sent_at;
  };

  void expect_answer(link_purpose step);
  void handle_line(std::string_view line);
  void handle_ready(const wire::ready& what);
  void finish_connect(const wire::ready& what);
  void complete_answer(const wire::ready& what);
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
  bool delivering_answer_ = false;
  wire::transaction_state transaction_state_ = wire::transaction_state::idle;
  instant idle_since_;
  instant opened_at_;
  std::deque<expected_answer> expected_answers_;
  session_values values_;
  std::map<prepared_statement, std::string> prepared_;
  unsigned prepared_count_ = 0;
  // The answer that is coming in.
  std::string rows_;
  bool done_ = false;
  std::optional<wire::failure_kind> error_;
  std::string last_line_;
  std::optional<wire::failure_kind> refusal_;
  std::string connect_line_;
};

using link_ptr = boost::intrusive_ptr<upstream_link>;

}  // namespace toucanmux
