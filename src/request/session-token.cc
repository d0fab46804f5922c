#include "toucanmux/request/session-token.h"

#include <algorithm>
#include <tuple>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

template <class Positions>
auto find_position(Positions& positions, const group_id& group) {
  return std::lower_bound(positions.begin(), positions.end(), group,
                          [](const token_position& p, const group_id& g) {
                            return p.group.value < g.value;
                          });
}

}  // namespace

log_position session_token::required(const group_id& group) const {
  auto it = find_position(positions_, group);
  if (it == positions_.end() || it->group != group) return {};
  return it->position;
}

bool session_token::has_room(const group_id& group) const {
  if (positions_.size() < group_limit) return true;
  auto it = find_position(positions_, group);
  return it != positions_.end() && it->group == group;
}

void session_token::merge(const group_id& group, const log_position& position) {
  auto it = find_position(positions_, group);
  if (it != positions_.end() && it->group == group) {
    // A later term has all writes acknowledged in earlier terms, though its log
    // may be shorter, so the term is compared first.
    const auto& known = it->position;
    bool later =
        std::tie(position.term, position.lsn) > std::tie(known.term, known.lsn);
    if (later) it->position = position;
    return;
  }
  if (positions_.size() >= group_limit) {
    throw token_error("session token is full: start a new session");
  }
  positions_.insert(it, {group, position});
}

void session_token::merge(const session_token& other) {
  for (const auto& p : other.positions_) merge(p.group, p.position);
}

}  // namespace toucanmux
