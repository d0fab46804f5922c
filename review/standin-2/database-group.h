#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "connection.h"
#include "object-store.h"
#include "record.h"

namespace review {

/// A position in a database's log.
struct log_position {
  std::uint64_t term = 0;
  std::uint64_t number = 0;

  auto operator<=>(const log_position&) const = default;
  std::string text() const {
    return std::to_string(term) + '.' + std::to_string(number);
  }
};

/// One committed change: the statements that it consists of.
struct log_entry {
  log_position position;
  std::vector<std::string> statement_ids;
  std::map<std::string, std::string> items;
};

/// A stand-in for one service: a primary and its replicas. The primary sends
/// each commit to all replicas that receive, and acknowledges it when at least
/// `sync_replicas` of them have it.
class database_group {
 public:
  struct member {
    std::string id;
    std::string zone;
  };
  struct settings {
    std::string name;
    unsigned sync_replicas = 0;
    unsigned max_connections = 47;
    unsigned slots = 3;
    milliseconds heartbeat{1200};
    milliseconds work{5};
    bool records_statements = true;  ///< Each one that runs.
  };

  /// The first member starts as the primary.
  database_group(const settings& values, const std::vector<member>& members,
                 const std::string& ip, object_store& store, record& log);
  ~database_group();
  database_group(const database_group&) = delete;
  database_group(database_group&&) = delete;
  database_group& operator=(const database_group&) = delete;
  database_group& operator=(database_group&&) = delete;

  const std::string& name() const { return settings_.name; }
  /// Writes the heartbeats of all databases; call once at the start.
  void start();

  /// Whether the database reaches the store. Its connections stay.
  void set_reaches_store(const std::string& id, bool reaches);
  /// Whether the replica receives the primary's commits.
  void set_receives(const std::string& id, bool receives);
  /// Kills the database's process: all connections end.
  void crash(const std::string& id);
  /// Starts it again with its log.
  void restart(const std::string& id);

  /// Whether the database is dark: it answers nothing, and sends no heartbeats
  /// and no commits. Its connections end when it returns.
  void set_dark(const std::string& id, bool dark);
  /// Starts another replica, which receives the whole log.
  void add_replica(const member& added);
  /// The database reports that it drains; it serves and receives as before.
  void drain(const std::string& id);
  /// The draining database ends; `successor` gets its log.
  void end_drained(const std::string& id, const std::string& successor);

  /// Makes the database the leader of the next term with what it has received;
  /// false if it does not run. Replicas that are ahead are rolled back.
  bool promote(const std::string& id);
  std::string leader();
  /// Whether the log of the database has a commit with this statement.
  bool has_statement(const std::string& id, const std::string& statement);
  log_position received(const std::string& id);

 private:
  struct database;
  class session;

  database* find(const std::string& id);
  database& start_database(const member& added);
  void heartbeat_loop();
  void write_entry(database& one);
  void replicate();
  void receive_log(database& replica, const database& leader);
  bool wait_until_replicated(std::unique_lock<std::mutex>& lock,
                             database& leader, const log_position& position,
                             const connection& caller);
  static log_position end_of(const database& one);

  settings settings_;
  std::string ip_;
  object_store& store_;
  record& log_;
  std::mutex mutex_;
  std::condition_variable replicated_;
  std::uint64_t term_ = 3;
  std::uint64_t signatures_ = 0;
  std::vector<std::unique_ptr<database>> databases_;
};

}  // namespace review
