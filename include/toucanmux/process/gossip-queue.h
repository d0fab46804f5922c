#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "toucanmux/process/member-message.h"

namespace toucanmux {

class member_table;

/// Member updates to spread by gossip. Updates that have been sent fewer times
/// come first.
class gossip_queue {
 public:
  /// @param factor each update is sent this factor times log2 of the number of
  /// members.
  explicit gossip_queue(double factor) : factor_(factor) {}

  /// Queues the member's current update and resets its send count.
  void push(const member_id& id);
  /// Selects the updates to add to one message and counts them as sent.
  /// @param max_bytes limit for their total size on the wire.
  /// @param only_pools true for a message to another failure domain.
  std::vector<member_update> select_updates(const member_table& table,
                                            std::size_t max_bytes,
                                            bool only_pools);
  bool empty() const { return current_stamps_.empty(); }

 private:
  struct entry {
    member_id id;
    std::uint64_t stamp = 0;
  };

  bool stale(const entry& candidate) const;
  std::size_t send_limit(const member_table& table) const;
  void requeue(entry sent, std::size_t send_count, std::size_t limit);

  double factor_;
  std::uint64_t last_stamp_ = 0;
  // Indexed by the number of times that the entries have been sent.
  std::vector<std::deque<entry>> by_send_count_;
  std::unordered_map<member_id, std::uint64_t> current_stamps_;
};

/// The size of an update on the wire, in bytes.
std::size_t wire_size(const member_update& update);

}  // namespace toucanmux
