#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "toucanmux/process/limits-message.h"
#include "toucanmux/process/limits-timing.h"
#include "toucanmux/process/team-account.h"
#include "toucanmux/process/team-bucket.h"

namespace toucanmux {

/// This failure domain's slices of the limits. Teams that are not listed are
/// dropped.
struct seat_configured {
  static constexpr std::string_view name = "configured";
  std::vector<team_limit> teams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(teams));
  }
};

/// A term starts. No allocation, token or loan of an earlier term is in force.
struct seat_opened {
  static constexpr std::string_view name = "opened";

  template <class Archive>
  void serialize(Archive&) {}
};

/// The term ends: the seat grants and lends nothing.
struct seat_closed {
  static constexpr std::string_view name = "closed";

  template <class Archive>
  void serialize(Archive&) {}
};

/// The failure domains whose holder of this seat is known.
struct lenders_known {
  static constexpr std::string_view name = "lenders_known";
  std::vector<domain_id> domains;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(domains));
  }
};

struct grant_request_received {
  static constexpr std::string_view name = "ask";
  member_id from;
  std::uint64_t incarnation = 0;
  team_grant_request request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(incarnation),
            cereal::make_nvp("ask", request));
  }
};

struct loan_request_received {
  static constexpr std::string_view name = "loan_asked";
  domain_id from;
  team_loan_request request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), cereal::make_nvp("ask", request));
  }
};

struct loan_received {
  static constexpr std::string_view name = "loan";
  domain_id from;
  team_loan loan;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(loan));
  }
};

struct send_grant {
  static constexpr std::string_view name = "grant";
  member_id to;
  team_grant grant;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(to), CEREAL_NVP(grant));
  }
};

struct request_loan {
  static constexpr std::string_view name = "ask_loan";
  domain_id to;
  team_loan_request request;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(to), cereal::make_nvp("ask", request));
  }
};

struct send_loan {
  static constexpr std::string_view name = "give_loan";
  domain_id to;
  team_loan loan;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(to), CEREAL_NVP(loan));
  }
};

/// The granting side of one seat: this failure domain's buckets of the teams
/// that hash to the seat. Tokens in transit and loans count against the cap
/// until they have expired, so that a lost message may lose tokens but never
/// duplicates them.
class seat {
 public:
  struct settings {
    domain_id domain;
    limits_timing timing;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(domain), CEREAL_NVP(timing));
    }
  };
  using event = std::variant<seat_configured, seat_opened, seat_closed,
                             lenders_known, grant_request_received,
                             loan_request_received, loan_received, tick>;
  using action = std::variant<send_grant, request_loan, send_loan>;

  explicit seat(const settings& values);
  std::vector<action> step(instant now, const event& input);

  /// True if requests wait for loans; a `tick` may then end the wait.
  bool has_pending_requests() const { return !waiting_teams_.empty(); }

 private:
  struct pending_request {
    member_id from;
    std::uint64_t sequence;
    double tokens;
  };
  struct open_loan {
    domain_id lender;
    std::uint64_t loan_id;
    instant requested_at;
    bool awaited;  ///< A grant request waits for this loan.
  };
  struct team_state {
    explicit team_state(const team_account& empty) : account(empty) {}

    team_account account;
    double burst = 0;
    std::deque<pending_request> pending;
    bool loans_requested = false;  ///< For the pending requests.
    std::vector<open_loan> loans;  ///< Requested and not answered yet.
    instant last_loans_at;         ///< When loans were last requested.
  };

  void on(instant now, const seat_configured& input);
  void on(instant now, const seat_opened& input);
  void on(instant now, const seat_closed& input);
  void on(instant now, const lenders_known& input);
  void on(instant now, const grant_request_received& input);
  void on(instant now, const loan_request_received& input);
  void on(instant now, const loan_received& input);
  void on(instant now, const tick& input);

  team_state* find(const team_id& team);
  void answer_renewal(instant now, team_state& team,
                      const grant_request_received& input);
  void serve_pending(instant now, const team_id& id, team_state& team);
  bool grant_first(instant now, const team_id& id, team_state& team,
                   bool allow_partial);
  void finish_pending(instant now, const team_id& id, team_state& team);
  void request_loans(instant now, const team_id& id, team_state& team,
                     double tokens);
  void rebalance(instant now, const team_id& id, team_state& team);
  bool awaits_loans(instant now, const team_state& team) const;
  static double missing_tokens(instant now, team_state& team);

  settings settings_;
  bool open_ = false;
  std::uint64_t last_loan_id_ = 0;
  std::vector<domain_id> lenders_;
  std::unordered_map<team_id, team_state> teams_;
  std::unordered_set<team_id> waiting_teams_;
  instant reclaimed_at_;
  std::vector<action> actions_;
};

}  // namespace toucanmux
