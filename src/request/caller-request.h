#pragma once

#include <QTimer>
#include <boost/intrusive/list.hpp>
#include <string>

#include "process/admission.h"
#include "process/control-bus.h"
#include "request/caller-call.h"
#include "toucanmux/request/request-attempts.h"
#include "toucanmux/request/session-token.h"
#include "toucanmux/version/lists.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

class entry_thread;
class http_connection;
struct open_transaction;

/// Handles one caller's request from its arrival to its single response.
/// Deletes itself once it has responded or the caller has disconnected.
class caller_request
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  caller_request(entry_thread& thread, http_connection& caller,
                 caller_call&& call);
  ~caller_request();
  Q_DISABLE_COPY_MOVE(caller_request)

  void start();
  /// The caller closed its connection. Deletes the request.
  void handle_caller_disconnect();
  /// Ends the request if its key was withdrawn or moved to another team.
  void check_key();
  /// Handles new hints of a group, which may end a wait for its databases.
  void hints_changed(const group_id& group);
  const http_connection* caller() const { return caller_; }

 private:
  void find_team();
  void find_group();
  void find_transaction();
  void handle_admission(const admission& result);
  void start_attempts();
  freshness required_freshness() const;
  void step(const request_attempts::event& event, answer* received = nullptr);
  void execute(const send_attempt& action);
  void execute(const cancel_attempt&);
  void execute(const answer_caller& action, answer* received);
  void execute(const wake_at& action);
  void execute(const abandon_transaction&);
  bool find_pool(const send_attempt& action);
  void handle_answer(std::uint64_t attempt, answer&& received);
  void handle_lost_attempt(std::uint64_t attempt, bool sent);
  void handle_timeout();
  void refuse(reason_code reason, std::string message = {},
              duration retry_after = duration::zero());
  void finish(call_reply&& reply);
  void update_transaction(const answer& received, call_reply& reply);
  void end_transaction();

  entry_thread& thread_;
  http_connection* caller_;
  caller_call call_;
  std::string key_hash_;
  session_token session_;
  statement statement_;
  endpoint pool_;
  request_attempts attempts_{request_attempts::settings()};
  std::string trace_id_;       ///< Empty until the attempts have started.
  std::uint64_t sent_id_ = 0;  ///< Id of the statement in flight, or 0.
  bool finished_ = false;
  // The admission's callback may be called after the request was deleted.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  instant deadline_;
  QTimer timer_;
};

}  // namespace toucanmux
