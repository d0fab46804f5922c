#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "toucanmux/core.h"

/// What members tell each other about limits: `control_part::limits` carries
/// one `limits_message`.
namespace toucanmux {

/// A team's limits: of the whole fleet, or the slice of a failure domain.
struct team_limit {
  team_id team;
  double rate = 0;   ///< Requests a second.
  double burst = 0;  ///< Requests.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), CEREAL_NVP(rate), CEREAL_NVP(burst));
  }
};

/// One term of a seat: its epoch in the platform, and how often the holder
/// has collected all grants within it.
struct seat_term {
  std::uint64_t epoch = 0;  ///< 0 is none.
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

/// An instance asks its seat for tokens, or renews its rate.
struct team_grant_request {
  static constexpr std::string_view name = "ask";
  team_id team;
  std::uint64_t sequence = 0;  ///< Grows within an incarnation.
  std::uint64_t min_valid_sequence =
      0;  ///< Grants to earlier asks are not taken.
  std::uint64_t allocation_number =
      0;              ///< The capacity that is held; 0 is none.
  double tokens = 0;  ///< Short for the requests that wait; 0 renews.
  double demand = 0;  ///< Requests a second, as measured.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), cereal::make_nvp("ask", sequence),
            cereal::make_nvp("void_below", min_valid_sequence),
            cereal::make_nvp("held", allocation_number), CEREAL_NVP(tokens),
            CEREAL_NVP(demand));
  }
};

/// What an instance may hold of a team's slice until it is renewed.
struct rate_allocation {
  std::uint64_t number = 0;  ///< Grows; 0 is none.
  double rate = 0;           ///< Tokens a second.
  double cap = 0;            ///< Tokens that may gather.
  double fallback_rate = 0;  ///< In place of `rate` while no holder is heard.
  double fallback_cap = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(number), CEREAL_NVP(rate), CEREAL_NVP(cap),
            CEREAL_NVP(fallback_rate), CEREAL_NVP(fallback_cap));
  }
};

/// The seat's answer to one `team_ask`.
struct team_grant {
  static constexpr std::string_view name = "grant";
  team_id team;
  std::uint64_t sequence = 0;
  double tokens = 0;  ///< For requests that wait; void after `ask_wait`.
  bool renewed = false;
  rate_allocation allocation;  ///< Taken if `renewed`.
  duration retry_after{0};     ///< Until the bucket has a token; 0 if it has.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), cereal::make_nvp("ask", sequence),
            CEREAL_NVP(tokens), CEREAL_NVP(renewed),
            cereal::make_nvp("share", allocation), CEREAL_NVP(retry_after));
  }
};

/// A seat asks the same seat of another failure domain for tokens.
struct team_loan_request {
  team_id team;
  std::uint64_t loan_id = 0;  ///< Grows within a seat's term.
  double tokens = 0;          ///< For requests that wait; 0 only levels.
  double level = 0;           ///< Tokens that the borrower has.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(team), cereal::make_nvp("loan", loan_id),
            CEREAL_NVP(tokens), CEREAL_NVP(level));
  }
};

/// Tokens that are lent; none is an answer too.
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

/// Instance to holder.
struct grant_request {
  std::uint32_t seat = 0;
  seat_term term;
  std::vector<team_grant_request> teams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seat), CEREAL_NVP(term), CEREAL_NVP(teams));
  }
};

/// Holder to instance.
struct grant_reply {
  std::uint32_t seat = 0;
  seat_term term;
  std::vector<team_grant> teams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seat), CEREAL_NVP(term), CEREAL_NVP(teams));
  }
};

/// A seat's term, and whether its holder grants in it yet.
struct seat_notice {
  std::uint32_t seat = 0;
  seat_term term;
  bool open = false;  ///< False asks the instances to let go and say so.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seat), CEREAL_NVP(term), CEREAL_NVP(open));
  }
};

/// Holder to the instances of its failure domain, every beat.
struct seats_held {
  std::vector<seat_notice> seats;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seats));
  }
};

/// Instance to holder: nothing of an earlier term is held.
struct seats_released {
  std::vector<seat_notice> seats;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(seats));
  }
};

/// Holder to the holder of the same seat in another failure domain.
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
