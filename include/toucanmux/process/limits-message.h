#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "toucanmux/core.h"

/// Messages about rate limits between members: `control_part::limits` carries
/// one `limits_message`.
namespace toucanmux {

/// A team's limit, for the whole fleet or for the slice of one failure domain.
struct team_limit {
  team_id team;
  double rate = 0;   ///< Requests a second.
  double burst = 0;  ///< Requests.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), CEREAL_NVP(rate), CEREAL_NVP(burst));
  }
};

/// A term of a seat, ordered by epoch and round. The platform stores the epoch;
/// the round counts how often the holder has revoked all allocations within the
/// epoch.
struct seat_term {
  std::uint64_t epoch = 0;  ///< 0 if there is none.
  std::uint64_t round = 0;

  bool operator==(const seat_term&) const = default;
  auto operator<=>(const seat_term& other) const {
    return std::tie(epoch, round) <=> std::tie(other.epoch, other.round);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(epoch), CEREAL_NVP(round));
  }
};

/// A request of an instance to its seat, for tokens or for the renewal of its
/// allocation.
struct team_grant_request {
  static constexpr std::string_view name = "ask";
  team_id team;
  /// Sequence number; grows within an incarnation.
  std::uint64_t sequence = 0;
  /// Grants for smaller sequence numbers are discarded.
  std::uint64_t min_valid_sequence = 0;
  /// Number of the allocation in force; 0 if there is none.
  std::uint64_t allocation_number = 0;
  /// Tokens missing for the waiting requests; 0 asks for a renewal only.
  double tokens = 0;
  /// Measured demand, requests a second.
  double demand = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), cereal::make_nvp("ask", sequence),
            cereal::make_nvp("void_below", min_valid_sequence),
            cereal::make_nvp("held", allocation_number), CEREAL_NVP(tokens),
            CEREAL_NVP(demand));
  }
};

/// The part of a team's slice that an instance may admit from by itself until
/// the allocation expires.
struct rate_allocation {
  /// Grows with each allocation; 0 if there is none.
  std::uint64_t number = 0;
  /// Tokens a second.
  double rate = 0;
  /// Maximum number of tokens that accumulate.
  double cap = 0;
  /// Used in place of `rate` while the holder is unreachable.
  double fallback_rate = 0;
  double fallback_cap = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(number), CEREAL_NVP(rate), CEREAL_NVP(cap),
            CEREAL_NVP(fallback_rate), CEREAL_NVP(fallback_cap));
  }
};

/// The seat's answer to one `team_grant_request`.
struct team_grant {
  static constexpr std::string_view name = "grant";
  team_id team;
  std::uint64_t sequence = 0;
  /// Tokens for the waiting requests; void once `grant_timeout` has passed
  /// since the request was sent.
  double tokens = 0;
  bool renewed = false;
  /// Applies if `renewed`.
  rate_allocation allocation;
  /// Time until the bucket has a token; 0 if it has one.
  duration retry_after{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), cereal::make_nvp("ask", sequence),
            CEREAL_NVP(tokens), CEREAL_NVP(renewed),
            cereal::make_nvp("share", allocation), CEREAL_NVP(retry_after));
  }
};

/// A request for tokens to the same seat of another failure domain.
struct team_loan_request {
  team_id team;
  std::uint64_t loan_id = 0;  ///< Grows within a seat's term.
  double tokens = 0;  ///< For waiting requests; 0 asks for rebalancing only.
  double level = 0;   ///< Tokens in the borrower's bucket.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), cereal::make_nvp("loan", loan_id),
            CEREAL_NVP(tokens), CEREAL_NVP(level));
  }
};

/// The answer to a `team_loan_request`; 0 tokens are an answer too.
struct team_loan {
  team_id team;
  std::uint64_t loan_id = 0;
  double tokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), cereal::make_nvp("loan", loan_id),
            CEREAL_NVP(tokens));
  }
};

/// Sent by an instance to the holder of a seat.
struct grant_request {
  std::uint32_t seat = 0;
  seat_term term;
  std::vector<team_grant_request> teams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seat), CEREAL_NVP(term), CEREAL_NVP(teams));
  }
};

/// Sent by the holder of a seat to an instance.
struct grant_reply {
  std::uint32_t seat = 0;
  seat_term term;
  std::vector<team_grant> teams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seat), CEREAL_NVP(term), CEREAL_NVP(teams));
  }
};

/// The term of a seat and whether its holder grants in that term yet.
struct seat_notice {
  std::uint32_t seat = 0;
  seat_term term;
  /// False asks the instances to discard allocations of earlier terms and to
  /// confirm that with `seats_released`.
  bool open = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seat), CEREAL_NVP(term), CEREAL_NVP(open));
  }
};

/// Sent by a holder to the instances of its failure domain every
/// `announce_interval`.
struct seats_held {
  std::vector<seat_notice> seats;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seats));
  }
};

/// Sent by an instance to a holder: it has no allocation of an earlier term.
struct seats_released {
  std::vector<seat_notice> seats;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seats));
  }
};

/// Sent by a holder to the holder of the same seat in another failure domain.
struct loan_request {
  std::uint32_t seat = 0;
  domain_id from;
  std::vector<team_loan_request> teams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seat), CEREAL_NVP(from), CEREAL_NVP(teams));
  }
};

struct loan_reply {
  std::uint32_t seat = 0;
  domain_id from;
  std::vector<team_loan> teams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seat), CEREAL_NVP(from), CEREAL_NVP(teams));
  }
};

using limits_message = std::variant<grant_request, grant_reply, seats_held,
                                    seats_released, loan_request, loan_reply>;

}  // namespace toucanmux
