#pragma once

#include <boost/container/small_vector.hpp>
#include <variant>

#include "toucanmux/request/statement.h"

namespace toucanmux {

/// The log position of a database when it answered a statement.
struct position_read {
  static constexpr std::string_view name = "position_read";

  access_class access = access_class::read;
  log_position required;
  duration max_age{-1};   ///< Negative if any age is allowed.
  log_position position;  ///< Term 0 if the database did not report one.
  duration age{-1};       ///< Upper bound; negative if unknown.
  bool replica = false;
  std::uint64_t current_term = 0;  ///< The group's term, as the pool knows it.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(access), CEREAL_NVP(required), CEREAL_NVP(max_age),
            CEREAL_NVP(position), CEREAL_NVP(age), CEREAL_NVP(replica),
            CEREAL_NVP(current_term));
  }
};

/// The answer may be passed on.
struct answer_fresh {
  static constexpr std::string_view name = "answer_fresh";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The answer is too old and must be discarded; the entry gets the outcome
/// `behind`.
struct answer_behind {
  static constexpr std::string_view name = "answer_behind";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The write's outcome is unknown: it ran at a database that is not known to be
/// the current primary, so a failover may lose it.
struct answer_doubtful {
  static constexpr std::string_view name = "answer_doubtful";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The pool's check of an answer's position and age against its statement. The
/// position must have been read at the database before the statement ran or
/// together with it.
class position_check {
 public:
  struct settings {
    template <class Archive>
    void serialize(Archive&) {}
  };

  using event = std::variant<position_read>;
  using action = std::variant<answer_fresh, answer_behind, answer_doubtful>;
  using actions = boost::container::small_vector<action, 1>;

  explicit position_check(const settings&) {}

  static actions step(instant now, const event& new_event);
};

}  // namespace toucanmux
