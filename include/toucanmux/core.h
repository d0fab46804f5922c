#pragma once

#include <cereal/cereal.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>

/// Basic types: time, identifiers and log positions.
namespace toucanmux {

/// The clock of the decision classes, in microseconds. It has no `now`: callers
/// pass the current time as an argument.
struct decision_clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<decision_clock>;
  static constexpr bool is_steady = true;
};

using duration = decision_clock::duration;
using instant = decision_clock::time_point;

/// A string identifier. `Tag` makes identifiers of different kinds different
/// types, so that one can't be passed for another.
template <class Tag>
struct name {
  std::string value;

  name() = default;
  explicit name(std::string_view text) : value(text) {}

  bool empty() const { return value.empty(); }
  bool operator==(const name&) const = default;
  auto operator<=>(const name& other) const { return value <=> other.value; }

  template <class Archive>
  std::string save_minimal(const Archive&) const {
    return value;
  }
  template <class Archive>
  void load_minimal(const Archive&, const std::string& text) {
    value = text;
  }
};

using team_id = name<struct team_tag>;
using plan_id = name<struct plan_tag>;
using service_id = name<struct service_tag>;
using group_id = name<struct group_tag>;
using database_id = name<struct database_tag>;
/// Identifies a process of the fleet, such as `norte-1/entry`.
using member_id = name<struct member_id_tag>;
using domain_id = name<struct failure_domain_tag>;

/// A position in the log of a database group. Within a term, positions only
/// grow. Every later term contains the writes acknowledged in earlier terms.
struct log_position {
  std::uint64_t term = 0;  ///< PostgreSQL's timeline; 0 if unknown.
  std::uint64_t lsn = 0;   ///< Byte offset in the log.

  bool operator==(const log_position&) const = default;
  bool operator<(const log_position& other) const {
    return std::tie(term, lsn) < std::tie(other.term, other.lsn);
  }
  bool operator<=(const log_position& other) const { return !(other < *this); }

  /// True if a database at this position has every write that was acknowledged
  /// up to `other`.
  bool covers(const log_position& other) const {
    return term >= other.term && lsn >= other.lsn;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(term), CEREAL_NVP(lsn));
  }
};

/// Combines lambdas into one visitor for `std::visit`.
template <class... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace toucanmux

namespace cereal {

template <class Archive>
std::int64_t save_minimal(const Archive&, const toucanmux::duration& value) {
  return value.count();
}
template <class Archive>
void load_minimal(const Archive&, toucanmux::duration& value,
                  const std::int64_t& count) {
  value = toucanmux::duration(count);
}
template <class Archive>
std::int64_t save_minimal(const Archive&, const toucanmux::instant& value) {
  return value.time_since_epoch().count();
}
template <class Archive>
void load_minimal(const Archive&, toucanmux::instant& value,
                  const std::int64_t& count) {
  value = toucanmux::instant(toucanmux::duration(count));
}

}  // namespace cereal

template <class Tag>
struct std::hash<toucanmux::name<Tag>> {
  std::size_t operator()(const toucanmux::name<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};
