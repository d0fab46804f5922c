#include "connection/pool-link.h"

#include "process/log.h"

namespace toucanmux {

pool_link::pool_link(const endpoint& pool, const hello& greeting,
                     hint_handler on_hint, std::function<void()> on_closed)
    : link_(pool),
      on_hint_(std::move(on_hint)),
      on_closed_(std::move(on_closed)) {
  link_.on(
      [this](link_message&& message) { handle_message(std::move(message)); },
      [this] { handle_close(); });
  link_.send(greeting);
}

std::uint64_t pool_link::send(statement request, result_handler on_done) {
  request.id = ++last_id_;
  pending_.emplace(request.id, std::move(on_done));
  link_.send(std::move(request));
  return last_id_;
}

void pool_link::cancel(std::uint64_t id) {
  if (pending_.contains(id)) link_.send(toucanmux::cancel{id});
}

void pool_link::forget(std::uint64_t id) {
  if (pending_.erase(id) > 0) link_.send(toucanmux::cancel{id});
}

void pool_link::handle_message(link_message&& message) {
  if (const auto* hint = std::get_if<group_hint>(&message))
    return on_hint_(*hint);
  auto* reply = std::get_if<answer>(&message);
  if (reply == nullptr) return;
  // The request of a late answer has already ended.
  auto it = pending_.find(reply->id);
  if (it == pending_.end()) return;
  auto on_done = std::move(it->second);
  pending_.erase(it);
  on_done({true, true, std::move(*reply)});
}

void pool_link::handle_close() {
  bool may_have_sent = link_.was_connected();
  log_info(log_part::links, "Lost the link to a pool; " +
                                std::to_string(pending_.size()) +
                                " statements had no answer yet.");
  auto unanswered = std::exchange(pending_, {});
  auto on_closed = std::move(on_closed_);
  // The owner destroys this link in `on_closed`, so that statements which the
  // handlers below send again use a new link.
  on_closed();
  for (auto& [id, on_done] : unanswered) on_done({false, may_have_sent, {}});
}

}  // namespace toucanmux
