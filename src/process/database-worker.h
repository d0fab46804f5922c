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

/// Which link a statement came on, over all traffic threads of a pool.
struct link_origin {
  std::size_t thread = 0;
  std::uint64_t link = 0;

  bool operator==(const link_origin&) const = default;
};

/// Takes the one answer to a statement.
using answer_function = std::function<void(const link_origin&, answer&&)>;

/// What a pool does for one database that it owns: the queue, the slots, the
/// connections and the open transactions. Lives on one traffic thread.
class database_worker {
 public:
  struct limits {
    int connections = 12;
    int queue = 1000;
    duration transaction_idle_timeout{0};
  };

  database_worker(const database& target, const limits& bounds,
                  answer_function reply);
  ~database_worker();
  Q_DISABLE_COPY_MOVE(database_worker)

  /// Takes a statement; it is answered once, unless it is cancelled.
  void submit(statement&& what, const link_origin& from);
  /// Drops what waits; a transaction that runs a statement is rolled back.
  void cancel(std::uint64_t id, const link_origin& from);
  /// Rolls back and forgets all that came on a link.
  void handle_link_closed(const link_origin& from);
  /// A newer state of the group; connections of an older term are dropped.
  void update(const database& target, const group_state& state);
  /// Refuses new work; what runs goes on.
  void drain();
  bool idle() const;

 private:
  struct job;
  struct connection_slot;

  void queue_job(std::unique_ptr<job> made);
  void run_in_transaction(std::unique_ptr<job> made);
  void step(const fair_queue::event& event);
  void carry_out(const grant_slot& action);
  void carry_out(const refuse_slot& action);
  void carry_out(const end_transaction& action);
  void carry_out(const queue_wake& action);
  void release_slot(connection_slot& slot);
  void update_slot_count();
  connection_slot* idle_connection();
  void open_connection();
  void handle_open_result(connection_slot& slot, const open_result& result);
  void handle_connection_lost(connection_slot& slot);
  void run(connection_slot& slot, std::unique_ptr<job> made);
  void handle_answer(connection_slot& slot, answer&& got);
  void update_transaction(connection_slot& slot, const job& done, answer& got);
  void refuse(const job& one, reason why, duration retry_after);
  void roll_back(connection_slot& slot);
  void remove_connection(connection_slot& slot);
  void tick();
  bool on_replica() const;
  bool lacks_primary(const statement& what) const;
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
  std::uint32_t announced_slots_ = 0;  ///< What the queue was last told.
  int opening_connections_ = 0;
  bool draining_ = false;
  instant reopen_at_{};
  QTimer timer_;
  QTimer wake_timer_;
};

}  // namespace toucanmux
