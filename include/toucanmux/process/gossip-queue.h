#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "toucanmux/process/member-message.h"

namespace toucanmux {

class member_table;

/// Updates that still have to be passed on, the least sent ones first.
class gossip_queue {
 public:
  /// @param factor times log2 of the members is how often one is sent.
  explicit gossip_queue(double factor) : factor_(factor) {}

  /// Queues the member's present update afresh.
  void push(const member_id& id);
  /// Takes the updates to add to one message.
  /// @param bytes what they may use on the wire.
  /// @param only_pools for a message to another failure domain.
  std::vector<member_update> select_updates(const member_table& table,
                                            std::size_t max_bytes,
                                            bool only_pools);
  bool empty() const { return current_stamps_.empty(); }

 private:
  struct entry {
    member_id id;
    std::uint64_t stamp = 0;
  };

  bool stale(const entry& one) const;
  std::size_t send_limit(const member_table& table) const;
  void requeue(entry one, std::size_t send_count, std::size_t limit);

  double factor_;
  std::uint64_t last_stamp_ = 0;
  std::vector<std::deque<entry>>
      by_send_count_;  // By how often they were sent.
  std::unordered_map<member_id, std::uint64_t> current_stamps_;
};

/// The bytes that an update uses on the wire.
std::size_t wire_size(const member_update& update);

}  // namespace toucanmux
