#pragma once

#include <boost/intrusive/list.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "connection/http-server.h"
#include "connection/pool-link.h"
#include "process/admission.h"
#include "process/process-metrics.h"
#include "process/process-settings.h"
#include "request/caller-request.h"
#include "request/token-codec.h"
#include "toucanmux/request/candidates.h"
#include "toucanmux/request/retry-budget.h"
#include "version/fleet-view.h"

namespace toucanmux {

/// An open transaction of a caller, bound to the caller's connection.
struct open_transaction {
  http_connection* caller = nullptr;
  team_id team;
  service_id service;
  group_id group;
  database_id database;
  endpoint pool;
  std::uint64_t id_at_pool = 0;  ///< The transaction's id at the pool.
  bool busy = false;             ///< A statement of it is in flight.
};

/// State of one traffic thread of an entry: the callers' connections, the links
/// to pools, the requests and the open transactions. Used on that thread only.
class entry_thread {
 public:
  entry_thread(const entry_settings& settings, admit_function admit,
               statement_metrics& metrics);
  ~entry_thread();
  Q_DISABLE_COPY_MOVE(entry_thread)

  /// Takes over an accepted connection of a caller.
  void adopt(qintptr descriptor) { server_.adopt(descriptor); }
  /// Applies a newer view; ends requests whose key is no longer in
  /// the view.
  void update(fleet_view_ptr view);
  /// Closes each caller's connection after its current request, or after its
  /// open transaction.
  void drain();
  /// Ends the open transactions that are left, after their current request.
  void end_transactions();
  /// True if no request is in flight, no response is undelivered and no caller
  /// is connected.
  bool idle() const { return requests_.empty() && server_.size() == 0; }
  std::size_t callers() const { return server_.size(); }

  /// @{ For the requests on this thread.
  const fleet_view& view() const { return *view_; }
  const token_codec& tokens() const { return tokens_; }
  const admit_function& admit() const { return admit_; }
  statement_metrics& metrics() { return metrics_; }
  /// The link to a pool, opened when first used.
  pool_link& link(const endpoint& to);
  /// The databases that can serve a request to a group now, best first.
  std::vector<candidate> candidates(const database_group& group,
                                    const freshness& wanted) const;
  /// @return the latest state of a group, or null if none is known.
  const group_hint* hint(const group_id& group) const;
  /// Records the log position that an answer carried.
  void observe(const group_id& group, const database_id& database,
               const log_position& position);
  /// Records a replica's answer to a read.
  /// @param fresh false if the replica had not yet replayed `required`.
  void observe_read(const group_id& group, const database_id& replica,
                    const log_position& required, bool fresh);
  retry_budget& budget(const team_id& team) { return budgets_[team]; }
  std::uint64_t next_request_id() { return ++last_request_id_; }
  /// @return the id under which the caller names the transaction.
  std::uint64_t add_transaction(open_transaction&& opened);
  /// @return null if the transaction is unknown or of another caller.
  open_transaction* find_transaction(std::uint64_t id,
                                     const http_connection& caller);
  void remove_transaction(std::uint64_t id);
  /// Rolls a transaction back at its pool without waiting for the answer.
  void roll_back(const open_transaction& abandoned);
  /// @}

 private:
  void handle_request(http_connection& caller, http_request&& request);
  void handle_caller_closed(http_connection& caller);
  void roll_back_all(const http_connection& caller);
  void apply_hint(const group_hint& new_hint);

  hello greeting_;
  token_codec tokens_;
  admit_function admit_;
  statement_metrics& metrics_;
  fleet_view_ptr view_;
  std::map<endpoint, std::unique_ptr<pool_link>> links_;
  std::map<group_id, known_hint> hints_;
  std::unordered_map<team_id, retry_budget> budgets_;
  std::uint64_t last_request_id_ = 0;
  std::unordered_map<std::uint64_t, open_transaction> transactions_;
  std::uint64_t last_transaction_id_ = 0;
  boost::intrusive::list<caller_request,
                         boost::intrusive::constant_time_size<false>>
      requests_;
  http_server server_;
};

}  // namespace toucanmux
