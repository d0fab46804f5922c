#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "connection/frame-link.h"

namespace toucanmux {

/// An entry's link to one pool, on one traffic thread. Matches answers to
/// statements by an id that is never used twice on a link.
class pool_link {
 public:
  /// How a statement ended on this link.
  struct statement_result {
    bool answered = false;
    bool sent = false;  ///< Bytes of it may have reached the pool.
    answer reply;       ///< If it was answered.
  };
  using result_handler = std::function<void(statement_result&&)>;
  using hint_handler = std::function<void(const group_hint&)>;

  pool_link(const endpoint& pool, const hello& greeting, hint_handler on_hint,
            std::function<void()> on_closed);

  /// Sends a statement; `done` is called once, unless it is forgotten first.
  /// @return the id under which it was sent.
  std::uint64_t send(statement request, result_handler on_done);
  /// Asks the pool to drop the statement if it has not begun; `done` is still
  /// called and tells what became of it.
  void cancel(std::uint64_t id);
  /// Tells the pool that nobody waits any more; `done` will not be called.
  void forget(std::uint64_t id);
  bool connected() const { return link_.connected(); }

 private:
  void handle_message(link_message&& message);
  void handle_close();

  frame_link link_;
  hint_handler on_hint_;
  std::function<void()> on_closed_;
  std::unordered_map<std::uint64_t, result_handler> pending_;
  std::uint64_t last_id_ = 0;
};

}  // namespace toucanmux
