#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "connection/frame-link.h"
#include "process/database-worker.h"
#include "process/process-settings.h"
#include "process/traffic-thread.h"
#include "version/fleet-view.h"

namespace toucanmux {

/// State of one traffic thread of a pool: links from entries and the workers of
/// the databases that hash to this thread. Used on that thread only.
class pool_thread {
 public:
  /// Posts work to the traffic thread with the given number.
  using post_function =
      std::function<void(std::size_t, std::function<void(pool_thread&)>)>;

  pool_thread(std::size_t number, std::size_t count,
              const pool_settings& settings, post_function post);
  ~pool_thread();
  Q_DISABLE_COPY_MOVE(pool_thread)

  /// Takes over an accepted link from an entry.
  void adopt(qintptr descriptor);
  /// Applies a newer view of the fleet.
  void update(fleet_view_ptr view);
  /// Applies a newer state of a group and sends its hint to all entries.
  void update(const group_state& state);
  /// Refuses new work; running statements and open transactions continue.
  void drain();
  /// True if no worker has a waiting or running statement or a transaction and
  /// all answers are sent. Answers to an entry that takes no byte for
  /// `default_send_timeout` don't count.
  bool idle(instant current_time);

 private:
  struct entry_link;

  void update_workers(const database_group& group);
  void handle_message(std::uint64_t link, link_message&& message);
  void cancel_statement(std::uint64_t id, const link_origin& from);
  void dispatch(statement&& request, const link_origin& from);
  void submit(statement&& request, const link_origin& from);
  void deliver(std::uint64_t link, answer&& reply);
  void handle_link_closed(std::uint64_t link);
  void run_on_thread(std::size_t number,
                     std::function<void(pool_thread&)> work);
  std::size_t thread_of(const database_id& id) const;
  database_worker* worker_for(const statement& request);

  std::size_t number_;
  std::size_t count_;
  member self_;
  database_worker::limits limits_;
  post_function post_;
  fleet_view_ptr view_;
  std::map<group_id, group_state> group_states_;
  std::map<database_id, std::unique_ptr<database_worker>> workers_;
  bool draining_ = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<entry_link>> links_;
  std::uint64_t last_link_ = 0;
};

}  // namespace toucanmux
