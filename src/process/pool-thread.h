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

/// What one traffic thread of a pool holds: links from entries and the
/// databases that hash to it.
class pool_thread {
 public:
  /// Runs work on the traffic thread of that number.
  using post_function =
      std::function<void(std::size_t, std::function<void(pool_thread&)>)>;

  pool_thread(std::size_t number, std::size_t count,
              const pool_settings& settings, post_function post);
  ~pool_thread();
  Q_DISABLE_COPY_MOVE(pool_thread)

  void adopt(qintptr descriptor);
  void update(fleet_view_ptr view);
  void update(const group_state& state);
  void drain();
  bool idle() const;

 private:
  struct entry_link;

  void update_workers(const database_group& group);
  void handle_message(std::uint64_t link, link_message&& message);
  void dispatch(statement&& what, const link_origin& from);
  void submit(statement&& what, const link_origin& from);
  void deliver(std::uint64_t link, answer&& what);
  void handle_link_closed(std::uint64_t link);
  void run_on_thread(std::size_t number,
                     std::function<void(pool_thread&)> work);
  std::size_t thread_of(const database_id& id) const;
  database_worker* worker_for(const statement& what);

  std::size_t number_;
  std::size_t count_;
  member self_;
  database_worker::limits limits_;
  post_function post_;
  fleet_view_ptr view_;
  std::map<group_id, group_state> group_states_;
  std::map<database_id, std::unique_ptr<database_worker>> workers_;
  std::unordered_map<std::uint64_t, std::unique_ptr<entry_link>> links_;
  std::uint64_t last_link_ = 0;
};

}  // namespace toucanmux
