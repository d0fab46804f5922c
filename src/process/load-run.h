#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "connection/http-client.h"
#include "process/load-history.h"

namespace toucanmux {

class load_session;

/// Simulates the callers of all teams for a given time. The load is open-loop:
/// calls arrive whether or not earlier ones were answered. Lives on one thread.
class load_run {
 public:
  load_run(const load_settings& settings, load_history& history);
  ~load_run();
  Q_DISABLE_COPY_MOVE(load_run)

  /// Creates the tables, makes the calls, waits for the last answers, reads the
  /// order ids from the databases, then calls `done` with them.
  void start(std::function<void(const found_orders&)> done);

 private:
  using text_handler = std::function<void(const std::string&)>;

  void make_tables(int shard);
  void start_arrivals();
  void make_due_calls();
  void schedule_arrival(std::size_t team);
  load_session* idle_session(std::size_t team);
  void finish();
  void read_orders(int shard);
  void query_primary(int shard, const std::string& sql,
                     const text_handler& done);

  const load_settings& settings_;
  load_history& history_;
  target_health health_;
  std::mt19937_64 random_;
  std::uint64_t last_session_;
  std::vector<std::vector<std::unique_ptr<load_session>>> sessions_;
  std::vector<instant> next_arrival_;
  instant arrivals_end_at_;
  QTimer timer_;
  std::unique_ptr<http_client> audit_client_;
  std::size_t audit_target_ = 0;
  found_orders found_;
  std::function<void(const found_orders&)> done_;
};

}  // namespace toucanmux
