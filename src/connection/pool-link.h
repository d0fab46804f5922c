#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "connection/frame-link.h"

namespace toucanmux {

/// An entry's link to one pool, used by one traffic thread. Matches answers to
/// statements by an id that is not reused on the same link.
class pool_link {
 public:
  /// The result of a statement on this link.
  struct statement_result {
    bool answered = false;
    bool sent = false;  ///< The pool may have received the statement.
    answer reply;       ///< Set if `answered`.
  };
  using result_handler = std::function<void(statement_result&&)>;
  using hint_handler = std::function<void(const group_hint&)>;

  pool_link(const endpoint& pool, const hello& greeting, hint_handler on_hint,
            std::function<void()> on_closed);

  /// Sends a statement. `on_done` is called once, unless `forget` is called
  /// first.
  /// @return the statement's id on this link.
  std::uint64_t send(statement request, result_handler on_done);
  /// Asks the pool to drop a statement that has not started. `on_done` is still
  /// called, with the statement's actual result.
  void cancel(std::uint64_t id);
  /// Cancels a statement and discards its answer; `on_done` is not called.
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
