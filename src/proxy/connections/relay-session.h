#pragma once

#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <optional>
#include <string>

#include "proxy/link-request.h"
#include "proxy/tcp-stream.h"
#include "proxy/upstream-link.h"

namespace toucanmux {

class relay_server;
class upstream_group;
struct proxy_state;

/// A connection over which another instance relays statements of one team to
/// one database. It uses a connection to the database from the first statement
/// until the transaction has ended and nothing is outstanding.
class relay_session final
    : public stream_owner,
      public link_user,
      public link_request,
      public boost::intrusive_ref_counter<relay_session,
                                          boost::thread_unsafe_counter> {
 public:
  relay_session(proxy_state& state, relay_server& server, int descriptor);

  /// True while a statement waits or runs, a transaction is open, an answer is
  /// being sent, or the session has ended and its connection has not.
  bool in_use() const {
    return link_ || is_linked() || ended_ || !stream_.unsent().empty();
  }
  instant used_at() const { return used_at_; }
  /// Ends the session. A statement that runs or a transaction that is open ends
  /// with its connection to the database.
  void finish();

  void on_input() override;
  void on_closed() override;
  void on_link(upstream_link& link) override;
  void on_refused(refusal_reason reason) override;
  void on_answer(upstream_link& link, const link_answer& answer) override;
  void on_link_lost(upstream_link& link) override;
  void on_link_silent(upstream_link&) override {}

 private:
  struct refusal {
    wire::failure_kind kind;
    std::string_view reason;
  };

  bool handle_line(std::string_view line);
  bool open(const wire::open_relay& request);
  bool handle_statement(const wire::relayed_statement& relayed);
  void apply_values(const wire::relayed_statement& relayed);
  bool acquire(duration time_left);
  std::optional<refusal> check_use();
  bool may_send() const;
  void refuse_for_stop();
  void use(upstream_link& link);
  void forward(const wire::relayed_statement& relayed);
  bool forward_prepared(const wire::relayed_statement& relayed);
  void reply_done();
  void refuse(const refusal& reason);
  void release_if_unused();
  void schedule_input();
  void on_timer();

  proxy_state& state_;
  relay_server& server_;
  tcp_stream stream_;
  timer timer_;
  bool opened_ = false;
  bool ended_ = false;
  bool handling_input_ = false;
  bool wait_expired_ = false;
  group_id group_;
  database_id database_;
  session_values values_;
  instant used_at_;
  link_ptr link_;
  std::size_t outstanding_ = 0;  ///< Statements sent without an answer.
  /// By the last answer; idle without a connection to the database.
  wire::transaction_state transaction_ = wire::transaction_state::idle;
};

using relay_session_ptr = boost::intrusive_ptr<relay_session>;

}  // namespace toucanmux
