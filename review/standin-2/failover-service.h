#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "connection.h"
#include "database-group.h"
#include "object-store.h"
#include "record.h"

namespace review {

/// A call of `POST /failover` as it arrived.
struct failover_call {
  std::string service;
  std::string database;
  std::string holder;
  std::uint64_t token = 0;
  std::uint64_t highest_before = 0;  ///< Token seen before for the service.
};

/// A stand-in for the platform's failover call.
class failover_service {
 public:
  failover_service(const std::string& ip, bool checks_tokens,
                   milliseconds promote, record& log);

  const address& where() const { return server_.where(); }
  void add(database_group& group);
  /// While down, calls are read and neither answered nor carried out.
  void set_down(bool down) { down_ = down; }
  /// Called with each call, before it is carried out.
  using call_observer = std::function<void(const failover_call&)>;
  void observe(call_observer observer) { observer_ = std::move(observer); }
  /// Called after a database was promoted.
  using promotion_observer =
      std::function<void(database_group&, const std::string& database)>;
  void observe_promotions(promotion_observer observer) {
    promoted_ = std::move(observer);
  }
  std::vector<failover_call> calls();

 private:
  void serve(const connection_ptr& caller);

  bool checks_tokens_;
  milliseconds promote_;
  record& log_;
  std::atomic<bool> down_ = false;
  call_observer observer_;
  promotion_observer promoted_;
  std::mutex mutex_;
  std::map<std::string, database_group*> groups_;
  std::map<std::string, std::uint64_t> highest_tokens_;
  std::vector<failover_call> calls_;
  tcp_server server_;
};

}  // namespace review
