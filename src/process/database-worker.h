#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "connection/upstream-connection.h"
#include "process/group-state.h"
#include "toucanmux/process/fair-queue.h"
#include "toucanmux/request/statement.h"
#include "toucanmux/version/topology.h"

namespace toucanmux {

/// The link that a statement came on, unique among all traffic threads of a
/// pool.
struct link_origin {
  std::size_t thread = 0;
  std::uint64_t link = 0;

  bool operator==(const link_origin&) const = default;
};

/// Called with the one answer to a statement.
using answer_function = std::function<void(const link_origin&, answer&&)>;

/// Runs the statements of one database that the pool owns: holds its queue,
/// slots, connections and open transactions. Lives on one traffic thread.
class database_worker {
 public:
  struct limits {
    int connections = 12;  ///< Maximum number of connections.
    int queue = 1000;      ///< Maximum number of waiting statements.
    /// A transaction that is idle for longer is rolled back.
    duration transaction_idle_timeout{0};
  };

  database_worker(const database& target, const limits& bounds,
                  answer_function reply);
  ~database_worker();
  Q_DISABLE_COPY_MOVE(database_worker)

  /// Queues or runs a statement; it is answered once unless it is cancelled.
  void submit(statement&& request, const link_origin& from);
  /// Drops a waiting statement; the transaction of a running one is rolled
  /// back.
  void cancel(std::uint64_t id, const link_origin& from);
  /// Drops the statements and rolls back the transactions of a closed link.
  void handle_link_closed(const link_origin& from);
  /// Applies a newer state of the group; closes idle connections if the term or
  /// the database's address changed.
  void update(const database& target, const group_state& state);
  /// Refuses new work; running statements and open transactions continue.
  void drain();
  /// True if no statement waits and no slot is in use.
  bool idle() const;

 private:
  struct job;
  struct connection_slot;

  void queue_job(std::unique_ptr<job> new_job);
  void run_in_transaction(std::unique_ptr<job> new_job);
  void step(const fair_queue::event& event);
  void execute(const grant_slot& action);
  void execute(const refuse_slot& action);
  void execute(const end_transaction& action);
  void execute(const queue_wake& action);
  void release_slot(connection_slot& slot);
  void update_slot_count();
  connection_slot* idle_connection();
  void open_connection();
  void handle_open_result(connection_slot& slot, const open_result& result);
  void handle_connection_lost(connection_slot& slot);
  void run(connection_slot& slot, std::unique_ptr<job> new_job);
  void handle_answer(connection_slot& slot, answer&& reply);
  void update_transaction(connection_slot& slot, const job& finished,
                          answer& reply);
  void refuse(const job& refused, reason_code cause, duration retry_after);
  void roll_back(connection_slot& slot);
  void remove_connection(connection_slot& slot);
  void tick();
  bool on_replica() const;
  bool lacks_primary(const statement& request) const;
  template <class Predicate>
  void drop_waiting(Predicate matches);

  database target_;
  limits bounds_;
  answer_function reply_;
  group_state state_;
  std::string trace_id_;
  fair_queue queue_;
  std::unordered_map<std::uint64_t, std::unique_ptr<job>> waiting_;
  std::vector<std::unique_ptr<connection_slot>> connections_;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t last_transaction_ = 0;
  /// Slot count that the queue was last given.
  std::uint32_t announced_slots_ = 0;
  int opening_connections_ = 0;
  bool draining_ = false;
  instant reopen_at_{};
  QTimer timer_;
  QTimer wake_timer_;
};

}  // namespace toucanmux
